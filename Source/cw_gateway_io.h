#pragma once

#include "cw_async.h"
#include "cw_async_condition.h"
#include "cw_gateway_messages.h"
#include "cw_gateway_options.h"
#include "cw_gateway_port.h"
#include "cw_gateway_traffic.h"
#include "cw_http_client.h"
#include "cw_http_server.h"
#include "cw_kernel.h"
#include "cw_log.h"
#include "cw_query.h"
#include "cw_table_news.h"
#include "cw_timeline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <caf/send.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

/// Carries out what the control state decides: calls to the store and to upstreams, reports between
/// hosts, and publishing to traffic.
template <cw_gateway_port Port>
class cw_gateway_io {
public:
    cw_gateway_io(boost::asio::io_context& context, cw_kernel& kernel,
                  const cw_gateway_options& options, const cw_steward_id& self,
                  cw_gateway_traffic& traffic)
        : context_{context},
          kernel_{kernel},
          options_{options},
          self_{self},
          traffic_{traffic},
          timeline_{options.host, options.domain, "control"},
          store_http_{context},
          order_http_{context},
          peer_http_{context},
          store_{
              store_http_, options.store,
              [this](const cw_error& error, std::uint64_t revision) { reject(error, revision); }},
          orders_{order_http_},
          view_changed_{context},
          server_{context, options.peers,
                  [this](cw_http_request request) { return take(std::move(request)); }} {}

    void start() {
        traffic_.crashes().set_reporter(
            [this](std::uint64_t fingerprint, const std::string& address, bool answered) {
                deliver(cw_crash_note{fingerprint, address, answered});
            });
        server_.start();
        spawn(follow_config());
        spawn(follow_upstreams());
    }

    /// Takes what the control state decided; called on the I/O thread.
    void apply(const cw_control_output& output) {
        for (const auto& event : output.events) {
            timeline_.add(event, std::chrono::system_clock::now());
        }
        if (output.view != nullptr) {
            view_ = output.view;
            traffic_.publish(output.view);
            for (const auto& [service, table] : view_->tables) {
                news_[service].on_table(table);
            }
            view_changed_.notify_all();
        }
        for (const auto& [service, steward] : output.stewards) {
            const bool is_new = !stewards_.contains(service);
            stewards_[service] = steward;
            if (is_new) {
                spawn(report(service));
            }
        }
        gathering_service_ = output.gathering_service;
        untold_crashes_.insert(untold_crashes_.end(), output.crashes.begin(), output.crashes.end());
        for (const auto& command : output.commands) {
            std::visit([this](const auto& what) { this->carry_out(what); }, command);
        }
    }

    void deliver(cw_control_event event) {
        caf::anon_send(
            kernel_.find("control"),
            cw_control_event_ptr{std::make_shared<const cw_control_event>(std::move(event))});
    }

    [[nodiscard]] const std::shared_ptr<const cw_gateway_view>& view() const { return view_; }
    [[nodiscard]] std::uint64_t store_calls() const { return store_.calls(); }

private:
    using milliseconds = std::chrono::milliseconds;
    using nothing = boost::asio::awaitable<void>;

    static constexpr milliseconds store_timeout{1'200};
    static constexpr milliseconds table_timeout{800};
    static constexpr milliseconds store_retry{250};
    /// A watch that waits while the store falls silent is never answered, also when the store is
    /// back, and until its deadline nothing is heard of upstreams that leave.
    static constexpr milliseconds watch_wait{1'500};
    static constexpr milliseconds watch_grace{1'500};
    /// A cut watch looks like one without news, so none waits longer than this.
    static constexpr milliseconds config_wait{1'000};
    static constexpr milliseconds grant_timeout{120};
    /// Releases are answered when the work that runs on the keys has ended.
    static constexpr milliseconds release_timeout{4'000};
    static constexpr milliseconds report_interval{250};
    static constexpr milliseconds report_grace{250};
    static constexpr milliseconds least_report_pause{20};

    static cw_time_point after(milliseconds time) {
        return std::chrono::steady_clock::now() + time;
    }

    void spawn(nothing work) {
        boost::asio::co_spawn(context_, std::move(work), [this](const std::exception_ptr& failure) {
            if (!failure) {
                return;
            }
            try {
                std::rethrow_exception(failure);
            } catch (const std::exception& error) {
                log_.error("A control task ended.", {{"error", error.what()}});
            }
        });
    }

    nothing pause(milliseconds length) {
        boost::asio::steady_timer timer{context_, length};
        boost::system::error_code failure;
        co_await timer.async_wait(cw_into(failure));
    }

    /// A pause of about the given length, so that hosts do not call in step.
    nothing pause_about(milliseconds length) {
        const auto spread = static_cast<std::uint64_t>(length.count() / 4 + 1);
        const auto extra = static_cast<std::int64_t>(engine_() % spread);
        co_await pause(length * 7 / 8 + milliseconds{extra});
    }

    void reject(const cw_error& error, std::uint64_t revision) {
        if (rejected_.insert(error.peer + "@" + std::to_string(revision)).second) {
            log_.warning("An object of the store is passed over.",
                         {{"name", error.peer},
                          {"revision", std::to_string(revision)},
                          {"reason", error.reason}});
        }
        if (rejected_.size() > most_rejected) {
            rejected_.clear();
        }
    }

    nothing follow_config() {
        std::uint64_t revision = 0;
        bool is_lost = false;
        while (true) {
            cw_result<cw_config_change> seen;
            if (revision == 0) {
                seen = co_await store_.read_config(after(store_timeout));
            } else {
                seen = co_await store_.watch_config(revision, config_wait,
                                                    after(config_wait + watch_grace));
            }
            if (is_lost != !seen) {
                is_lost = !seen;
                log_.info(is_lost ? "The configuration is out of reach."
                                  : "The configuration is in reach again.",
                          {{"error", seen ? "" : seen.error().text()}});
            }
            if (!seen) {
                co_await pause_about(store_retry);
                continue;
            }
            revision = seen->is_history_gone ? 0 : seen->revision;
            if (seen->config != nullptr) {
                deliver(cw_config_seen{seen->config});
            }
        }
    }

    nothing follow_upstreams() {
        std::uint64_t revision = 0;
        // The first watch after a failure does not wait, so that its silence shows soon.
        auto wait = watch_wait;
        while (true) {
            const bool lists = revision == 0;
            cw_result<cw_upstream_change> seen;
            if (lists) {
                seen = co_await store_.list_upstreams(store_timeout);
            } else {
                seen = co_await store_.watch_upstreams(revision, wait, after(wait + watch_grace));
            }
            wait = seen ? watch_wait : milliseconds{0};
            if (!seen) {
                deliver(cw_store_disturbed{seen.error().text()});
                co_await pause_about(store_retry);
                continue;
            }
            revision = seen->is_history_gone ? 0 : seen->revision;
            if (lists) {
                deliver(cw_upstreams_listed{std::move(seen->written)});
            } else if (!seen->is_history_gone) {
                deliver(cw_upstreams_changed{std::move(seen->written), std::move(seen->removed)});
            }
            if (revision != 0) {
                co_await pause_about(options_.upstream_poll);
            }
        }
    }

    void carry_out(const cw_key_order& order) { spawn(send_order(order)); }
    void carry_out(const cw_read_table& command) { spawn(read_table(command)); }
    void carry_out(const cw_write_table& command) { spawn(write_table(command)); }
    void carry_out(const cw_write_beat& command) { spawn(write_beat(command)); }
    void carry_out(const cw_read_beat& command) { spawn(read_beat(command)); }

    nothing send_order(cw_key_order order) {
        // Only a release waits for work to end.
        const bool releases = order.what == cw_key_order::kind::release;
        const std::string what = cw_key_order::name_of(order.what);
        const auto ended =
            co_await orders_.send(order, after(releases ? release_timeout : grant_timeout));
        traffic_.metrics().count(what + "s");
        if (ended.result != cw_order_result::done) {
            log_.info("An order was not carried out.",
                      {{"upstream", order.upstream.id},
                       {"what", what},
                       {"first", std::to_string(order.first)},
                       {"last", std::to_string(order.last)},
                       {"fence", std::to_string(order.fence)},
                       {"result", std::to_string(static_cast<int>(ended.result))}});
        }
        deliver(cw_ownership_event{order.service, ended});
    }

    nothing read_table(cw_read_table command) {
        auto answer = co_await store_.read_table(command.service, after(table_timeout));
        deliver(cw_ownership_event{command.service, std::move(answer)});
    }

    nothing write_table(cw_write_table command) {
        auto answer = co_await store_.write_table(command.service, command.text, command.revision,
                                                  after(table_timeout));
        deliver(cw_ownership_event{command.service, std::move(answer)});
    }

    nothing write_beat(cw_write_beat command) {
        const auto answer =
            co_await store_.write_beat(command.service, command.count, after(table_timeout));
        deliver(cw_ownership_event{command.service, answer});
    }

    nothing read_beat(cw_read_beat command) {
        const auto answer = co_await store_.read_beat(command.service, after(table_timeout));
        deliver(cw_ownership_event{command.service, answer});
    }

    void carry_out(const cw_tell_predecessor& command) { spawn(tell_predecessor(command)); }

    nothing tell_predecessor(cw_tell_predecessor command) {
        cw_http_request request{boost::beast::http::verb::post,
                                std::string{succession_path} + "?service=" + command.service, 11};
        request.set(boost::beast::http::field::host, command.to.address);
        request.body() = std::move(command.table);
        const auto answer = co_await peer_http_.request(command.to.address, std::move(request),
                                                        after(report_interval + report_grace));
        if (!answer) {
            log_.info("An earlier steward cannot be told.",
                      {{"service", command.service}, {"error", answer.error().text()}});
            co_return;
        }
        const auto value = nlohmann::json::parse(answer->body(), nullptr, false);
        const bool is_it = value.is_object() && value.value("host", "") == command.to.host &&
                           value.value("incarnation", std::uint64_t{0}) == command.to.incarnation;
        if (answer->result() == boost::beast::http::status::ok && is_it) {
            deliver(cw_ownership_event{command.service, cw_gave_way{command.to, command.term}});
        }
    }

    /// Reports a service's load to its steward for as long as the process runs.
    nothing report(std::string service) {
        while (true) {
            const auto steward = stewards_[service];
            if (steward == self_ || steward.host.empty()) {
                deliver(cw_local_load{service, take_counts(service)});
                co_await pause(report_interval);
                continue;
            }
            const auto before = std::chrono::steady_clock::now();
            co_await report_to(steward, service);
            const auto spent = std::chrono::steady_clock::now() - before;
            if (spent < least_report_pause) {
                co_await pause(least_report_pause);
            }
        }
    }

    nothing report_to(cw_steward_id steward, std::string service) {
        const auto known = view_ == nullptr ? nullptr : table_of(service);
        cw_host_report report{service, options_.host, self_.incarnation, take_counts(service), {}};
        if (service == gathering_service_) {
            report.crashes = std::exchange(untold_crashes_, {});
        }
        const auto mark = known ? cw_table_mark::of(*known) : cw_table_mark{};
        const auto target = "/v1/report?term=" + std::to_string(mark.term) +
                            "&edition=" + std::to_string(mark.edition) +
                            "&digest=" + std::to_string(mark.digest);
        cw_http_request request{boost::beast::http::verb::post, target, 11};
        request.set(boost::beast::http::field::host, steward.address);
        request.body() = report.to_text();
        const auto answer = co_await peer_http_.request(steward.address, std::move(request),
                                                        after(report_interval + report_grace));
        const bool told = answer && take_answer(service, known, *answer);
        if (!told) {
            untold_crashes_.insert(untold_crashes_.end(), report.crashes.begin(),
                                   report.crashes.end());
        }
        if (!answer) {
            const bool refused = cw_is_refused(answer.error());
            deliver(
                cw_ownership_event{service, refused ? cw_contact::refused : cw_contact::silent});
            co_await pause(report_grace);
            co_return;
        }
        if (!told) {
            deliver(cw_ownership_event{service, cw_contact::silent});
            co_await pause(report_grace);
        }
    }

    /// Hands the steward's answer on; false when the other host is not the steward. What table it
    /// knows counts in either case.
    bool take_answer(const std::string& service, const std::shared_ptr<const cw_key_table>& known,
                     const cw_http_response& answer) {
        const auto value = nlohmann::json::parse(answer.body(), nullptr, false);
        if (!value.is_object()) {
            return false;
        }
        cw_key_table before;
        if (known != nullptr) {
            before = *known;
        }
        auto table = told_table(value, std::move(before));
        if (!table) {
            log_.warning("A steward's table cannot be read.", {{"error", table.error().text()}});
            return false;
        }
        if (answer.result() != boost::beast::http::status::ok) {
            deliver(cw_table_copy{service, std::move(*table)});
            return false;
        }
        cw_steward_answer told{service, std::move(*table), value.value("hosts", 1U),
                               value.value("seeks_successor", false), std::nullopt};
        if (value.contains("crashes")) {
            told.crashes = value["crashes"].get<std::map<std::uint64_t, std::uint32_t>>();
        }
        deliver(std::move(told));
        return true;
    }

    /// The table that the answer to a report tells of, to a host that knew the given one.
    static cw_result<cw_key_table> told_table(const nlohmann::json& answer, cw_key_table known) {
        if (answer.contains("table")) {
            return cw_key_table::parse(answer["table"].dump());
        }
        if (!answer.contains("changes")) {
            return known;
        }
        auto changes = cw_key_table::parse_changes(answer["changes"].dump());
        return changes ? known.with_changes(std::move(*changes)) : changes;
    }

    std::shared_ptr<const cw_key_table> table_of(const std::string& service) const {
        const auto found = view_->tables.find(service);
        return found == view_->tables.end() ? nullptr : found->second;
    }

    std::vector<cw_key_count> take_counts(const std::string& service) {
        for (auto& [name, list] : traffic_.take_counts()) {
            auto& kept = counts_[name];
            kept.insert(kept.end(), list.begin(), list.end());
        }
        return std::exchange(counts_[service], {});
    }

    boost::asio::awaitable<cw_http_response> take(cw_http_request request) {
        const std::string_view target{request.target().data(), request.target().size()};
        if (target.starts_with(succession_path)) {
            return take_succession(std::move(request));
        }
        return take_report(std::move(request));
    }

    /// Takes the table of a host that has succeeded this one. Answers with 200 once this host goes
    /// by that table, so that it grants no more.
    boost::asio::awaitable<cw_http_response> take_succession(cw_http_request request) {
        namespace http = boost::beast::http;
        const std::string_view target{request.target().data(), request.target().size()};
        const std::string service{target.substr(target.rfind('=') + 1)};
        auto read = cw_key_table::parse(request.body());
        if (!read) {
            log_.warning("A successor's table cannot be read.", {{"error", read.error().text()}});
            co_return cw_make_response(http::status::bad_request, "{}");
        }
        const auto term = read->term;
        deliver(cw_succession{service, std::move(*read)});
        const auto until = after(report_interval);
        bool knows = co_await wait_for_view(until, [&] { return knows_term(service, term); });
        const nlohmann::json answer{{"host", self_.host}, {"incarnation", self_.incarnation}};
        co_return cw_make_response(knows ? http::status::ok : http::status::conflict,
                                   answer.dump());
    }

    [[nodiscard]] bool knows_term(const std::string& service, std::uint64_t term) const {
        const auto table = view_ == nullptr ? nullptr : table_of(service);
        return table != nullptr && table->term >= term;
    }

    /// Waits until something holds in the view; false when it does not by then.
    template <typename Condition>
    boost::asio::awaitable<bool> wait_for_view(cw_time_point until, Condition holds) {
        while (!holds() && std::chrono::steady_clock::now() < until) {
            co_await view_changed_.wait(until);
        }
        co_return holds();
    }

    /// Takes another host's report and answers when the table has changed, or after a while.
    boost::asio::awaitable<cw_http_response> take_report(cw_http_request request) {
        namespace http = boost::beast::http;
        const auto report = cw_host_report::parse(request.body());
        if (!report) {
            log_.warning("A report cannot be read.", {{"reason", report.error().reason}});
            co_return cw_make_response(http::status::bad_request, "{}");
        }
        deliver(*report);
        const std::string_view target{request.target().data(), request.target().size()};
        cw_key_table known;
        known.term = cw_query_number(target, "term", 0);
        known.edition = cw_query_number(target, "edition", 0);
        const bool was_seeking = seeks(report->service);
        static_cast<void>(co_await wait_for_view(after(report_interval), [&] {
            const auto latest = view_ == nullptr ? nullptr : table_of(report->service);
            return latest == nullptr || latest->steward != self_ || latest->is_after(known) ||
                   (seeks(report->service) && !was_seeking);
        }));
        const auto table = view_ == nullptr ? nullptr : table_of(report->service);
        nlohmann::json answer{{"hosts", view_ == nullptr ? 1U : view_->hosts}};
        if (seeks(report->service)) {
            answer["seeks_successor"] = true;
        }
        const auto& news = news_[report->service].since(
            {known.term, known.edition, cw_query_number(target, "digest", 0)});
        if (!news.text.empty()) {
            answer[news.is_whole ? "table" : "changes"] = nlohmann::json::parse(news.text);
        }
        if (report->service == gathering_service_ && view_ != nullptr) {
            answer["crashes"] = view_->crashes;
        }
        const bool leads = table != nullptr && table->steward == self_;
        co_return cw_make_response(leads ? http::status::ok : http::status::conflict,
                                   answer.dump());
    }

    /// True when this host is the service's steward and the store does not answer it.
    [[nodiscard]] bool seeks(const std::string& service) const {
        return view_ != nullptr && view_->seeking.contains(service);
    }

    static constexpr std::string_view succession_path{"/v1/succession"};
    static constexpr std::size_t most_rejected = 1'000;

    boost::asio::io_context& context_;
    cw_kernel& kernel_;
    const cw_gateway_options& options_;
    cw_steward_id self_;
    cw_gateway_traffic& traffic_;
    cw_log log_{"control"};
    cw_timeline timeline_;
    cw_http_client store_http_;
    cw_http_client order_http_;
    cw_http_client peer_http_;
    typename Port::store store_;
    typename Port::orders orders_;
    std::minstd_rand engine_{std::random_device{}()};
    std::shared_ptr<const cw_gateway_view> view_;
    std::map<std::string, cw_table_news> news_;
    std::map<std::string, cw_steward_id> stewards_;
    std::map<std::string, std::vector<cw_key_count>> counts_;
    std::set<std::string> rejected_;
    std::string gathering_service_;
    std::vector<cw_crash_note> untold_crashes_;
    /// Told of each new view; answers to other hosts wait for it.
    cw_async_condition view_changed_;
    cw_http_server server_;
};
