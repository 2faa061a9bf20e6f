#pragma once

#include "cw_async_condition.h"
#include "cw_control_event.h"
#include "cw_crash_news.h"
#include "cw_gateway_view.h"
#include "cw_http_client.h"
#include "cw_http_server.h"
#include "cw_log.h"
#include "cw_steward_command.h"
#include "cw_table_change_log.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct cw_gateway_options;
class cw_gateway_traffic;
struct cw_steward_reply;

/// What gateways tell one another: loads and crashes to each service's steward, key tables to all
/// hosts, and a succession to the steward before. Used on the I/O thread.
class cw_host_exchange {
public:
    using deliver_function = std::function<void(cw_control_event)>;
    /// Answers a host that follows this one; takes the request's target.
    using feed_function = std::function<boost::asio::awaitable<cw_http_response>(std::string)>;

    /// Binds the address for other hosts; throws boost::system::system_error when it is taken.
    /// What is heard is handed to `deliver`; `feed` answers the hosts that follow this one.
    cw_host_exchange(boost::asio::io_context& context, const cw_gateway_options& options,
                     cw_steward_id self, cw_gateway_traffic& traffic, deliver_function deliver,
                     feed_function feed);

    void start();
    /// Takes the key tables that other hosts are told of.
    void on_view(std::shared_ptr<const cw_gateway_view> view);
    /// Takes the steward of each service and begins to report to new ones.
    void on_stewards(const std::map<std::string, cw_steward_id>& stewards);
    /// Keeps crashes for the next report to the steward of the service that gathers them.
    void on_crashes(const std::string& gathering_service,
                    const std::vector<cw_crash_report>& crashes);
    /// Keeps upstreams that leave for the next report to their service's steward.
    void on_leaving(const std::vector<cw_leaving_notice>& notes);
    /// Tells an earlier steward that it has been succeeded.
    void tell(const cw_tell_predecessor& command);

private:
    template <typename Result>
    using task = boost::asio::awaitable<Result>;

    void spawn(task<void> work);

    /// Reports a service's load to its steward for as long as the process runs.
    task<void> report(std::string service);
    task<void> report_to(cw_steward_id steward, std::string service);
    /// Hands the steward's answer on; false when the other host is not the steward. What table it
    /// knows counts in either case.
    bool take_answer(const std::string& service, const std::shared_ptr<const cw_key_table>& known,
                     const cw_crash_marks& known_crashes, const cw_http_response& answer);
    task<void> tell_predecessor(cw_tell_predecessor command);

    task<cw_http_response> serve(cw_http_request request);
    /// Takes another host's report and answers when the table has changed, or after a while.
    task<cw_http_response> serve_report(cw_http_request request);
    /// What a host is told that knows the copy of its service's table and the crash marks named.
    [[nodiscard]] cw_steward_reply make_reply(const cw_host_report& report,
                                              const cw_table_version& known,
                                              std::uint64_t known_crashes);
    /// Takes the table of a host that has succeeded this one. Answers with 200 once this host goes
    /// by that table, so that it grants no more.
    task<cw_http_response> serve_succession(cw_http_request request);

    /// Waits until something holds in the view; false when it does not by then.
    template <typename Condition>
    task<bool> wait_for_view(cw_time_point until, Condition holds) {
        while (!holds() && std::chrono::steady_clock::now() < until) {
            co_await view_changed_.wait(until);
        }
        co_return holds();
    }
    [[nodiscard]] std::shared_ptr<const cw_key_table> table_of(const std::string& service) const;
    [[nodiscard]] bool knows_term(const std::string& service, std::uint64_t term) const;
    /// True when this host is the service's steward and the store does not answer it.
    [[nodiscard]] bool seeks(const std::string& service) const;
    /// Takes the requests for the service's keys that traffic has counted since the last call.
    std::vector<cw_key_count> take_counts(const std::string& service);
    /// Takes the speeds of the service's upstreams in the same way.
    std::vector<cw_speed_note> take_speeds(const std::string& service);

    boost::asio::io_context& context_;
    const cw_gateway_options& options_;
    cw_steward_id self_;
    cw_gateway_traffic& traffic_;
    deliver_function deliver_;
    feed_function feed_;
    cw_log log_{"exchange"};
    cw_http_client http_;
    std::shared_ptr<const cw_gateway_view> view_;
    std::map<std::string, cw_table_change_log> news_;
    cw_crash_news crash_news_;
    std::map<std::string, cw_steward_id> stewards_;
    std::map<std::string, std::vector<cw_key_count>> counts_;
    std::map<std::string, std::vector<cw_speed_note>> speeds_;
    std::map<std::string, std::vector<cw_leaving_notice>> leaving_;
    std::string gathering_service_;
    std::vector<cw_crash_report> untold_crashes_;
    /// Told of each new view; answers to other hosts wait for it.
    cw_async_condition view_changed_;
    cw_http_server server_;
};
