#pragma once

#include "cw_async.h"
#include "cw_gateway_feed.h"
#include "cw_gateway_messages.h"
#include "cw_gateway_options.h"
#include "cw_gateway_port.h"
#include "cw_gateway_sync.h"
#include "cw_gateway_traffic.h"
#include "cw_http_client.h"
#include "cw_kernel.h"
#include "cw_log.h"
#include "cw_ownership_sender.h"
#include "cw_spawn.h"
#include "cw_timeline.h"

#include <algorithm>
#include <caf/send.hpp>
#include <set>
#include <utility>

/// Executes the decisions of the control state: calls to the store and to upstreams, HTTP traffic
/// with other hosts, and the publication of views to the traffic thread.
template <cw_gateway_port Port>
class cw_gateway_io {
public:
    cw_gateway_io(boost::asio::io_context& context, cw_kernel& kernel,
                  const cw_gateway_options& options, const cw_steward_id& self,
                  cw_gateway_traffic& traffic)
        : context_{context},
          kernel_{kernel},
          options_{options},
          traffic_{traffic},
          timeline_{options.host, options.domain, "control"},
          store_http_{context},
          command_http_{context, max_command_answer},
          store_{store_http_, options.store_address,
                 [this](const cw_error& error, std::uint64_t revision) {
                     log_rejected_object(error, revision);
                 },
                 [this](const cw_error& error, std::uint64_t version) {
                     log_ignored_value(error, version);
                 }},
          port_sender_{command_http_},
          command_sender_{port_sender_},
          feed_{context, options, store_, self.address,
                [this](cw_control_event event) { deliver(std::move(event)); }},
          sync_{context,
                options,
                self,
                traffic,
                [this](cw_control_event event) { deliver(std::move(event)); },
                [this](std::string target) { return feed_.serve(std::move(target)); }} {}

    /// Starts the feed, the reports to stewards and the server for other hosts.
    void start() {
        traffic_.crash_filter().set_reporter(
            [this](std::uint64_t fingerprint, const std::string& address, bool answered) {
                deliver(cw_crash_report{fingerprint, address, answered});
            });
        traffic_.set_leaving_reporter([this](const cw_leaving_notice& notice) { deliver(notice); });
        sync_.start();
        feed_.set_known_config_reporter(
            [this](const cw_known_config& known) { traffic_.set_known_config(known); });
        feed_.start();
    }

    /// Executes an output of the control state; called on the I/O thread.
    void apply(const cw_control_output& output) {
        for (const auto& event : output.events) {
            timeline_.add(event, std::chrono::system_clock::now());
        }
        if (output.view != nullptr) {
            view_ = output.view;
            traffic_.publish(output.view);
            sync_.on_view(output.view);
        }
        feed_.on_readers(output.readers);
        sync_.set_store_suspected(feed_.is_store_suspected());
        sync_.on_stewards(output.stewards);
        sync_.on_crashes(output.crash_collecting_service, output.crashes);
        sync_.on_leaving(output.leaving_notices);
        for (const auto& command : output.commands) {
            std::visit([this](const auto& typed_command) { this->execute(typed_command); },
                       command);
        }
    }

    /// Sends an event to the control state.
    void deliver(cw_control_event event) {
        caf::anon_send(
            kernel_.find("control"),
            cw_control_event_ptr{std::make_shared<const cw_control_event>(std::move(event))});
    }

    /// The view published last; null before the first.
    [[nodiscard]] const std::shared_ptr<const cw_gateway_view>& view() const { return view_; }
    /// Sets the metrics that tell what this host knows from the store, and since when.
    void update_metrics() {
        const auto now = cw_boot_clock::now();
        const auto age = [now](cw_boot_time moment) {
            return moment == cw_boot_time{} ? -1.0
                                            : std::chrono::duration<double>(now - moment).count();
        };
        const auto state = feed_.state();
        const auto seconds = [](milliseconds time) {
            return std::chrono::duration<double>(time).count();
        };
        auto& metrics = traffic_.metrics();
        metrics.set_gauge("store_calls", static_cast<double>(store_.calls()));
        metrics.set_gauge("store_calls_unanswered", static_cast<double>(store_.unanswered_calls()));
        metrics.set_gauge("store_era", static_cast<double>(store_.era()));
        metrics.set_gauge("store_age_seconds", age(state.last_store_response));
        metrics.set_gauge("feed_entries_lag_peak_seconds", seconds(feed_.take_peak_entries_lag()));
        metrics.set_gauge("feed_config_lag_peak_seconds", seconds(feed_.take_peak_config_lag()));
        if (options_.evacuation_bound.count() > 0) {
            metrics.set_gauge("feed_evacuations_lag_peak_seconds",
                              seconds(feed_.take_peak_evacuations_lag()));
            metrics.set_gauge(
                "evacuated_domains",
                view_ == nullptr ? 0.0 : static_cast<double>(view_->evacuations.evacuated.size()));
        }
        metrics.set_gauge("control_thread_wait_peak_seconds",
                          seconds(feed_.take_peak_thread_wait()));
        metrics.set_gauge("key_table_lag_peak_seconds", seconds(sync_.take_peak_table_lag()));
        metrics.set_gauge("view_wait_peak_seconds", seconds(traffic_.take_peak_view_wait()));
        auto& answers = traffic_.answer_budget();
        metrics.set_gauge("answer_buffer_bytes", static_cast<double>(answers.bytes()));
        metrics.set_gauge("answer_buffer_peak_bytes", static_cast<double>(answers.take_peak()));
        auto& requests = traffic_.request_budget();
        metrics.set_gauge("request_buffer_bytes", static_cast<double>(requests.bytes()));
        metrics.set_gauge("request_buffer_peak_bytes", static_cast<double>(requests.take_peak()));
        metrics.set_gauge("command_wait_peak_seconds",
                          seconds(std::exchange(peak_command_wait_, milliseconds{0})));
        metrics.set_gauge("feed_reads_store", state.reads_store ? 1.0 : 0.0);
        metrics.set_gauge("feed_revision", static_cast<double>(state.position.revision));
        metrics.set_gauge("feed_polls_unanswered", static_cast<double>(state.unanswered_polls));
        metrics.set_gauge("limited_upstreams", static_cast<double>(traffic_.limits().size()));
        traffic_.update_ramps();
        metrics.set_gauge("ramping_upstreams", static_cast<double>(traffic_.ramping_upstreams()));
        metrics.set_gauge("config_version", static_cast<double>(state.config_version));
        metrics.set_gauge("config_age_seconds", age(state.config_received_at));
        metrics.set_gauge("config_in_force_version",
                          static_cast<double>(traffic_.config_in_force_version()));
        metrics.set_gauge("config_in_force_lag_peak_seconds",
                          seconds(traffic_.take_peak_config_in_force_lag()));
    }

private:
    using milliseconds = std::chrono::milliseconds;
    using void_task = boost::asio::awaitable<void>;

    static constexpr milliseconds table_timeout{800};
    static constexpr milliseconds grant_timeout{120};
    /// Limit of an upstream's answer to an ownership command, in bytes. Many are awaited at once.
    static constexpr std::uint64_t max_command_answer = 16'384;
    /// An upstream answers a release only when the requests that run on the keys have ended.
    static constexpr milliseconds release_timeout{4'000};
    /// Time between a decision and its execution from which it is logged.
    static constexpr milliseconds long_command_wait{100};

    static cw_time_point deadline_in(milliseconds time) {
        return std::chrono::steady_clock::now() + time;
    }

    static milliseconds milliseconds_between(cw_boot_time from, cw_boot_time until) {
        return std::chrono::duration_cast<milliseconds>(until - from);
    }

    /// Time since the store confirmed the sender of a command as the steward, in ms.
    static std::string confirmation_age(const cw_ownership_command& command, cw_boot_time now) {
        return std::to_string(milliseconds_between(command.confirmed_at, now).count());
    }

    void spawn(void_task work) { cw_spawn(context_, std::move(work), log_); }

    /// Logs an object of the store that cannot be used, once per revision of the object.
    void log_rejected_object(const cw_error& error, std::uint64_t revision) {
        if (is_first_report(error.peer + "@" + std::to_string(revision))) {
            log_.warning("An object of the store is invalid and is ignored.",
                         {{"name", error.peer},
                          {"revision", std::to_string(revision)},
                          {"reason", error.reason}});
        }
    }

    /// Logs a value that is ignored in a configuration, once per version of the configuration.
    void log_ignored_value(const cw_error& error, std::uint64_t version) {
        if (is_first_report(error.step + " " + error.peer + "@" + std::to_string(version))) {
            log_.warning("A value in the configuration is invalid and is ignored.",
                         {{"service", error.peer},
                          {"config", std::to_string(version)},
                          {"reason", error.reason}});
        }
    }

    bool is_first_report(const std::string& subject) {
        if (logged_rejections_.size() > max_logged_rejections) {
            logged_rejections_.clear();
        }
        return logged_rejections_.insert(subject).second;
    }

    void execute(const cw_ownership_command& command) { spawn(send_command(command)); }
    void execute(const cw_read_table& command) { spawn(read_table(command)); }
    void execute(const cw_write_table& command) { spawn(write_table(command)); }
    void execute(const cw_write_heartbeat& command) { spawn(write_heartbeat(command)); }
    void execute(const cw_read_heartbeat& command) { spawn(read_heartbeat(command)); }
    void execute(const cw_notify_predecessor& command) { sync_.notify_predecessor(command); }

    void_task send_command(cw_ownership_command command) {
        // Only a release waits for requests that are running.
        const bool is_release = command.type == cw_ownership_command::kind::release;
        const std::string kind_name = cw_ownership_command::kind_name(command.type);
        const auto sent_at = cw_boot_clock::now();
        const auto outcome = co_await command_sender_.send(
            command, deadline_in(is_release ? release_timeout : grant_timeout));
        traffic_.metrics().increment(kind_name + "s");
        const auto wait = milliseconds_between(command.decided_at, sent_at);
        peak_command_wait_ = std::max(peak_command_wait_, wait);
        if (outcome.opened_connection) {
            traffic_.metrics().increment("grant_connections_opened");
        }
        const bool is_done = outcome.result == cw_ownership_command_result::done;
        if (is_done && (outcome.opened_connection || wait > long_command_wait)) {
            log_.info("An ownership command was executed on a new connection or late.",
                      {{"upstream", command.upstream.id},
                       {"incarnation", std::to_string(command.upstream.incarnation)},
                       {"what", kind_name},
                       {"first", std::to_string(command.first)},
                       {"last", std::to_string(command.last)},
                       {"fence", std::to_string(command.fence)},
                       {"new_connection", outcome.opened_connection ? "1" : "0"},
                       {"wait_ms", std::to_string(wait.count())},
                       {"confirmed_ms_ago", confirmation_age(command, outcome.ended_at)}});
        }
        if (!is_done) {
            log_.info(
                "An ownership command was not executed.",
                {{"upstream", command.upstream.id},
                 {"what", kind_name},
                 {"first", std::to_string(command.first)},
                 {"last", std::to_string(command.last)},
                 {"fence", std::to_string(command.fence)},
                 {"result", std::to_string(static_cast<int>(outcome.result))},
                 {"reason", outcome.failure},
                 {"new_connection", outcome.opened_connection ? "1" : "0"},
                 {"wait_ms", std::to_string(wait.count())},
                 {"confirmed_ms_ago", confirmation_age(command, outcome.ended_at)},
                 {"ms", std::to_string(milliseconds_between(sent_at, outcome.ended_at).count())}});
        }
        deliver(cw_ownership_event{command.service, outcome});
    }

    void_task read_table(cw_read_table command) {
        auto answer = co_await store_.read_table(command.service, deadline_in(table_timeout));
        deliver(cw_ownership_event{command.service, std::move(answer)});
    }

    void_task write_table(cw_write_table command) {
        auto answer = co_await store_.write_table(command.service, command.text, command.revision,
                                                  deadline_in(table_timeout));
        deliver(cw_ownership_event{command.service, std::move(answer)});
    }

    void_task write_heartbeat(cw_write_heartbeat command) {
        const auto answer = co_await store_.write_heartbeat(
            command.service, command.count, command.term, deadline_in(table_timeout));
        deliver(cw_ownership_event{command.service, answer});
    }

    void_task read_heartbeat(cw_read_heartbeat command) {
        const auto answer =
            co_await store_.read_heartbeat(command.service, deadline_in(table_timeout));
        deliver(cw_ownership_event{command.service, answer});
    }

    /// Size at which the set of logged rejections is cleared, which bounds its memory.
    static constexpr std::size_t max_logged_rejections = 1'000;

    boost::asio::io_context& context_;
    cw_kernel& kernel_;
    const cw_gateway_options& options_;
    cw_gateway_traffic& traffic_;
    cw_log log_{"control"};
    cw_timeline timeline_;
    cw_http_client store_http_;
    cw_http_client command_http_;
    typename Port::store store_;
    typename Port::command_sender port_sender_;
    cw_ownership_sender<typename Port::command_sender> command_sender_;
    std::shared_ptr<const cw_gateway_view> view_;
    /// Longest time between a decision and its execution since the metrics were last set.
    milliseconds peak_command_wait_{0};
    /// "name@revision" of rejected objects and ignored values that have been logged.
    std::set<std::string> logged_rejections_;
    cw_gateway_feed<Port> feed_;
    cw_gateway_sync sync_;
};
