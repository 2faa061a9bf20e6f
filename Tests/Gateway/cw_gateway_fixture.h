#pragma once

#include "cw_gateway_options.h"
#include "cw_gateway_traffic.h"
#include "cw_raw_upstream.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Runs the traffic part of a gateway in this process, in front of scripted raw upstreams.
///
/// The host name "shop.example" has four routes: /safe/ (idempotent), /long/ (the same with a time
/// limit of many times its target latency), /order/ (not idempotent) and /key/ (keyed). Each
/// upstream serves all three services. The upstreams have the ids u0, u1 and so on; u0 owns all
/// keys at first.
class cw_gateway_fixture {
public:
    explicit cw_gateway_fixture(std::vector<cw_raw_upstream::script> upstreams,
                                cw_gateway_options options = {});
    ~cw_gateway_fixture();

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] cw_raw_upstream& upstream(std::size_t index) { return *upstreams_.at(index); }
    [[nodiscard]] cw_gateway_metrics& metrics() { return metrics_; }
    [[nodiscard]] const cw_gateway_options& options() const { return options_; }
    /// Highest memory of all requests together since the last call, in bytes.
    [[nodiscard]] std::uint64_t take_peak_request_bytes() {
        return traffic_.request_budget().take_peak();
    }
    /// Memory of all answers together, in bytes.
    [[nodiscard]] std::uint64_t answer_bytes() { return traffic_.answer_budget().bytes(); }
    /// Highest memory of all answers together since the last call, in bytes.
    [[nodiscard]] std::uint64_t take_peak_answer_bytes() {
        return traffic_.answer_budget().take_peak();
    }
    /// Publishes a key table in which the given upstream owns all keys; `is_moving` means that they
    /// are not settled yet.
    void set_key_owner(std::size_t index, bool is_moving);
    /// Replaces an upstream's address by one at which nothing listens.
    void make_unreachable(std::size_t index);
    /// Publishes a configuration in which cold upstreams of each service tolerate the given rate.
    void set_cold_rate(double cold_rate);
    /// Publishes a view in which the upstream is cold for the given time.
    void set_cold(std::size_t index, std::chrono::milliseconds remaining);
    /// Sets the number of hosts that may use an upstream; 1 at first.
    void set_host_count(std::uint32_t hosts) {
        traffic_.limits().apply(hosts, {}, cw_boot_clock::now());
    }
    /// Passes on loads of upstreams as another host does.
    void apply_loads(std::vector<cw_shared_load> loads) { traffic_.apply_loads(std::move(loads)); }
    /// The loads of a service's upstreams to report to other hosts.
    [[nodiscard]] std::vector<cw_shared_load> take_loads(const std::string& service) {
        return traffic_.take_loads(service);
    }
    /// Replaces the failure domain of an upstream.
    void set_domain(std::size_t index, const std::string& domain);
    /// Publishes a view with the given evacuated failure domains.
    void set_evacuations(cw_evacuation_view evacuations);
    /// Publishes a view without a configuration, as before the first read from the store.
    void clear_config();
    /// Publishes a view with the same configuration under another version.
    void set_config(std::uint64_t version);
    /// Publishes a view with a configuration of another version that lacks the route of this name.
    void remove_route(const std::string& name, std::uint64_t version);
    /// Requests that have no answer yet.
    [[nodiscard]] std::uint64_t open_requests() const { return traffic_.open_requests; }
    /// Publishes a configuration in which upstreams of the service "safe" are cold for the given
    /// time after their start.
    void set_cold_start(std::chrono::milliseconds cold_start);
    /// Publishes a view with a new incarnation of the upstream.
    void start_again(std::size_t index);
    /// Number of upstreams in their slow start.
    [[nodiscard]] std::size_t ramping_upstreams();
    /// Sets which configuration this host has heard of, for how long it has heard of no other, and
    /// whether its sources answer. What it has received is in force.
    void set_known_config(std::uint64_t version, std::chrono::milliseconds lag,
                          bool are_sources_answering = true) {
        traffic_.set_known_config(
            {version, cw_boot_clock::now() - lag, are_sources_answering, view_->config->version()});
    }
    /// The same for a host that has received the version, whether it is in force or not.
    void set_received_config(std::uint64_t version, std::chrono::milliseconds lag,
                             bool are_sources_answering = true) {
        traffic_.set_known_config(
            {version, cw_boot_clock::now() - lag, are_sources_answering, version});
    }
    /// The event loop of the traffic thread.
    [[nodiscard]] boost::asio::io_context& traffic_context() { return traffic_.context(); }
    /// Blocks the traffic thread for the duration, as on an overloaded machine.
    void block_traffic(std::chrono::milliseconds duration);
    /// Requests a stop of the process, which ends after the given time, while other hosts go on.
    void stop_after(std::chrono::milliseconds length);
    /// Notices of leaving upstreams that the traffic reported.
    [[nodiscard]] std::vector<cw_leaving_notice> leaving_notices();
    /// Sends one request with the given header fields and returns all bytes received.
    [[nodiscard]] std::string send(const std::string& method, const std::string& path,
                                   const std::string& fields, const std::string& body = {});

private:
    boost::asio::awaitable<void> accept();
    [[nodiscard]] std::shared_ptr<cw_gateway_view> make_view() const;

    std::vector<std::unique_ptr<cw_raw_upstream>> upstreams_;
    cw_gateway_options options_;
    cw_gateway_metrics metrics_;
    cw_gateway_traffic traffic_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::uint64_t edition_ = 1;
    std::shared_ptr<cw_gateway_view> view_;
    std::mutex leaving_mutex_;
    std::vector<cw_leaving_notice> leaving_notices_;
    std::jthread thread_;
};

/// The text of an upstream's answer to a request in the platform's protocol: status line, echoed
/// attempt id, the given header lines, and the body with its length.
[[nodiscard]] std::string cw_upstream_answer(const std::string& request, const std::string& status,
                                             const std::string& fields, const std::string& body);

/// The value of a header field in a message's text; empty when it is absent.
[[nodiscard]] std::string cw_header_value(const std::string& message, const std::string& name);
