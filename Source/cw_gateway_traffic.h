#pragma once

#include "cw_boot_clock.h"
#include "cw_buffer_budget.h"
#include "cw_cold_start_limits.h"
#include "cw_config_in_force.h"
#include "cw_connection_pool.h"
#include "cw_crash_filter.h"
#include "cw_gateway_metrics.h"
#include "cw_gateway_view.h"
#include "cw_key_load.h"
#include "cw_known_config.h"
#include "cw_leaving_notice.h"
#include "cw_limit_table.h"
#include "cw_log.h"
#include "cw_retry_budget.h"
#include "cw_shared_load.h"
#include "cw_time.h"
#include "cw_upstream_ramps.h"
#include "cw_upstream_speeds.h"
#include "cw_upstream_stats.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

class cw_call_watch;
struct cw_gateway_options;
struct cw_reported_load;
struct cw_selection_criteria;

/// State shared by all callers' sessions of a gateway: traffic means the callers' requests, as
/// opposed to the control of key ownership.
///
/// Used from the traffic thread only, except for the metrics and the functions that are marked as
/// safe to call from any thread.
class cw_gateway_traffic {
public:
    cw_gateway_traffic(const cw_gateway_options& options, cw_gateway_metrics& metrics);

    [[nodiscard]] boost::asio::io_context& context() { return context_; }
    /// Failure domain of this host.
    [[nodiscard]] const std::string& domain() const { return domain_; }
    [[nodiscard]] cw_crash_filter& crash_filter() { return crashes_; }
    [[nodiscard]] cw_gateway_metrics& metrics() { return metrics_; }
    [[nodiscard]] const cw_log& log() const { return log_; }
    [[nodiscard]] cw_connection_pool& pool() { return pool_; }
    /// Limits of request rates that upstreams have named. Safe to use from any thread.
    [[nodiscard]] cw_limit_table& limits() { return limits_; }
    /// Memory of all answers that are being received or written.
    [[nodiscard]] cw_buffer_budget& answer_budget() { return answer_budget_; }
    /// Memory of all requests that are being received or have no answer yet.
    [[nodiscard]] cw_buffer_budget& request_budget() { return request_budget_; }

    /// The current view of configuration, upstreams and key tables; never null. Its configuration
    /// is null until one is received.
    [[nodiscard]] const std::shared_ptr<const cw_gateway_view>& view() const { return view_; }
    /// Replaces the view and wakes all wait_for_view(). Safe to call from any thread.
    void publish(std::shared_ptr<const cw_gateway_view> view);
    /// Sets what this host knows of later configurations. Safe to call from any thread.
    void set_known_config(const cw_known_config& known);
    /// True if the view's configuration may be outdated: a later one is known to exist, or may
    /// exist for longer than a change may take to be in force.
    [[nodiscard]] bool is_config_outdated(cw_boot_time now) const;
    /// True if a later configuration than the view's is known to exist, and may have been
    /// acknowledged for longer than it may take to be in force, though this host has received it or
    /// its sources answer. A host that is cut off goes on with what it has.
    [[nodiscard]] bool is_config_overdue(cw_boot_time now) const;
    /// Version of the configuration in force for requests; 0 for none. Safe to call from any
    /// thread.
    [[nodiscard]] std::uint64_t config_in_force_version() const;
    /// Highest lag of that configuration since the last call. Safe to call from any thread.
    [[nodiscard]] std::chrono::milliseconds take_peak_config_in_force_lag();
    /// The longest time from a publish() until its view was in use, since the last call. Safe to
    /// call from any thread.
    [[nodiscard]] std::chrono::milliseconds take_peak_view_wait() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            peak_view_wait_.exchange(std::chrono::nanoseconds{0}));
    }
    /// Returns when a new view is published or the caller leaves, at `until` at the latest.
    boost::asio::awaitable<void> wait_for_view(cw_call_watch& watch, cw_time_point until);

    /// Statistics of one incarnation of an upstream, created on first use.
    [[nodiscard]] cw_upstream_stats& stats(const cw_upstream_entry& upstream);
    /// This host's portion of the retry budget of a service. While it is unknown how many hosts
    /// share the budget, the portion has no reserve beyond one retry earned by requests.
    [[nodiscard]] cw_retry_budget& retry_budget(const std::string& service);
    /// Chooses one of the services of a route according to their weights.
    [[nodiscard]] const std::string& choose_service(const cw_site_route& route);
    [[nodiscard]] std::uint64_t random_number() { return engine_(); }
    /// A random number from 0 up to 1.
    [[nodiscard]] double random_share() { return std::uniform_real_distribution<>{}(engine_); }
    /// Records what an answer of the upstream says about its limit, and logs a change.
    void record_limit(const cw_upstream_entry& upstream, std::optional<double> limit);

    /// True if any upstream is treated as cold.
    [[nodiscard]] bool has_cold_upstreams() const { return !cold_limits_.is_empty(); }
    /// True if a request may be sent to the upstream now as far as its limit while it is cold
    /// allows.
    [[nodiscard]] bool admits_if_cold(const cw_upstream_entry& upstream);
    /// Counts a request that is sent to an upstream against its limit while it is cold.
    void on_sent_if_cold(const cw_upstream_entry& upstream);
    /// Time until a request to the upstream will be admitted if it is cold; 0 if one is admitted.
    [[nodiscard]] std::chrono::milliseconds cold_admission_delay(const cw_upstream_entry& upstream);
    /// A connect to the upstream was refused, so it may be starting again.
    void on_connect_refused(const cw_upstream_entry& upstream);

    /// Slow start of upstreams.
    [[nodiscard]] cw_upstream_ramps& ramps() { return ramps_; }
    /// Lets the slow start of the service's upstreams, if it has one, take part in a selection.
    void apply_ramps(const std::string& service, cw_selection_criteria& criteria);
    /// Records what a response says about the slow start of the upstream, and logs a change.
    /// `is_recovery` is true for the first response since the upstream was avoided after failures.
    void record_ramp_response(const cw_upstream_entry& upstream, cw_ramp_response response,
                              bool is_recovery);
    /// Ends the ramps that have become complete by time alone, logs them and counts the selections
    /// that passed over an upstream. Safe to call from any thread; takes effect a moment later.
    void update_ramps();
    /// Number of upstreams in their slow start. Safe to call from any thread.
    [[nodiscard]] std::size_t ramping_upstreams() const { return ramping_upstreams_; }

    /// Sets the retry budget of all hosts together: `share` is the number of retries per request,
    /// `slack` the number of tokens that may be saved up. Safe to call from any thread.
    void set_retry_budget(double share, double slack);

    /// Latest time at which this process answers requests; the maximum until a stop is requested.
    /// Safe to call from any thread.
    [[nodiscard]] cw_time_point answers_until() const { return answers_until_; }
    void set_answers_until(cw_time_point until) { answers_until_ = until; }

    /// Counts a request for a key, for take_counts().
    void count_key(const std::string& service, std::uint32_t key);
    /// Returns the requests per key since the last call, by service, and clears the counts. Safe to
    /// call from any thread.
    [[nodiscard]] std::map<std::string, std::vector<cw_key_count>> take_counts();

    /// Sets the function that receives the leaving notices of upstreams, on the traffic thread.
    void set_leaving_reporter(std::function<void(const cw_leaving_notice&)> report) {
        leaving_reporter_ = std::move(report);
    }
    /// Reports that an upstream announced its shutdown in an answer. Ignored unless the current
    /// view lists this incarnation.
    void report_leaving(const cw_leaving_notice& notice);
    /// Records the service time, in seconds, of an answer to a request with a key, for
    /// take_speeds().
    void record_speed(const std::string& service, const std::string& upstream, double seconds);
    /// Returns the speed samples since the last call, by service, and clears them. Safe to call
    /// from any thread.
    [[nodiscard]] std::map<std::string, std::vector<cw_speed_sample>> take_speeds();

    /// Records the load that an upstream has stated, for take_loads(). Loads are shared with other
    /// hosts if upstreams state how slow their machines are: these change too fast for what a host
    /// learns from its own requests.
    void record_load(const cw_upstream_entry& upstream, bool is_keyed,
                     const cw_reported_load& load);
    /// Returns the loads of a service's upstreams recorded since the last call, and clears them;
    /// the empty name stands for all services without keys. Safe to call from any thread.
    [[nodiscard]] std::vector<cw_shared_load> take_loads(const std::string& service);
    /// Applies the loads that other hosts have passed on. Safe to call from any thread; takes
    /// effect a moment later.
    void apply_loads(std::vector<cw_shared_load> loads);

    /// Requests in progress. Other threads may read it.
    std::atomic<std::uint64_t> open_requests{0};
    /// Connections that wait for their next request.
    std::list<boost::asio::ip::tcp::socket*> idle_connections;

private:
    void apply_view(const cw_gateway_view& view);
    /// Logs which upstreams are treated as cold from now on, or no longer, and sets the timer for
    /// the next end of a warm-up.
    void report_cold_upstreams();
    /// Logs the starts and ends of ramps since the last call, and updates their metrics.
    void record_ramp_changes();
    /// Logs that a configuration is in force in traffic since now, and records how long the view
    /// has waited since `published_at`.
    void record_view_wait(const cw_gateway_view& view, cw_time_point published_at);
    /// Records the version by which requests are handled from now on, and returns the time since it
    /// was received; none if that is unknown.
    std::optional<std::chrono::milliseconds> record_config_in_force(const cw_gateway_view& view);

    std::string domain_;
    double retry_share_;
    double retry_slack_;
    cw_crash_filter crashes_{cw_crash_options{}};
    cw_gateway_metrics& metrics_;
    cw_log log_{"route"};
    // The budgets must outlive the sessions, which are destroyed with the context.
    cw_buffer_budget answer_budget_;
    cw_buffer_budget request_budget_;
    boost::asio::io_context context_{1};
    cw_connection_pool pool_;
    cw_limit_table limits_;
    cw_cold_start_limits cold_limits_;
    boost::asio::steady_timer cold_timer_{context_};
    std::chrono::milliseconds config_bound_;
    std::shared_ptr<const cw_gateway_view> view_;
    std::list<cw_call_watch*> view_waiters_;
    mutable std::mutex config_mutex_;
    cw_config_in_force config_in_force_;
    std::atomic<std::chrono::nanoseconds> peak_view_wait_{std::chrono::nanoseconds{0}};
    std::unordered_map<std::string, cw_upstream_stats> stats_;
    cw_upstream_ramps ramps_;
    std::atomic<std::size_t> ramping_upstreams_{0};
    std::map<std::string, cw_retry_budget> retry_budgets_;
    std::uint32_t host_count_ = 0;
    std::atomic<cw_time_point> answers_until_{cw_time_point::max()};
    /// Current weights of the weighted round robin, by route and service.
    std::map<std::string, std::map<std::string, double>> current_weights_;
    std::mt19937_64 engine_;
    std::function<void(const cw_leaving_notice&)> leaving_reporter_;
    std::mutex measurements_mutex_;
    /// By service and key.
    std::map<std::string, std::unordered_map<std::uint32_t, cw_key_count>> key_counts_;
    /// By service and upstream.
    std::map<std::string, std::unordered_map<std::string, cw_speed_sample>> speed_samples_;

    struct recorded_load {
        cw_shared_load load;
        cw_boot_time stated_at{};
    };
    /// The latest load of each upstream, by service and upstream.
    std::map<std::string, std::unordered_map<std::string, recorded_load>> loads_;
};
