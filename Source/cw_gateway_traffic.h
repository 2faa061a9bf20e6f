#pragma once

#include "cw_crash_guard.h"
#include "cw_gateway_metrics.h"
#include "cw_gateway_view.h"
#include "cw_key_load.h"
#include "cw_leaving_notice.h"
#include "cw_log.h"
#include "cw_retry_budget.h"
#include "cw_time.h"
#include "cw_upstream_meter.h"
#include "cw_upstream_pool.h"
#include "cw_upstream_speeds.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

class cw_call_watch;
struct cw_gateway_options;

/// What all callers' connections of a gateway share. Used from the traffic thread, except for
/// publish(), take_counts() and the metrics.
class cw_gateway_traffic {
public:
    cw_gateway_traffic(const cw_gateway_options& options, cw_gateway_metrics& metrics);

    [[nodiscard]] boost::asio::io_context& context() { return context_; }
    /// Failure domain of this host.
    [[nodiscard]] const std::string& domain() const { return domain_; }
    [[nodiscard]] cw_crash_guard& crashes() { return crashes_; }
    [[nodiscard]] cw_gateway_metrics& metrics() { return metrics_; }
    [[nodiscard]] const cw_log& log() const { return log_; }
    [[nodiscard]] cw_upstream_pool& pool() { return pool_; }

    /// What to work by; never null. Its configuration is null until one is known.
    [[nodiscard]] const std::shared_ptr<const cw_gateway_view>& view() const { return view_; }
    /// Replaces the view and wakes everything that waits for one. Safe to call from any thread.
    void publish(std::shared_ptr<const cw_gateway_view> view);
    /// Returns when there is another view than the present one, the caller has left, or it is late.
    boost::asio::awaitable<void> wait_for_view(cw_call_watch& watch, cw_time_point until);

    /// The meter of one life of an upstream.
    [[nodiscard]] cw_upstream_meter& meter(const cw_upstream_entry& upstream);
    /// This host's share of a service's retry budget.
    [[nodiscard]] cw_retry_budget& budget(const std::string& service);
    /// Chooses a part of a route by weight.
    [[nodiscard]] const std::string& draw_part(const cw_site_route& route);
    /// A random number.
    [[nodiscard]] std::uint64_t draw() { return engine_(); }

    /// Sets the retries that all hosts together may make. Safe to call from any thread.
    void set_retry_bounds(double share, double slack);

    void count_key(const std::string& service, std::uint32_t key);
    /// Requests per key since the last call, by service. Safe to call from any thread.
    [[nodiscard]] std::map<std::string, std::vector<cw_key_count>> take_counts();

    /// Called with upstreams that say in an answer that they leave, from the traffic thread.
    void set_leaving_reporter(std::function<void(const cw_leaving_notice&)> report) {
        report_leaving_ = std::move(report);
    }
    /// An upstream said that it leaves; told once for each view.
    void note_leaving(const cw_leaving_notice& note);
    /// Takes the time that an upstream worked on a request for a key.
    void note_speed(const std::string& service, const std::string& upstream, double seconds);
    /// Speeds noted since the last call, by service. Safe to call from any thread.
    [[nodiscard]] std::map<std::string, std::vector<cw_speed_note>> take_speeds();

    /// Requests in hand. Other threads may read it.
    std::atomic<std::uint64_t> open_requests{0};
    /// Connections that wait for their next request.
    std::list<boost::asio::ip::tcp::socket*> idle;

private:
    void adapt_to(const cw_gateway_view& view);

    std::string domain_;
    double retry_share_;
    double retry_slack_;
    cw_crash_guard crashes_{cw_crash_options{}};
    cw_gateway_metrics& metrics_;
    cw_log log_{"route"};
    boost::asio::io_context context_{1};
    cw_upstream_pool pool_;
    std::shared_ptr<const cw_gateway_view> view_;
    std::list<cw_call_watch*> waiting_;
    std::unordered_map<std::string, cw_upstream_meter> meters_;
    std::map<std::string, cw_retry_budget> budgets_;
    std::uint32_t budget_hosts_ = 0;
    /// Running balances of the parts of each route, by route and service.
    std::map<std::string, std::map<std::string, double>> balances_;
    std::mt19937_64 engine_;
    std::function<void(const cw_leaving_notice&)> report_leaving_;
    std::mutex counts_mutex_;
    /// By service and key.
    std::map<std::string, std::unordered_map<std::uint32_t, cw_key_count>> counts_;
    /// By service and upstream.
    std::map<std::string, std::unordered_map<std::string, cw_speed_note>> speeds_;
};
