#pragma once

#include "cw_async_condition.h"
#include "cw_control_event.h"
#include "cw_crash_change_log.h"
#include "cw_exchange_log.h"
#include "cw_gateway_view.h"
#include "cw_http_client.h"
#include "cw_http_server.h"
#include "cw_limit_collector.h"
#include "cw_load_collector.h"
#include "cw_log.h"
#include "cw_steward_command.h"
#include "cw_table_change_log.h"
#include "cw_table_transfer.h"

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

/// HTTP traffic between gateway hosts. Each host reports loads and leaving upstreams to the steward
/// of each service, and crashes to the steward that collects them. A steward answers with its key
/// table, and a new steward notifies its predecessor of the succession. Used on the I/O thread.
class cw_gateway_sync {
public:
    /// Passes an event to the control state.
    using deliver_function = std::function<void(cw_control_event)>;
    /// Serves a request for the feed, given its target.
    using feed_function = std::function<boost::asio::awaitable<cw_http_response>(std::string)>;

    /// Binds the address for other hosts; throws boost::system::system_error if it is in use.
    /// Events are passed to `deliver`; `feed` serves the hosts that read the feed from this
    /// one.
    cw_gateway_sync(boost::asio::io_context& context, const cw_gateway_options& options,
                    cw_steward_id self, cw_gateway_traffic& traffic, deliver_function deliver,
                    feed_function feed);

    /// Starts the server for other hosts.
    void start();
    /// Sets the view whose key tables and crash counts are sent to other hosts; not null.
    void on_view(std::shared_ptr<const cw_gateway_view> view);
    /// Sets whether this host's reports tell that its calls to the store fail.
    void set_store_suspected(bool is_suspected) { is_store_suspected_ = is_suspected; }
    /// Sets the steward of each service and starts the reports on services that are new.
    void on_stewards(const std::map<std::string, cw_steward_id>& stewards);
    /// Queues crashes for the next report to the steward of the service that collects them.
    void on_crashes(const std::string& crash_collecting_service,
                    const std::vector<cw_crash_report>& crashes);
    /// Queues upstreams that are leaving for the next report to the steward of their service.
    void on_leaving(const std::vector<cw_leaving_notice>& notices);
    /// Notifies an earlier steward in the background that it has been succeeded.
    void notify_predecessor(const cw_notify_predecessor& command);
    /// Longest time since the last call for which a key table of this host went unconfirmed.
    [[nodiscard]] std::chrono::milliseconds take_peak_table_lag() {
        return exchange_log_.take_peak_table_lag(cw_boot_clock::now());
    }

private:
    template <typename Result>
    using task = boost::asio::awaitable<Result>;

    void spawn(task<void> work);

    /// Reports a service's load to its steward until the process ends. A host that is the steward,
    /// or knows none, passes the load to its own control state instead.
    task<void> report_periodically(std::string service);
    /// Passes this host's load to its own control state.
    void report_to_self(const std::string& service, const cw_steward_id& steward);
    /// Sends one report. If it fails, its crashes and leaving upstreams are queued again and the
    /// control state is notified.
    task<void> send_report(cw_steward_id steward, std::string service);
    /// Passes the answer of a steward to the control state. False if the answer cannot be parsed or
    /// the other host is not the steward; in the latter case its table is passed on nevertheless.
    bool handle_response(const std::string& service, const cw_steward_id& steward,
                         const cw_key_table& known, const cw_crash_counts& known_crashes,
                         const cw_http_response& answer);
    /// Sends the new key table to the predecessor and passes on its acknowledgement.
    task<void> send_succession(cw_notify_predecessor command);

    task<cw_http_response> serve(cw_http_request request);
    /// Passes on another host's report. Answers once this host has a newer key table than the
    /// other host, is not the steward or begins to request a successor; at the latest after the
    /// report interval.
    task<cw_http_response> serve_report(cw_http_request request);
    /// Reply to a host that knows the given copy of the key table and the crash counts with the
    /// given digest; the table is in the given form.
    [[nodiscard]] cw_steward_reply make_reply(const cw_host_report& report,
                                              const cw_table_version& known_version,
                                              cw_table_format format,
                                              std::uint64_t known_crashes_digest);
    /// Passes on the table of a host that has succeeded this one. Answers with 200 once this host
    /// has adopted that table, and so grants no more keys, and with 409 if it has not within the
    /// report interval.
    task<cw_http_response> serve_succession(cw_http_request request);

    /// Waits until a condition on the view holds; false if it does not hold at `until`.
    template <typename Condition>
    task<bool> wait_for_view(cw_time_point until, Condition holds) {
        while (!holds() && std::chrono::steady_clock::now() < until) {
            co_await view_changed_.wait(until);
        }
        co_return holds();
    }
    /// The service's key table; null if none is known.
    [[nodiscard]] std::shared_ptr<const cw_key_table> table_of(const std::string& service) const;
    /// True when the known table is of the given term or a later one.
    [[nodiscard]] bool has_reached_term(const std::string& service, const cw_term& term) const;
    /// The last table of this host's stewardship if the steward of the given term followed at once;
    /// else null.
    [[nodiscard]] std::shared_ptr<const cw_key_table> own_table_before(const std::string& service,
                                                                       const cw_term& term) const;
    /// True when this host is the service's steward and requests a successor, since the store does
    /// not answer it.
    [[nodiscard]] bool requests_successor(const std::string& service) const;
    /// Returns the loads to report to the service's steward, and removes them.
    std::vector<cw_shared_load> take_loads(const std::string& service);
    /// Divides the limited rates for this host itself, as it does for hosts that report to it.
    void apply_own_limits();
    /// Returns the requests for the service's keys since the last call, and resets the counts.
    std::vector<cw_key_count> take_counts(const std::string& service);
    /// Returns the speed samples of the service's upstreams since the last call, and removes them.
    std::vector<cw_speed_sample> take_speeds(const std::string& service);

    boost::asio::io_context& context_;
    const cw_gateway_options& options_;
    cw_steward_id self_;
    cw_gateway_traffic& traffic_;
    deliver_function deliver_;
    feed_function serve_feed_;
    cw_log log_{"exchange"};
    cw_exchange_log exchange_log_;
    cw_http_client http_;
    std::shared_ptr<const cw_gateway_view> view_;
    std::map<std::string, cw_table_change_log> table_change_logs_;
    cw_crash_change_log crash_change_log_;
    std::map<std::string, cw_steward_id> stewards_;
    /// Data that was taken from traffic and not yet reported, by service.
    std::map<std::string, std::vector<cw_key_count>> key_counts_;
    std::map<std::string, std::vector<cw_speed_sample>> speed_samples_;
    /// Loads of the upstreams of the services whose steward this host is.
    std::map<std::string, cw_load_collector> load_collectors_;
    /// Upstreams that are leaving and not yet reported, by service.
    std::map<std::string, std::vector<cw_leaving_notice>> leaving_notices_;
    /// By service, the time limit of the next answer to a report.
    std::map<std::string, cw_table_transfer> transfers_;
    bool is_store_suspected_ = false;
    std::string crash_collecting_service_;
    std::vector<cw_crash_report> unreported_crashes_;
    /// Used while this host is the steward that collects crashes and limits.
    cw_limit_collector limit_collector_;
    /// Notified of each new view; requests that are held open wait for it.
    cw_async_condition view_changed_;
    cw_http_server server_;
};
