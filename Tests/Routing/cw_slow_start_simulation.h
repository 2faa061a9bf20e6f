#pragma once

#include "cw_site_config.h"
#include "cw_upstream_entry.h"
#include "cw_upstream_ramps.h"
#include "cw_upstream_stats.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

/// A configuration with one service, "svc", whose upstreams are cold for the given time.
[[nodiscard]] cw_site_config cw_slow_start_config(std::chrono::milliseconds cold_start,
                                                  bool keyed = false);

/// Hosts that send a steady demand to the upstreams of one service without keys, in virtual time.
/// One upstream is new at time 0, or fails until then.
class cw_slow_start_simulation {
public:
    using seconds = std::chrono::duration<double>;

    /// How the upstream that is observed responds.
    enum class behavior {
        normal,
        /// It refuses all requests as busy.
        busy,
        /// Its requests take four times as long as those of the others.
        late
    };

    struct options {
        std::size_t hosts = 1;
        std::uint64_t seed = 1;
        behavior observed = behavior::normal;
        /// True if the observed upstream is known from the start and all its requests fail until
        /// time 0; false if it is listed from time 0 on.
        bool recovers = false;
        /// Requests a second of all hosts together.
        double demand = 4'000.0;
        /// Mean service time in seconds.
        double service_seconds = 0.010;
        /// Largest deviation of a service time from the mean, relative to it.
        double spread = 0.2;
        std::uint32_t slots = 6;
        /// False for hosts without slow start.
        bool has_slow_start = true;
    };

    static constexpr std::size_t warm_upstreams = 10;
    /// Part of the demand that each upstream gets when all get the same.
    static constexpr double even_part = 1.0 / (warm_upstreams + 1);

    explicit cw_slow_start_simulation(const options& chosen);

    /// Sends requests from `first` until `last`, which is relative to time 0.
    void run(seconds first, seconds last);

    /// Requests that the observed upstream got from `from` to `until`.
    [[nodiscard]] std::size_t requests(seconds from, seconds until) const;
    /// The most requests that it got in any interval of the given length, aligned to the length.
    [[nodiscard]] std::size_t peak_requests(seconds length) const;
    /// Time at which it first answered well since time 0; none if it did not.
    [[nodiscard]] std::optional<seconds> first_answer() const { return first_answer_; }
    /// Number of hosts whose ramp of it is not over at the given time.
    [[nodiscard]] std::size_t ramping_hosts(seconds at);

private:
    struct host {
        std::vector<cw_upstream_stats> stats;
        cw_upstream_ramps ramps;
    };
    struct request {
        std::size_t host = 0;
        std::size_t upstream = 0;
        cw_boot_time sent_at{};
        bool fails = false;
    };
    struct server {
        std::uint32_t running = 0;
        std::deque<request> waiting;
    };
    struct event {
        cw_boot_time at{};
        /// Order of events at the same time.
        std::uint64_t number = 0;
        std::function<void()> run;
        friend bool operator<(const event& left, const event& right) {
            return std::tie(left.at, left.number) > std::tie(right.at, right.number);
        }
    };

    void schedule(cw_boot_time at, std::function<void()> run);
    void list_all();
    void arrive();
    void send(std::size_t host_index, std::size_t upstream);
    void start_service(std::size_t upstream, const request& started);
    void finish(const request& finished);
    [[nodiscard]] double draw() { return std::uniform_real_distribution<>{}(engine_); }
    [[nodiscard]] cw_reported_load load_of(std::size_t upstream) const;
    void respond(const request& ended, bool answered);

    options options_;
    std::mt19937_64 engine_;
    cw_site_config config_;
    /// Lists without and with the observed upstream, which is the last.
    cw_upstream_ramps::lists warm_;
    cw_upstream_ramps::lists all_;
    bool is_listed_ = false;
    std::vector<host> hosts_;
    std::vector<server> servers_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    cw_boot_time now_{};
    cw_boot_time last_arrival_{};
    /// Times, relative to time 0, at which the observed upstream got requests.
    std::vector<seconds> received_;
    std::optional<seconds> first_answer_;
};
