#pragma once

#include "cw_answer_metadata.h"
#include "cw_boot_clock.h"
#include "cw_upstream_entry.h"
#include "cw_upstream_ramp.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

class cw_site_config;

/// How an upstream in its slow start has responded to one request.
struct cw_ramp_response {
    cw_boot_time sent_at{};
    /// True for a response of the upstream that reports no failure of the upstream.
    bool is_success = false;
    std::optional<cw_reported_load> load;
    /// Usual service time of the service; none if no other upstream of it has responded yet.
    std::optional<std::chrono::nanoseconds> usual_time;
};

/// Start or end of an upstream's slow start, for the log.
struct cw_ramp_change {
    std::string id;
    std::string service;
    bool is_end = false;
    cw_upstream_ramp::reason why = cw_upstream_ramp::reason::started;
    double share = 0.0;
    std::uint32_t good_responses = 0;
    std::uint32_t bad_responses = 0;
    /// Time from the start to the end, the warm-up included; 0 for a start.
    std::chrono::nanoseconds duration{0};
};

/// The upstreams in their slow start, as one host knows them. Holds at most one ramp for each
/// listed upstream.
///
/// Slow start applies to the services without keys whose configuration states for how long an
/// upstream is cold after its start.
class cw_upstream_ramps {
public:
    /// Upstreams by service.
    using lists = std::map<std::string, std::vector<cw_upstream_entry>>;

    /// Sets the configuration, null if there is none, and drops the ramps of services without slow
    /// start.
    void set_config(const cw_site_config* config);
    /// The listed upstreams have changed. Starts the ramps of new incarnations, and of upstreams
    /// that became cold again; drops those of incarnations that are no longer listed. No ramp
    /// starts while `before` is empty: all upstreams are new to a host that has just started.
    void apply(const lists& before, const lists& listed, cw_boot_time now);
    /// True if the service has slow start.
    [[nodiscard]] bool covers(const std::string& service) const {
        return services_.contains(service);
    }
    /// True when no upstream is in its slow start.
    [[nodiscard]] bool is_empty() const { return ramps_.empty(); }
    [[nodiscard]] std::size_t size() const { return ramps_.size(); }

    /// The upstream's ramp; null if it has none or it is over.
    [[nodiscard]] cw_upstream_ramp* find(const cw_upstream_entry& upstream, cw_boot_time now);
    /// The upstream has responded to a request, or has failed to. Ignored without a ramp.
    void on_response(const cw_upstream_entry& upstream, const cw_ramp_response& response,
                     cw_boot_time now);
    /// The upstream has responded for the first time since it was avoided after failures.
    void on_recovery(const cw_upstream_entry& upstream, cw_boot_time now);
    /// Drops the ramps that are over.
    void drop_ended(cw_boot_time now);

    /// A selection has passed over at least one upstream because of its ramp.
    void on_skipped() { ++skipped_; }
    /// Number of these selections since the last call.
    [[nodiscard]] std::uint64_t take_skipped() { return std::exchange(skipped_, 0); }
    /// Starts and ends since the last call.
    [[nodiscard]] std::vector<cw_ramp_change> take_changes() { return std::exchange(changes_, {}); }

private:
    /// Id and incarnation of an upstream.
    using upstream_key = std::pair<std::string, std::uint64_t>;
    struct item {
        std::string service;
        cw_boot_time started_at{};
        cw_upstream_ramp ramp;
    };
    using items = std::map<upstream_key, item>;

    static upstream_key key_of(const cw_upstream_entry& upstream) {
        return {upstream.id, upstream.incarnation};
    }
    void start(const cw_upstream_entry& upstream, cw_upstream_ramp::reason why, cw_boot_time now);
    /// Records the end of a ramp that is over and drops it.
    items::iterator end(items::iterator position, cw_boot_time now);

    /// Services with slow start.
    std::set<std::string> services_;
    items ramps_;
    std::vector<cw_ramp_change> changes_;
    std::uint64_t skipped_ = 0;
};
