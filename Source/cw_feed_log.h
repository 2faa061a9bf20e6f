#pragma once

#include "cw_log.h"
#include "cw_store_position.h"

#include <chrono>
#include <cstdint>
#include <string>

struct cw_upstream_delta;

/// Logs what a host learns from the store or from a reader, with the longest time for which it can
/// have been unknown to the host: the lag of its copy before.
class cw_feed_log {
public:
    using milliseconds = std::chrono::milliseconds;

    /// A later version of the configuration, which a call of the given length brought in the given
    /// form: whole, as deltas, or among the versions of a watch. The I/O thread was last late by
    /// `thread_wait` with other work of the feed.
    void config_received(std::uint64_t version, std::uint64_t before, const std::string& source,
                         const char* form, milliseconds call_time, milliseconds lag,
                         milliseconds thread_wait);
    /// The upstreams in the delta that are leaving or gone; no line if there are none.
    void departures_received(const cw_upstream_delta& delta, const std::string& source,
                             milliseconds lag);
    /// A read of the store that was made because a copy lags; `error` is empty if it succeeded.
    void lagging_copy_read(const char* subject, const std::string& source, milliseconds lag,
                           const std::string& error);
    /// A change of the source, at the known position of the entries.
    void source_changed(const std::string& source, const std::string& before,
                        const cw_store_position& position, milliseconds lag);

private:
    cw_log log_{"feed"};
};
