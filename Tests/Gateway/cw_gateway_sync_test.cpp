#include "cw_gateway_metrics.h"
#include "cw_gateway_options.h"
#include "cw_gateway_sync.h"
#include "cw_gateway_traffic.h"
#include "cw_raw_upstream.h"
#include "cw_steward_reply.h"
#include "cw_succession_reply.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <mutex>
#include <string>

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t own_port = 27'994;
constexpr std::uint16_t steward_port = 27'995;
const std::string service = "gallery";

cw_address loopback(std::uint16_t port) {
    return {boost::asio::ip::address_v4::loopback(), port};
}

/// One host's cw_gateway_sync, which reports to a steward that the test simulates.
struct reporting_host {
    boost::asio::io_context context{1};
    cw_gateway_options options = make_options();
    cw_gateway_metrics metrics;
    cw_gateway_traffic traffic{options, metrics};
    std::vector<cw_control_event> events;
    cw_steward_id self{"front-1", 7, "127.0.0.1:" + std::to_string(own_port)};
    cw_steward_id steward{"front-2", 9, "127.0.0.1:" + std::to_string(steward_port)};
    std::vector<std::string> responses;
    std::size_t report_count = 0;
    cw_http_server steward_server{context, loopback(steward_port),
                                  [this](cw_http_request) { return respond(); }};
    cw_gateway_sync sync{context,
                         options,
                         self,
                         traffic,
                         [this](cw_control_event event) { events.push_back(event); },
                         [](std::string) -> boost::asio::awaitable<cw_http_response> {
                             co_return cw_make_response(boost::beast::http::status::ok, "{}");
                         }};

    /// Reports for 1.2 s to a steward that sends the given bodies in turn and then repeats the
    /// last.
    void report(std::vector<std::string> bodies) {
        responses = std::move(bodies);
        steward_server.start();
        sync.start();
        sync.on_stewards({{service, steward}});
        context.run_for(1'200ms);
    }

    /// Reports to a steward that sends the given bytes, for 3 s or until there is an event. Returns
    /// the time taken.
    std::chrono::nanoseconds report_to(const cw_raw_upstream& raw_steward) {
        const auto begin = std::chrono::steady_clock::now();
        steward.address = raw_steward.address();
        sync.start();
        sync.on_stewards({{service, steward}});
        run_until_event();
        return std::chrono::steady_clock::now() - begin;
    }

    void run_until_event() {
        const auto until = std::chrono::steady_clock::now() + 3s;
        while (events.empty() && std::chrono::steady_clock::now() < until) {
            context.run_for(10ms);
        }
    }

    template <typename Event>
    [[nodiscard]] std::size_t count() const {
        return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(),
                          [](const auto& event) { return std::holds_alternative<Event>(event); }));
    }

private:
    static cw_gateway_options make_options() {
        cw_gateway_options result;
        result.host = "front-1";
        result.domain = "hakata";
        result.peer_address = loopback(own_port);
        return result;
    }

    boost::asio::awaitable<cw_http_response> respond() {
        const auto& text = responses.at(std::min(report_count, responses.size() - 1));
        ++report_count;
        co_await cw_pause(context, 30ms);
        co_return cw_make_response(boost::beast::http::status::ok, text);
    }
};

/// Sent again and again after a reply, as the rest of its body.
const std::string rest_piece(1'000, ' ');

std::string response_head(std::size_t body_size) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

/// A table with ranges that move, as many as given, from two earlier owners each.
cw_key_table moved_table(std::uint32_t ranges) {
    const auto owner = [](std::uint32_t number) {
        return cw_key_owner{"i-" + std::to_string(10'000'000 + number % 300), 1'765'000'000'000'000,
                            "10.200.12." + std::to_string(number % 300) + ":20080"};
    };
    cw_key_table table;
    table.term = {0, 3};
    table.edition = 12;
    table.steward = {"front-1", 7, "127.0.0.1:" + std::to_string(own_port)};
    table.are_owners_uncertain = true;
    table.last_fence = 100'000;
    table.ranges.clear();
    const auto size = (cw_last_key + 1) / ranges;
    for (std::uint32_t index = 0; index < ranges; ++index) {
        cw_key_range range;
        range.first = index * size;
        range.last = index + 1 == ranges ? cw_last_key : (index + 1) * size - 1;
        range.owner = owner(index);
        range.fence = 90'000 + index;
        range.previous_owners = {owner(index + 1), owner(index + 2)};
        table.ranges.push_back(std::move(range));
    }
    return table;
}

cw_steward_reply reply_with_table() {
    cw_steward_reply reply;
    reply.table = moved_table(1).to_json();
    reply.is_full_table = true;
    return reply;
}

/// A host that is the steward of the service, and the body of its answer to a report.
struct stewarding_host : reporting_host {
    std::string answer_to(const std::string& target) {
        auto view = std::make_shared<cw_gateway_view>();
        view->tables.emplace(service, std::make_shared<const cw_key_table>(moved_table(1)));
        sync.on_view(view);
        sync.start();
        cw_host_report report;
        report.service = service;
        report.host = "front-9";
        return post(target, report.to_json());
    }

    /// The body of the answer to a successor whose table is the given one. This host adopts it at
    /// once, and its own last table is moved_table(1).
    /// `successor` is the term of the steward that followed it.
    std::string answer_to_successor(const cw_key_table& table, const cw_term& successor) {
        auto view = std::make_shared<cw_gateway_view>();
        view->tables.emplace(service, std::make_shared<const cw_key_table>(table));
        view->ended_stewardships.emplace(
            service,
            cw_ended_stewardship{std::make_shared<const cw_key_table>(moved_table(1)), successor});
        sync.on_view(view);
        sync.start();
        return post("/v1/succession?service=" + service, table.to_json());
    }

    std::string post(const std::string& target, std::string content) {
        cw_http_request request{http::verb::post, target, 11};
        request.body() = std::move(content);
        std::string body;
        cw_http_client client{context};
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                const auto answer = co_await client.request(self.address, request,
                                                            std::chrono::steady_clock::now() + 1s);
                body = answer ? answer->body() : "";
                context.stop();
            },
            boost::asio::detached);
        context.run_for(1'200ms);
        return body;
    }
};

} // namespace

TEST_CASE_FIXTURE(reporting_host, "report_with_an_answer_of_wrong_types_is_sent_again") {
    report({R"({"hosts":"many"})", R"({"hosts":2,"crashes":[1,2]})", R"([])", R"({"hosts":3})"});
    CHECK(report_count > 4);
    CHECK(count<cw_steward_answer>() > 0);
    // Each invalid answer counts as a steward that does not answer.
    CHECK(count<cw_ownership_event>() == 3);
}

// Guards against key tables that are cut at a deadline and begun anew, so that no host gets them.
TEST_CASE_FIXTURE(reporting_host, "key_table_that_takes_longer_than_a_report_is_received_at_once") {
    const auto text = reply_with_table().to_json();
    const std::string rest(40 * rest_piece.size(), ' ');
    const cw_raw_upstream raw{[&](const std::string&) {
        cw_raw_upstream::reply slow{response_head(text.size() + rest.size()) + text};
        slow.endless = rest_piece;
        slow.endless_interval = 20ms;
        return slow;
    }};
    report_to(raw);
    CHECK(count<cw_steward_answer>() == 1);
    CHECK(count<cw_ownership_event>() == 0);
    CHECK(raw.requests() == 1);
}

TEST_CASE("key_table_that_is_cut_may_take_twice_the_time") {
    const cw_time_point now{1h};
    cw_table_transfer transfer;
    CHECK(transfer.deadlines(500ms, now).first_byte == now + 500ms);
    CHECK(transfer.deadlines(500ms, now).complete == now + 1'500ms);
    transfer.on_cut();
    CHECK(transfer.deadlines(500ms, now).first_byte == now + 500ms);
    CHECK(transfer.deadlines(500ms, now).complete == now + 3s);
    for (int cuts = 0; cuts < 10; ++cuts) {
        transfer.on_cut();
    }
    CHECK(transfer.deadlines(500ms, now).complete == now + cw_table_transfer::max_limit);
    transfer.on_received();
    CHECK(transfer.deadlines(500ms, now).complete == now + 1'500ms);
}

TEST_CASE_FIXTURE(reporting_host, "answer_of_a_steward_that_was_succeeded_brings_its_table_only") {
    const auto text = reply_with_table().to_json();
    const cw_raw_upstream raw{[&](const std::string&) {
        cw_raw_upstream::reply late{response_head(text.size()) + text};
        late.delay = 300ms;
        return late;
    }};
    steward.address = raw.address();
    sync.start();
    sync.on_stewards({{service, steward}});
    context.run_for(100ms);
    sync.on_stewards({{service, {"front-3", 11, raw.address()}}});
    run_until_event();
    CHECK(count<cw_table_received>() == 1);
    CHECK(count<cw_steward_answer>() == 0);
}

TEST_CASE_FIXTURE(reporting_host, "report_asks_for_a_compact_table") {
    std::mutex mutex;
    std::string request;
    const auto text = reply_with_table().to_json();
    const cw_raw_upstream raw{[&](const std::string& received) {
        const std::scoped_lock lock{mutex};
        request = received;
        return cw_raw_upstream::reply{response_head(text.size()) + text};
    }};
    report_to(raw);
    const std::scoped_lock lock{mutex};
    CHECK(request.find("compact=1") != std::string::npos);
}

TEST_CASE_FIXTURE(reporting_host, "steward_that_stops_in_the_middle_of_a_key_table_is_given_up") {
    const auto text = reply_with_table().to_json();
    const cw_raw_upstream raw{[&](const std::string&) {
        return cw_raw_upstream::reply{response_head(text.size()) + text.substr(0, text.size() / 2)};
    }};
    CHECK(report_to(raw) < cw_table_transfer::first_limit);
    CHECK(count<cw_steward_answer>() == 0);
    CHECK(count<cw_ownership_event>() >= 1);
}

TEST_CASE_FIXTURE(reporting_host, "steward_that_sends_nothing_is_given_up_after_a_report") {
    const cw_raw_upstream raw{[&](const std::string&) {
        cw_raw_upstream::reply none;
        none.delay = 1'000ms;
        return none;
    }};
    CHECK(report_to(raw) < cw_table_transfer::first_limit);
    CHECK(count<cw_ownership_event>() >= 1);
}

TEST_CASE_FIXTURE(stewarding_host, "report_of_an_earlier_release_is_answered_with_a_plain_table") {
    const auto answer = answer_to("/v1/report?era=0&term=1&edition=1&digest=1&crashes=0");
    CHECK(answer.find('\n') == std::string::npos);
    const auto reply = cw_steward_reply::parse(answer);
    REQUIRE(reply);
    CHECK(reply->is_full_table);
    CHECK(reply->table.find("range_numbers") == std::string::npos);
    const auto table = reply->latest_table({});
    REQUIRE(table);
    CHECK(table->ranges == moved_table(1).ranges);
}

TEST_CASE_FIXTURE(stewarding_host, "report_of_this_release_is_answered_with_a_compact_table") {
    const auto answer = answer_to("/v1/report?compact=1&era=0&term=1&edition=1&digest=1&crashes=0");
    const auto reply = cw_steward_reply::parse(answer);
    REQUIRE(reply);
    CHECK(reply->is_full_table);
    CHECK(reply->table.find("range_numbers") != std::string::npos);
    const auto table = reply->latest_table({});
    REQUIRE(table);
    CHECK(table->ranges == moved_table(1).ranges);
}

// Guards against a successor that learns from the steward of before that it grants no more, and not
// which moves the store has lost.
TEST_CASE_FIXTURE(stewarding_host,
                  "successor_whose_owners_are_uncertain_is_answered_with_the_last_own_table") {
    auto successor_table = moved_table(3);
    successor_table.term = {2, 4};
    const auto reply =
        cw_succession_reply::parse(answer_to_successor(successor_table, successor_table.term));
    REQUIRE(reply);
    CHECK(reply->incarnation == self.incarnation);
    const auto table = cw_key_table::parse(reply->table);
    REQUIRE(table);
    CHECK(table->ranges == moved_table(1).ranges);
}

TEST_CASE_FIXTURE(stewarding_host,
                  "successor_whose_owners_are_certain_is_answered_without_a_table") {
    auto successor_table = moved_table(3);
    successor_table.term = {2, 4};
    successor_table.are_owners_uncertain = false;
    const auto reply =
        cw_succession_reply::parse(answer_to_successor(successor_table, successor_table.term));
    REQUIRE(reply);
    CHECK(reply->table.empty());
}

// Guards against a successor that goes by the table of a steward which another one had followed.
TEST_CASE_FIXTURE(stewarding_host, "successor_after_another_steward_is_answered_without_a_table") {
    auto successor_table = moved_table(3);
    successor_table.term = {2, 4};
    const auto reply =
        cw_succession_reply::parse(answer_to_successor(successor_table, cw_term{1, 5}));
    REQUIRE(reply);
    CHECK(reply->table.empty());
}

// Guards against changes of key tables that do not fit through a steward's link together.
TEST_CASE("changes_of_a_wave_of_moves_for_all_hosts_are_small_enough_for_a_link_of_200_mbit") {
    constexpr std::size_t hosts = 195;
    constexpr std::size_t link_bytes_per_second = 200'000'000 / 8;
    // A key is served again within 1 s of a loss; half of that is left for other work of the link.
    constexpr std::size_t limit = link_bytes_per_second / 2 / hosts;
    CHECK(moved_table(460).to_compact_json().size() < limit);
}

TEST_CASE("compact_key_table_that_was_written_reads_the_same") {
    const auto table = moved_table(7);
    const auto read = cw_key_table::parse(table.to_compact_json());
    REQUIRE(read);
    CHECK(read->to_json() == table.to_json());
    CHECK(read->digest() == table.digest());
    CHECK(read->are_owners_uncertain);
}

TEST_CASE("compact_key_table_with_numbers_that_do_not_fit_is_an_error") {
    const auto with = [](const std::string& numbers) {
        auto text = moved_table(1).to_compact_json();
        const auto start = text.find("\"range_numbers\":[") + 17;
        text.replace(start, text.find(']', start) - start, numbers);
        return text;
    };
    REQUIRE(cw_key_table::parse(with("0,65535,9,0,0")));
    for (const auto* numbers :
         {"0,65535,9,0", "0,65535,9,0,1", "0,65535,9,77,0", "0,65535,9,0,1,77", "0,65535,9,\"a\",0",
          "0,65534,9,0,0", "1,65535,9,0,0", "0,65535,9,0,18446744073709551615"}) {
        CHECK_MESSAGE(!cw_key_table::parse(with(numbers)), std::string{numbers});
    }
}

TEST_CASE("steward_reply_that_was_written_reads_the_same") {
    cw_steward_reply reply;
    reply.hosts = 12;
    reply.requests_successor = true;
    reply.table = cw_key_table{}.to_json();
    reply.is_full_table = true;
    reply.crashes = cw_crash_counts{{5, 2}};
    reply.is_full_crashes = true;
    for (const auto& text : {reply.to_json(), reply.to_lines()}) {
        const auto read = cw_steward_reply::parse(text);
        REQUIRE(read);
        CHECK(read->hosts == 12);
        CHECK(read->requests_successor);
        CHECK(read->is_full_table);
        CHECK(read->crashes == reply.crashes);
        CHECK(read->is_full_crashes);
        CHECK(read->to_json() == reply.to_json());
        CHECK(read->to_lines() == reply.to_lines());
    }
}

TEST_CASE("steward_reply_without_a_table_leaves_the_known_one") {
    const auto read = cw_steward_reply::parse(R"({"hosts":1})");
    REQUIRE(read);
    cw_key_table known;
    known.term = {0, 4};
    known.edition = 9;
    const auto latest = read->latest_table(known);
    REQUIRE(latest);
    CHECK(latest->term == cw_term{0, 4});
    CHECK(latest->edition == 9);
}

TEST_CASE("reply_of_wrong_types_is_an_error") {
    for (const auto* text : {"", "7", "[]", "null", R"({"hosts":-1.5e99})", R"({"hosts":{}})",
                             R"({"seeks_successor":1})", R"({"crashes":{"a":1}})", "{}\n{}",
                             "{\"full_table\":1}\n{}", R"({"crashes":[[1]]})"}) {
        CHECK_MESSAGE(!cw_steward_reply::parse(text), std::string{text});
    }
    for (const auto* text :
         {"", "{}", R"({"host":1,"incarnation":2})", R"({"host":"a","incarnation":"b"})",
          R"({"host":"a","incarnation":2,"table":7})"}) {
        CHECK_MESSAGE(!cw_succession_reply::parse(text), std::string{text});
    }
}

TEST_CASE("reply_with_a_table_that_cannot_be_read_is_an_error") {
    for (const auto* text : {R"({"table":{}})", R"({"table":[]})", R"({"changes":7})"}) {
        const auto read = cw_steward_reply::parse(text);
        REQUIRE(read);
        CHECK_MESSAGE(!read->latest_table({}), std::string{text});
    }
}
