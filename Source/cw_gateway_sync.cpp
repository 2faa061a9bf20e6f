#include "cw_gateway_sync.h"

#include "cw_feed_answer.h"
#include "cw_gateway_options.h"
#include "cw_gateway_traffic.h"
#include "cw_query.h"
#include "cw_report_interval.h"
#include "cw_spawn.h"
#include "cw_steward_reply.h"
#include "cw_succession_reply.h"

#include <utility>

namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

/// Interval of reports, and longest time for which a host holds another host's request open.
constexpr milliseconds report_interval{250};
/// Time beyond the interval after which a steward that has sent nothing counts as silent; also the
/// delay after a report that failed.
constexpr milliseconds response_grace{250};
constexpr std::string_view report_path{"/v1/report"};
constexpr std::string_view succession_path{"/v1/succession"};

cw_time_point deadline_in(milliseconds time) {
    return std::chrono::steady_clock::now() + time;
}

/// The form of key tables that the sender of a report reads.
cw_table_format table_format_in(std::string_view target) {
    return cw_query_number(target, "compact", 0) == 1 ? cw_table_format::compact
                                                      : cw_table_format::plain;
}

cw_http_request post(const std::string& address, const std::string& target, std::string body) {
    cw_http_request request{http::verb::post, target, 11};
    request.set(http::field::host, address);
    request.body() = std::move(body);
    return request;
}

std::string report_target(const cw_table_version& known_version,
                          std::uint64_t known_crashes_digest) {
    return std::string{report_path} + "?compact=1&era=" + std::to_string(known_version.term.era) +
           "&term=" + std::to_string(known_version.term.number) +
           "&edition=" + std::to_string(known_version.edition) +
           "&digest=" + std::to_string(known_version.digest) +
           "&crashes=" + std::to_string(known_crashes_digest);
}

/// The table version named in the target of a report.
cw_table_version table_version_in(std::string_view target) {
    return {{cw_query_number(target, "era", 0), cw_query_number(target, "term", 0)},
            cw_query_number(target, "edition", 0),
            cw_query_number(target, "digest", 0)};
}

/// Appends the items that were drained for all services to the backlog, and removes and returns
/// those of one service.
template <typename Item>
std::vector<Item> drain_items(std::map<std::string, std::vector<Item>>& backlog,
                              std::map<std::string, std::vector<Item>> drained,
                              const std::string& service) {
    for (auto& [name, list] : drained) {
        auto& service_items = backlog[name];
        service_items.insert(service_items.end(), list.begin(), list.end());
    }
    return std::exchange(backlog[service], {});
}

} // namespace

cw_gateway_sync::cw_gateway_sync(boost::asio::io_context& context,
                                 const cw_gateway_options& options, cw_steward_id self,
                                 cw_gateway_traffic& traffic, deliver_function deliver,
                                 feed_function feed)
    : context_{context},
      options_{options},
      self_{std::move(self)},
      traffic_{traffic},
      deliver_{std::move(deliver)},
      serve_feed_{std::move(feed)},
      exchange_log_{traffic.metrics()},
      http_{context},
      view_changed_{context},
      server_{context, options.peer_address,
              [this](cw_http_request request) { return serve(std::move(request)); }} {}

void cw_gateway_sync::start() {
    server_.start();
}

void cw_gateway_sync::on_view(std::shared_ptr<const cw_gateway_view> view) {
    view_ = std::move(view);
    crash_change_log_.on_counts(view_->crashes);
    for (const auto& [service, table] : view_->tables) {
        table_change_logs_[service].on_table(table);
    }
    view_changed_.notify_all();
}

void cw_gateway_sync::on_stewards(const std::map<std::string, cw_steward_id>& stewards) {
    for (const auto& [service, steward] : stewards) {
        const bool is_new = !stewards_.contains(service);
        stewards_[service] = steward;
        if (is_new) {
            spawn(report_periodically(service));
        }
    }
}

void cw_gateway_sync::on_crashes(const std::string& crash_collecting_service,
                                 const std::vector<cw_crash_report>& crashes) {
    crash_collecting_service_ = crash_collecting_service;
    unreported_crashes_.insert(unreported_crashes_.end(), crashes.begin(), crashes.end());
}

void cw_gateway_sync::on_leaving(const std::vector<cw_leaving_notice>& notices) {
    for (const auto& notice : notices) {
        leaving_notices_[notice.service].push_back(notice);
    }
}

void cw_gateway_sync::notify_predecessor(const cw_notify_predecessor& command) {
    spawn(send_succession(command));
}

void cw_gateway_sync::spawn(task<void> work) {
    cw_spawn(context_, std::move(work), log_);
}

// -- reports to stewards

boost::asio::awaitable<void> cw_gateway_sync::report_periodically(std::string service) {
    while (true) {
        const auto steward = stewards_[service];
        if (steward == self_ || steward.host.empty()) {
            report_to_self(service, steward);
            co_await cw_pause(context_, report_interval);
            continue;
        }
        const auto before = std::chrono::steady_clock::now();
        co_await send_report(steward, service);
        if (std::chrono::steady_clock::now() - before < report_interval) {
            co_await cw_pause(context_, cw_report_interval(options_.cpu_capacity()));
        }
    }
}

void cw_gateway_sync::report_to_self(const std::string& service, const cw_steward_id& steward) {
    exchange_log_.on_no_report(service);
    deliver_(cw_local_load{service, take_counts(service), take_speeds(service)});
    if (service == crash_collecting_service_ && steward == self_) {
        apply_own_limits();
    }
    if (steward == self_) {
        const auto now = cw_boot_clock::now();
        auto& collector = load_collectors_[service];
        collector.on_report(take_loads(service), now);
        traffic_.apply_loads(collector.full_upstreams(now));
    }
}

boost::asio::awaitable<void> cw_gateway_sync::send_report(cw_steward_id steward,
                                                          std::string service) {
    auto& transfer = transfers_[service];
    const auto known_table = table_of(service);
    const auto known = known_table ? known_table : std::make_shared<const cw_key_table>();
    const auto crashes = crash_change_log_.latest();
    cw_host_report report;
    report.service = service;
    report.host = options_.host;
    report.incarnation = self_.incarnation;
    report.host_info = {options_.domain, self_.address, options_.cpu_capacity(),
                        is_store_suspected_};
    report.counts = take_counts(service);
    report.speeds = take_speeds(service);
    report.loads = take_loads(service);
    report.leaving = std::exchange(leaving_notices_[service], {});
    if (service == crash_collecting_service_) {
        report.crashes = std::exchange(unreported_crashes_, {});
        report.limits = traffic_.limits().take_reports(cw_boot_clock::now());
    }
    const auto target =
        report_target(known_table ? cw_table_version::of(*known) : cw_table_version{},
                      crash_change_log_.digest());
    const auto sent_at = cw_boot_clock::now();
    const auto answer = co_await http_.request(
        steward.address, post(steward.address, target, report.to_json()),
        transfer.deadlines(report_interval + response_grace, std::chrono::steady_clock::now()));
    if (answer) {
        transfer.on_received();
    } else {
        exchange_log_.report_failed(service, *known, answer.error(), sent_at, cw_boot_clock::now());
    }
    if (!answer && cw_was_response_cut(answer.error())) {
        transfer.on_cut();
    }
    if (answer && handle_response(service, steward, *known, *crashes, *answer)) {
        exchange_log_.report_answered(service, *known, answer->body().size(), sent_at,
                                      cw_boot_clock::now());
        co_return;
    }
    unreported_crashes_.insert(unreported_crashes_.end(), report.crashes.begin(),
                               report.crashes.end());
    on_leaving(report.leaving);
    const bool is_refused = !answer && cw_is_connection_refused(answer.error());
    deliver_(cw_ownership_event{service, is_refused ? cw_report_result::refused
                                                    : cw_report_result::no_answer});
    co_await cw_pause(context_, response_grace);
}

bool cw_gateway_sync::handle_response(const std::string& service, const cw_steward_id& steward,
                                      const cw_key_table& known,
                                      const cw_crash_counts& known_crashes,
                                      const cw_http_response& answer) {
    auto reply = cw_steward_reply::parse(answer.body());
    if (!reply) {
        log_.warning("The answer of a steward is invalid.",
                     {{"service", service}, {"error", reply.error().text()}});
        return false;
    }
    auto table = reply->latest_table(known);
    if (!table) {
        log_.warning("The key table of a steward is invalid.",
                     {{"service", service}, {"error", table.error().text()}});
        return false;
    }
    // An answer that took long may be of a steward that has been succeeded meanwhile.
    if (answer.result() != http::status::ok || stewards_[service] != steward) {
        deliver_(cw_table_received{service, std::move(*table)});
        return false;
    }
    if (reply->crashes && !reply->is_full_crashes) {
        reply->crashes = cw_crash_change_log::with_changes(known_crashes, *reply->crashes);
    }
    if (reply->limit_hosts != 0) {
        const auto now = cw_boot_clock::now();
        limit_collector_.on_host_count(reply->limit_hosts, now);
        traffic_.limits().apply(reply->limit_hosts, reply->limits, now);
    }
    traffic_.apply_loads(std::move(reply->full_upstreams));
    deliver_(cw_steward_answer{service, std::move(*table), reply->hosts, reply->requests_successor,
                               reply->crashes, reply->readers});
    return true;
}

boost::asio::awaitable<void> cw_gateway_sync::send_succession(cw_notify_predecessor command) {
    const auto target = std::string{succession_path} + "?service=" + command.service;
    const auto answer =
        co_await http_.request(command.to.address, post(command.to.address, target, command.table),
                               deadline_in(report_interval + response_grace));
    if (!answer) {
        log_.info("The predecessor could not be notified of the succession.",
                  {{"service", command.service}, {"error", answer.error().text()}});
        co_return;
    }
    const auto reply = cw_succession_reply::parse(answer->body());
    if (!reply) {
        log_.warning("The answer of the predecessor is invalid.",
                     {{"service", command.service}, {"error", reply.error().text()}});
        co_return;
    }
    const bool is_addressed_steward =
        reply->host == command.to.host && reply->incarnation == command.to.incarnation;
    if (answer->result() != http::status::ok || !is_addressed_steward) {
        co_return;
    }
    cw_succession_ack ack{command.to, command.term};
    if (!reply->table.empty()) {
        auto table = cw_key_table::parse(reply->table);
        if (table) {
            ack.table = std::make_shared<const cw_key_table>(std::move(*table));
        } else {
            log_.warning("The key table of the predecessor is invalid.",
                         {{"service", command.service}, {"error", table.error().text()}});
        }
    }
    deliver_(cw_ownership_event{command.service, std::move(ack)});
}

// -- requests from other hosts

boost::asio::awaitable<cw_http_response> cw_gateway_sync::serve(cw_http_request request) {
    const std::string_view target{request.target().data(), request.target().size()};
    if (target.starts_with(cw_feed_path)) {
        return serve_feed_(std::string{target});
    }
    if (target.starts_with(succession_path)) {
        return serve_succession(std::move(request));
    }
    return serve_report(std::move(request));
}

boost::asio::awaitable<cw_http_response>
cw_gateway_sync::serve_succession(cw_http_request request) {
    const std::string_view target{request.target().data(), request.target().size()};
    const std::string service{cw_query_value(target, "service")};
    auto table = cw_key_table::parse(request.body());
    if (!table) {
        log_.warning("The key table of a successor is invalid.", {{"error", table.error().text()}});
        co_return cw_make_response(http::status::bad_request, "{}");
    }
    const auto term = table->term;
    const bool requests_own_table = table->are_owners_uncertain;
    deliver_(cw_succession{service, std::move(*table)});
    const bool has_adopted_table = co_await wait_for_view(
        deadline_in(report_interval), [&] { return has_reached_term(service, term); });
    cw_succession_reply reply{self_.host, self_.incarnation};
    if (has_adopted_table && requests_own_table) {
        const auto own_table = own_table_before(service, term);
        reply.table = own_table == nullptr ? std::string{} : own_table->to_compact_json();
    }
    co_return cw_make_response(has_adopted_table ? http::status::ok : http::status::conflict,
                               reply.to_json());
}

boost::asio::awaitable<cw_http_response> cw_gateway_sync::serve_report(cw_http_request request) {
    const auto report = cw_host_report::parse(request.body());
    if (!report) {
        log_.warning("The report of another host is invalid.", {{"reason", report.error().reason}});
        co_return cw_make_response(http::status::bad_request, "{}");
    }
    deliver_(*report);
    if (report->service == crash_collecting_service_) {
        limit_collector_.on_report(report->host, report->limits, cw_boot_clock::now());
    }
    load_collectors_[report->service].on_report(report->loads, cw_boot_clock::now());
    const auto& service = report->service;
    const std::string_view target{request.target().data(), request.target().size()};
    const auto known_version = table_version_in(target);
    cw_key_table known_table;
    known_table.term = known_version.term;
    known_table.edition = known_version.edition;
    const bool had_requested_successor = requests_successor(service);
    static_cast<void>(co_await wait_for_view(deadline_in(report_interval), [&] {
        const auto latest = table_of(service);
        return latest == nullptr || latest->steward != self_ ||
               latest->is_newer_than(known_table) ||
               (requests_successor(service) && !had_requested_successor);
    }));
    const auto format = table_format_in(target);
    const auto started_at = cw_boot_clock::now();
    const auto reply =
        make_reply(*report, known_version, format, cw_query_number(target, "crashes", 0));
    auto text = format == cw_table_format::compact ? reply.to_lines() : reply.to_json();
    const auto table = table_of(service);
    const bool is_steward = table != nullptr && table->steward == self_;
    if (is_steward) {
        const auto now = cw_boot_clock::now();
        exchange_log_.table_sent(*table, service, known_version.edition, reply.table.size(),
                                 now - started_at, now);
    }
    co_return cw_make_response(is_steward ? http::status::ok : http::status::conflict,
                               std::move(text));
}

cw_steward_reply cw_gateway_sync::make_reply(const cw_host_report& report,
                                             const cw_table_version& known_version,
                                             cw_table_format format,
                                             std::uint64_t known_crashes_digest) {
    const auto& service = report.service;
    cw_steward_reply reply;
    reply.hosts = view_ == nullptr ? 1U : view_->hosts;
    reply.requests_successor = requests_successor(service);
    const auto& table_delta = table_change_logs_[service].delta_since(known_version, format);
    reply.table = table_delta.text;
    reply.is_full_table = table_delta.is_full;
    reply.full_upstreams = load_collectors_[service].full_upstreams(cw_boot_clock::now());
    if (service == crash_collecting_service_ && view_ != nullptr) {
        auto crash_delta = crash_change_log_.delta_since(known_crashes_digest);
        if (crash_delta.is_full || !crash_delta.counts.empty()) {
            reply.crashes = std::move(crash_delta.counts);
            reply.is_full_crashes = crash_delta.is_full;
        }
        const auto now = cw_boot_clock::now();
        reply.limit_hosts = limit_collector_.hosts(now);
        reply.limits = limit_collector_.shares_for(report.limits, now);
        const auto readers = view_->readers.find(report.host_info.domain);
        if (readers != view_->readers.end()) {
            reply.readers = readers->second;
        }
    }
    return reply;
}

// -- used for reports and successions

std::shared_ptr<const cw_key_table> cw_gateway_sync::table_of(const std::string& service) const {
    if (view_ == nullptr) {
        return nullptr;
    }
    const auto found = view_->tables.find(service);
    return found == view_->tables.end() ? nullptr : found->second;
}

bool cw_gateway_sync::has_reached_term(const std::string& service, const cw_term& term) const {
    const auto table = table_of(service);
    return table != nullptr && table->term >= term;
}

std::shared_ptr<const cw_key_table> cw_gateway_sync::own_table_before(const std::string& service,
                                                                      const cw_term& term) const {
    const auto ended = view_->ended_stewardships.find(service);
    return ended == view_->ended_stewardships.end() ? nullptr : ended->second.table_before(term);
}

bool cw_gateway_sync::requests_successor(const std::string& service) const {
    return view_ != nullptr && view_->requesting_successor.contains(service);
}

void cw_gateway_sync::apply_own_limits() {
    const auto now = cw_boot_clock::now();
    auto& limits = traffic_.limits();
    const auto reports = limits.take_reports(now);
    limit_collector_.on_report(options_.host, reports, now);
    limits.apply(limit_collector_.hosts(now), limit_collector_.shares_for(reports, now), now);
}

std::vector<cw_key_count> cw_gateway_sync::take_counts(const std::string& service) {
    return drain_items(key_counts_, traffic_.take_counts(), service);
}

std::vector<cw_shared_load> cw_gateway_sync::take_loads(const std::string& service) {
    auto taken = traffic_.take_loads(service);
    if (service == crash_collecting_service_) {
        const auto keyless = traffic_.take_loads({});
        taken.insert(taken.end(), keyless.begin(), keyless.end());
    }
    return taken;
}

std::vector<cw_speed_sample> cw_gateway_sync::take_speeds(const std::string& service) {
    return drain_items(speed_samples_, traffic_.take_speeds(), service);
}
