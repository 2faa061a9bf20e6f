#include "cw_host_exchange.h"

#include "cw_feed_answer.h"
#include "cw_gateway_options.h"
#include "cw_gateway_traffic.h"
#include "cw_query.h"
#include "cw_report_pace.h"
#include "cw_spawn.h"
#include "cw_steward_reply.h"
#include "cw_succession_reply.h"

#include <utility>

namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds report_interval{250};
/// Time beyond the interval that an answer may take on its way, and pause after a report that
/// failed.
constexpr milliseconds report_grace{250};
constexpr std::string_view report_path{"/v1/report"};
constexpr std::string_view succession_path{"/v1/succession"};

cw_time_point after(milliseconds time) {
    return std::chrono::steady_clock::now() + time;
}

cw_http_request post(const std::string& address, const std::string& target, std::string body) {
    cw_http_request request{http::verb::post, target, 11};
    request.set(http::field::host, address);
    request.body() = std::move(body);
    return request;
}

std::string report_target(const cw_table_mark& known, std::uint64_t known_crashes) {
    return std::string{report_path} + "?term=" + std::to_string(known.term) +
           "&edition=" + std::to_string(known.edition) + "&digest=" + std::to_string(known.digest) +
           "&crashes=" + std::to_string(known_crashes);
}

cw_table_mark known_by(std::string_view target) {
    return {cw_query_number(target, "term", 0), cw_query_number(target, "edition", 0),
            cw_query_number(target, "digest", 0)};
}

/// Adds what traffic has noted of all services to what is kept, and takes one service's part.
template <typename Note>
std::vector<Note> take_from(std::map<std::string, std::vector<Note>>& kept,
                            std::map<std::string, std::vector<Note>> noted,
                            const std::string& service) {
    for (auto& [name, list] : noted) {
        auto& place = kept[name];
        place.insert(place.end(), list.begin(), list.end());
    }
    return std::exchange(kept[service], {});
}

} // namespace

cw_host_exchange::cw_host_exchange(boost::asio::io_context& context,
                                   const cw_gateway_options& options, cw_steward_id self,
                                   cw_gateway_traffic& traffic, deliver_function deliver,
                                   feed_function feed)
    : context_{context},
      options_{options},
      self_{std::move(self)},
      traffic_{traffic},
      deliver_{std::move(deliver)},
      feed_{std::move(feed)},
      http_{context},
      view_changed_{context},
      server_{context, options.peers,
              [this](cw_http_request request) { return serve(std::move(request)); }} {}

void cw_host_exchange::start() {
    server_.start();
}

void cw_host_exchange::on_view(std::shared_ptr<const cw_gateway_view> view) {
    view_ = std::move(view);
    crash_news_.on_marks(view_->crashes);
    for (const auto& [service, table] : view_->tables) {
        news_[service].on_table(table);
    }
    view_changed_.notify_all();
}

void cw_host_exchange::on_stewards(const std::map<std::string, cw_steward_id>& stewards) {
    for (const auto& [service, steward] : stewards) {
        const bool is_new = !stewards_.contains(service);
        stewards_[service] = steward;
        if (is_new) {
            spawn(report(service));
        }
    }
}

void cw_host_exchange::on_crashes(const std::string& gathering_service,
                                  const std::vector<cw_crash_note>& crashes) {
    gathering_service_ = gathering_service;
    untold_crashes_.insert(untold_crashes_.end(), crashes.begin(), crashes.end());
}

void cw_host_exchange::on_leaving(const std::vector<cw_leaving_note>& notes) {
    for (const auto& note : notes) {
        leaving_[note.service].push_back(note);
    }
}

void cw_host_exchange::tell(const cw_tell_predecessor& command) {
    spawn(tell_predecessor(command));
}

void cw_host_exchange::spawn(task<void> work) {
    cw_spawn(context_, std::move(work), log_);
}

// -- reports to stewards

boost::asio::awaitable<void> cw_host_exchange::report(std::string service) {
    while (true) {
        const auto steward = stewards_[service];
        if (steward == self_ || steward.host.empty()) {
            deliver_(cw_local_load{service, take_counts(service), take_speeds(service)});
            co_await cw_pause(context_, report_interval);
            continue;
        }
        const auto before = std::chrono::steady_clock::now();
        co_await report_to(steward, service);
        if (std::chrono::steady_clock::now() - before < report_interval) {
            co_await cw_pause(context_, cw_report_pause(options_.strength()));
        }
    }
}

boost::asio::awaitable<void> cw_host_exchange::report_to(cw_steward_id steward,
                                                         std::string service) {
    const auto known = table_of(service);
    const auto crashes = crash_news_.latest();
    cw_host_report report;
    report.service = service;
    report.host = options_.host;
    report.incarnation = self_.incarnation;
    report.place = {options_.domain, self_.address, options_.strength()};
    report.counts = take_counts(service);
    report.speeds = take_speeds(service);
    report.leaving = std::exchange(leaving_[service], {});
    if (service == gathering_service_) {
        report.crashes = std::exchange(untold_crashes_, {});
    }
    const auto target =
        report_target(known ? cw_table_mark::of(*known) : cw_table_mark{}, crash_news_.digest());
    const auto answer =
        co_await http_.request(steward.address, post(steward.address, target, report.to_text()),
                               after(report_interval + report_grace));
    if (answer && take_answer(service, known, *crashes, *answer)) {
        co_return;
    }
    untold_crashes_.insert(untold_crashes_.end(), report.crashes.begin(), report.crashes.end());
    on_leaving(report.leaving);
    const bool refused = !answer && cw_is_connection_refused(answer.error());
    deliver_(cw_ownership_event{service, refused ? cw_contact::refused : cw_contact::silent});
    co_await cw_pause(context_, report_grace);
}

bool cw_host_exchange::take_answer(const std::string& service,
                                   const std::shared_ptr<const cw_key_table>& known,
                                   const cw_crash_marks& known_crashes,
                                   const cw_http_response& answer) {
    auto reply = cw_steward_reply::parse(answer.body());
    if (!reply) {
        log_.warning("A steward's answer cannot be read.",
                     {{"service", service}, {"error", reply.error().text()}});
        return false;
    }
    auto table = reply->latest_table(known ? *known : cw_key_table{});
    if (!table) {
        log_.warning("A steward's table cannot be read.",
                     {{"service", service}, {"error", table.error().text()}});
        return false;
    }
    if (answer.result() != http::status::ok) {
        deliver_(cw_table_copy{service, std::move(*table)});
        return false;
    }
    if (reply->crashes && !reply->is_whole_crashes) {
        reply->crashes = cw_crash_news::with_changes(known_crashes, *reply->crashes);
    }
    deliver_(cw_steward_answer{service, std::move(*table), reply->hosts, reply->seeks_successor,
                               reply->crashes, reply->readers});
    return true;
}

boost::asio::awaitable<void> cw_host_exchange::tell_predecessor(cw_tell_predecessor command) {
    const auto target = std::string{succession_path} + "?service=" + command.service;
    const auto answer =
        co_await http_.request(command.to.address, post(command.to.address, target, command.table),
                               after(report_interval + report_grace));
    if (!answer) {
        log_.info("An earlier steward cannot be told.",
                  {{"service", command.service}, {"error", answer.error().text()}});
        co_return;
    }
    const auto reply = cw_succession_reply::parse(answer->body());
    if (!reply) {
        log_.warning("An earlier steward's answer cannot be read.",
                     {{"service", command.service}, {"error", reply.error().text()}});
        co_return;
    }
    const bool is_it =
        reply->host == command.to.host && reply->incarnation == command.to.incarnation;
    if (answer->result() == http::status::ok && is_it) {
        deliver_(cw_ownership_event{command.service, cw_gave_way{command.to, command.term}});
    }
}

// -- answers to other hosts

boost::asio::awaitable<cw_http_response> cw_host_exchange::serve(cw_http_request request) {
    const std::string_view target{request.target().data(), request.target().size()};
    if (target.starts_with(cw_feed_path)) {
        return feed_(std::string{target});
    }
    if (target.starts_with(succession_path)) {
        return serve_succession(std::move(request));
    }
    return serve_report(std::move(request));
}

boost::asio::awaitable<cw_http_response>
cw_host_exchange::serve_succession(cw_http_request request) {
    const std::string_view target{request.target().data(), request.target().size()};
    const std::string service{cw_query_value(target, "service")};
    auto table = cw_key_table::parse(request.body());
    if (!table) {
        log_.warning("A successor's table cannot be read.", {{"error", table.error().text()}});
        co_return cw_make_response(http::status::bad_request, "{}");
    }
    const auto term = table->term;
    deliver_(cw_succession{service, std::move(*table)});
    const bool knows =
        co_await wait_for_view(after(report_interval), [&] { return knows_term(service, term); });
    co_return cw_make_response(knows ? http::status::ok : http::status::conflict,
                               cw_succession_reply{self_.host, self_.incarnation}.to_text());
}

boost::asio::awaitable<cw_http_response> cw_host_exchange::serve_report(cw_http_request request) {
    const auto report = cw_host_report::parse(request.body());
    if (!report) {
        log_.warning("A report cannot be read.", {{"reason", report.error().reason}});
        co_return cw_make_response(http::status::bad_request, "{}");
    }
    deliver_(*report);
    const auto& service = report->service;
    const std::string_view target{request.target().data(), request.target().size()};
    const auto mark = known_by(target);
    cw_key_table known;
    known.term = mark.term;
    known.edition = mark.edition;
    const bool was_seeking = seeks(service);
    static_cast<void>(co_await wait_for_view(after(report_interval), [&] {
        const auto latest = table_of(service);
        return latest == nullptr || latest->steward != self_ || latest->is_after(known) ||
               (seeks(service) && !was_seeking);
    }));
    const auto reply = make_reply(*report, mark, cw_query_number(target, "crashes", 0));
    const auto table = table_of(service);
    const bool leads = table != nullptr && table->steward == self_;
    co_return cw_make_response(leads ? http::status::ok : http::status::conflict, reply.to_text());
}

cw_steward_reply cw_host_exchange::make_reply(const cw_host_report& report,
                                              const cw_table_mark& known,
                                              std::uint64_t known_crashes) {
    const auto& service = report.service;
    cw_steward_reply reply;
    reply.hosts = view_ == nullptr ? 1U : view_->hosts;
    reply.seeks_successor = seeks(service);
    const auto& news = news_[service].since(known);
    reply.table = news.text;
    reply.is_whole_table = news.is_whole;
    if (service == gathering_service_ && view_ != nullptr) {
        auto told = crash_news_.since(known_crashes);
        if (told.is_whole || !told.marks.empty()) {
            reply.crashes = std::move(told.marks);
            reply.is_whole_crashes = told.is_whole;
        }
        const auto readers = view_->readers.find(report.place.domain);
        if (readers != view_->readers.end()) {
            reply.readers = readers->second;
        }
    }
    return reply;
}

// -- what both need

std::shared_ptr<const cw_key_table> cw_host_exchange::table_of(const std::string& service) const {
    if (view_ == nullptr) {
        return nullptr;
    }
    const auto found = view_->tables.find(service);
    return found == view_->tables.end() ? nullptr : found->second;
}

bool cw_host_exchange::knows_term(const std::string& service, std::uint64_t term) const {
    const auto table = table_of(service);
    return table != nullptr && table->term >= term;
}

bool cw_host_exchange::seeks(const std::string& service) const {
    return view_ != nullptr && view_->seeking.contains(service);
}

std::vector<cw_key_count> cw_host_exchange::take_counts(const std::string& service) {
    return take_from(counts_, traffic_.take_counts(), service);
}

std::vector<cw_speed_note> cw_host_exchange::take_speeds(const std::string& service) {
    return take_from(speeds_, traffic_.take_speeds(), service);
}
