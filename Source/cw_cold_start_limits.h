#pragma once

#include "cw_boot_clock.h"
#include "cw_cold_start_limit.h"
#include "cw_gateway_view.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// The upstreams that this host treats as cold and limits, with its token bucket for each.
///
/// An upstream is cold until the end of the warm-up that its entry states, for `refused_time` after
/// a refused connect, and while its failure domain has just returned to service. Only services with
/// a cold rate have a limit. Upstreams that are not listed or not cold any more are dropped.
class cw_cold_start_limits {
public:
    /// An upstream that is treated as cold from now on, or no longer.
    struct change {
        std::string id;
        std::string service;
        /// Target rate of all hosts together in requests a second.
        double rate = 0.0;
        bool is_cold = false;
    };

    /// The bound of a service is its cold rate x `overage` + `slack`.
    cw_cold_start_limits(double overage, double slack)
        : overage_{overage},
          slack_{slack} {}

    /// Applies the configuration and the upstreams of a view. `draw` returns random numbers from 0
    /// up to 1.
    void on_view(const cw_gateway_view& view, const std::function<double()>& draw,
                 cw_boot_time now);
    /// A connect to the upstream was refused, so it may be starting again. `draw` is a random
    /// number from 0 up to 1.
    void on_connect_refused(const cw_upstream_entry& upstream, double draw, cw_boot_time now);
    /// Drops the upstreams that are not cold any more.
    void drop_warm(cw_boot_time now);

    /// True if a request may be sent to the upstream now, because it is not cold or its bucket has
    /// a token. `hosts` is the number of hosts that may use the upstream; 0 if it is unknown, in
    /// which case a cold upstream is sent nothing.
    [[nodiscard]] bool admits(const cw_upstream_entry& upstream, std::uint32_t hosts,
                              cw_boot_time now);
    /// A request for which admits() was true is sent. True if the upstream is cold.
    bool on_sent(const cw_upstream_entry& upstream, cw_boot_time now);
    /// Time until a request will be admitted, at the latest when the upstream is warm; 0 if one is
    /// admitted now.
    [[nodiscard]] std::chrono::milliseconds admission_delay(const cw_upstream_entry& upstream,
                                                            std::uint32_t hosts, cw_boot_time now);

    [[nodiscard]] bool is_empty() const { return upstreams_.empty(); }
    [[nodiscard]] std::size_t size() const { return upstreams_.size(); }
    /// The earliest time at which an upstream is not cold any more; the maximum if none is cold.
    [[nodiscard]] cw_boot_time next_end() const;
    /// Returns what has changed since the last call, for the log.
    [[nodiscard]] std::vector<change> take_changes();

    /// Time for which an upstream counts as cold after a refused connect. Its entry shows a restart
    /// after 1.4 s at most.
    static constexpr std::chrono::milliseconds refused_time{1'500};

private:
    struct cold_upstream {
        std::string id;
        std::string service;
        /// Target rate of all hosts together.
        double rate;
        cw_cold_start_limit bucket;
        /// End of the warm-up that the entry states.
        cw_boot_time warm_at{};
        /// End of the time after a refused connect.
        cw_boot_time refused_until{};

        [[nodiscard]] cw_boot_time end() const { return std::max(warm_at, refused_until); }
    };
    using upstream_map = std::map<std::string, cold_upstream>;

    /// The state of an upstream that is cold now; null if it is not.
    cold_upstream* find_cold(const cw_upstream_entry& upstream, cw_boot_time now);
    /// Keeps the state of a listed upstream in `kept` if it is cold until `warm_at` or because of a
    /// refused connect, or creates it there.
    void keep_if_cold(const cw_upstream_entry& upstream, cw_boot_time warm_at, double rate,
                      upstream_map& kept, const std::function<double()>& draw, cw_boot_time now);
    void record_change(const cold_upstream& upstream, bool is_cold);

    double overage_;
    double slack_;
    /// Target rates of the services that have a cold rate.
    std::map<std::string, double> target_rates_;
    /// By service, id and incarnation.
    upstream_map upstreams_;
    std::vector<change> changes_;
};
