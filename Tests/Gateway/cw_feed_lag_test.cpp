#include "cw_feed_fixture.h"
#include "cw_http_server.h"

#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <map>

using namespace std::chrono_literals;

namespace {

/// Shortest time in which a deployment requires a configuration to be in force, and an upstream
/// that leaves to get no more requests.
constexpr auto shortest_bound = 2'000ms;
/// Rate of the weakest links, 10 Mbit/s, in bytes a second.
constexpr std::uint64_t weak_link = 1'250'000;
/// Routes of a configuration of some 300 kB.
constexpr std::size_t many_routes = 600;
/// Time after which all hosts follow the first reader.
constexpr auto start_time = 2'500ms;
/// Time after which a watch that was open before has ended.
constexpr auto longest_watch = 1'300ms;
constexpr std::uint16_t first_port = 27'950;
constexpr std::size_t reader_count = 3;

cw_address address_of(std::uint16_t port) {
    return {boost::asio::ip::address_v4::loopback(), port};
}

std::string text_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

/// Passes calls on to the store for one host. Can refuse them, or leave those that concern the
/// configuration unanswered.
class store_path {
public:
    store_path(boost::asio::io_context& context, std::uint16_t port, std::string store)
        : context_{context},
          http_{context},
          store_{std::move(store)},
          server_{context, address_of(port),
                  [this](cw_http_request request) { return serve(std::move(request)); }} {
        server_.start();
    }

    bool refuses = false;
    bool hides_config = false;
    /// Refuses this many more calls that do not concern the configuration.
    int refusals = 0;

private:
    bool take_refusal(const cw_http_request& request) {
        return request.target().find("/config") == std::string_view::npos && refusals > 0 &&
               refusals-- > 0;
    }

    boost::asio::awaitable<cw_http_response> serve(cw_http_request request) {
        namespace http = boost::beast::http;
        if (hides_config && request.target().find("/config") != std::string_view::npos) {
            co_await cw_pause(context_, 30s);
        }
        if (refuses || take_refusal(request)) {
            co_return cw_make_response(http::status::service_unavailable, "refused\n",
                                       "text/plain");
        }
        auto answer = co_await http_.request(store_, std::move(request),
                                             std::chrono::steady_clock::now() + 10s);
        co_return answer ? std::move(*answer)
                         : cw_make_response(http::status::bad_gateway, "", "text/plain");
    }

    boost::asio::io_context& context_;
    cw_http_client http_;
    std::string store_;
    cw_http_server server_;
};

/// A host that is named as a reader, with its path to the store and the link over which others
/// reach it.
struct named_reader {
    named_reader(boost::asio::io_context& context, std::uint16_t port, const std::string& store)
        : path{context, port, store},
          link{context, address_of(port + 1), address_of(port + 2)},
          host{context, text_of(port), text_of(port + 1)},
          server{context, address_of(port + 2),
                 [this](cw_http_request request) { return serve(std::move(request)); }},
          context_{context} {
        link.start();
        server.start();
    }

    /// Called when another host asks for the configuration, before it is sent.
    std::function<void()> on_transfer;
    /// Transfers of the configuration that run now, and the most that have run at once.
    int transfers = 0;
    int max_transfers = 0;
    /// Time for which the configuration is held back then.
    std::chrono::milliseconds transfer_delay{0};
    store_path path;
    cw_link_standin link;
    cw_feed_fixture::host host;
    cw_http_server server;

private:
    boost::asio::awaitable<cw_http_response> serve(cw_http_request request) {
        std::string target{request.target().data(), request.target().size()};
        const bool is_transfer = target.find("part=config") != std::string::npos;
        if (is_transfer) {
            max_transfers = std::max(max_transfers, ++transfers);
            if (on_transfer) {
                on_transfer();
            }
            co_await cw_pause(context_, transfer_delay);
        }
        auto answer = co_await host.feed.serve(std::move(target));
        transfers -= is_transfer ? 1 : 0;
        co_return answer;
    }

    boost::asio::io_context& context_;
};

/// A failure domain with three readers and a host that is none.
struct domain_with_readers {
    boost::asio::io_context context{1};
    cw_platform_standin store{context, address_of(first_port)};
    store_path follower_path{context, first_port + 11, text_of(first_port)};
    cw_link_standin store_link{context, address_of(first_port + 1), address_of(first_port + 11)};
    std::array<named_reader, reader_count> readers{
        named_reader{context, first_port + 2, text_of(first_port)},
        named_reader{context, first_port + 5, text_of(first_port)},
        named_reader{context, first_port + 8, text_of(first_port)}};
    cw_feed_fixture::host follower{context, text_of(first_port + 1), "127.0.0.1:1"};

    domain_with_readers() {
        store.start();
        store_link.start();
        put_config(1);
        put_upstream("ready");
        const std::vector<std::string> ranking{text_of(first_port + 3), text_of(first_port + 6),
                                               text_of(first_port + 9)};
        for (auto* host : hosts()) {
            host->feed.on_readers(ranking);
            host->feed.start();
        }
        run_for(start_time);
        REQUIRE(readers[0].host.feed.state().reads_store);
        REQUIRE_FALSE(readers[1].host.feed.state().reads_store);
        REQUIRE(follower.versions.contains(1));
        REQUIRE(follower.uses("a"));
    }

    std::array<cw_feed_fixture::host*, reader_count + 1> hosts() {
        return {&readers[0].host, &readers[1].host, &readers[2].host, &follower};
    }

    void run_for(std::chrono::milliseconds length) {
        constexpr auto tick_interval = 50ms;
        const auto until = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < until) {
            context.run_for(tick_interval);
            for (auto* host : hosts()) {
                host->receive(cw_clock_tick{});
            }
        }
    }

    void put_config(std::uint64_t version) { put_config(version, 0); }

    /// Writes a configuration whose routes are the same but for one that has the version's name.
    void put_config(std::uint64_t version, std::size_t routes) {
        store.put("config", "main", make_config(version, routes));
    }

    static nlohmann::json make_config(std::uint64_t version, std::size_t routes) {
        auto rules = nlohmann::json::array();
        for (std::size_t index = 0; index < routes; ++index) {
            const auto name = index == routes / 2 ? "v" + std::to_string(version) + "-"
                                                  : "r" + std::to_string(index) + "-";
            rules.push_back({{"name", name + std::string(400, 'n')},
                             {"match", {{"pathPrefix", "/" + name + "/"}}},
                             {"kind", "safe"},
                             {"action", {{"service", "gallery"}, {"timeoutS", 1.5}}}});
        }
        return {{"version", version},
                {"clusters", {{{"name", "gallery"}}}},
                {"listeners", {{{"host", "shop.example"}, {"rules", std::move(rules)}}}}};
    }

    void put_upstream(const std::string& state) {
        store.put("servers", "a",
                  {{"service", "gallery"},
                   {"address", "10.0.0.9:8080"},
                   {"zone", "z"},
                   {"slots", 3},
                   {"state", state},
                   {"born", 1}});
    }

    void change_everything() {
        put_config(2);
        put_upstream("draining");
    }

    /// Cuts the follower off from all readers for so long that it reads the store itself.
    void make_follower_read_the_store() {
        for (auto& reader : readers) {
            reader.link.set_partitioned(true);
        }
        run_for(3s);
        REQUIRE(follower.feed.state().reads_store);
    }

    /// Cuts the follower off from all readers and silences its open connections to the store.
    void lose_all_sources() {
        store_link.silence_open_connections();
        for (auto& reader : readers) {
            reader.link.set_partitioned(true);
        }
    }
};

} // namespace

// Guards against a sum of the waits for silent readers and for a silent connection to the store.
TEST_CASE_FIXTURE(
    domain_with_readers,
    "changes_made_as_readers_and_connections_fall_silent_are_known_within_the_bound") {
    lose_all_sources();
    change_everything();
    run_for(shortest_bound);
    CHECK(follower.versions.contains(2));
    CHECK_FALSE(follower.uses("a"));
}

// Guards against a transfer that is waited for while other sources have the configuration.
TEST_CASE_FIXTURE(domain_with_readers,
                  "config_whose_transfer_is_cut_off_is_received_within_the_bound") {
    readers[0].on_transfer = [this] { lose_all_sources(); };
    put_config(2);
    run_for(shortest_bound);
    CHECK(follower.versions.contains(2));
}

TEST_CASE_FIXTURE(domain_with_readers, "config_whose_transfer_hangs_is_received_within_the_bound") {
    readers[0].on_transfer = [this] { store_link.silence_open_connections(); };
    readers[0].transfer_delay = 10s;
    put_config(2);
    run_for(shortest_bound);
    CHECK(follower.versions.contains(2));
}

// Guards against a reader that is judged by its entries only.
TEST_CASE_FIXTURE(domain_with_readers,
                  "config_that_the_reader_does_not_learn_of_is_received_within_the_bound") {
    readers[0].path.hides_config = true;
    run_for(longest_watch);
    put_config(2);
    run_for(shortest_bound);
    CHECK(follower.versions.contains(2));
}

// Guards against a reader that keeps to the store though the store refuses it.
TEST_CASE_FIXTURE(
    domain_with_readers,
    "changes_of_which_a_refused_reader_learns_from_another_are_known_within_the_bound") {
    readers[0].path.refuses = true;
    run_for(longest_watch);
    change_everything();
    run_for(shortest_bound);
    for (auto* host : hosts()) {
        CHECK(host->versions.contains(2));
        CHECK_FALSE(host->uses("a"));
    }
}

// Guards against a lag that is counted from the start of a watch, so that each change makes all
// followers read the store.
TEST_CASE_FIXTURE(domain_with_readers, "follower_of_a_current_reader_makes_no_call_to_the_store") {
    const auto calls = follower.store.calls();
    for (std::uint64_t version = 2; version <= 4; ++version) {
        put_config(version);
        run_for(650ms);
    }
    run_for(1'500ms);
    CHECK(follower.versions.contains(4));
    CHECK(follower.store.calls() == calls);
}

// Guards against a guard on the lag that a failed call of the host's own switches off.
TEST_CASE_FIXTURE(
    domain_with_readers,
    "config_changed_as_calls_for_it_are_answered_again_is_received_within_the_bound") {
    make_follower_read_the_store();
    for (std::uint64_t version = 2; version <= 5; ++version) {
        follower_path.hides_config = true;
        run_for(2'600ms + version * 350ms);
        follower_path.hides_config = false;
        put_config(version);
        run_for(shortest_bound);
        CHECK(follower.versions.contains(version));
    }
}

// Guards against a catch-up that brings each missed version whole, and starts anew after it failed.
TEST_CASE_FIXTURE(domain_with_readers,
                  "latest_of_many_missed_versions_is_received_over_a_weak_link_within_the_bound") {
    constexpr std::uint64_t last_version = 14;
    std::map<std::uint64_t, nlohmann::json> missed;
    for (std::uint64_t version = 3; version <= last_version; ++version) {
        missed[version] = make_config(version, many_routes);
    }
    const auto version_bytes = missed[last_version].dump().size();
    put_config(2, many_routes);
    run_for(1s);
    make_follower_read_the_store();
    store_link.set_rate(weak_link);
    store_link.set_partitioned(true);
    for (const auto& [version, source] : missed) {
        store.put("config", "main", source);
        run_for(50ms);
    }
    // The readers share their thread with the store and with each other.
    for (int tries = 0; tries < 30 && !readers[0].host.versions.contains(last_version); ++tries) {
        run_for(100ms);
    }
    REQUIRE(readers[0].host.versions.contains(last_version));
    const auto before = store_link.delivered_bytes();
    store_link.set_partitioned(false);
    run_for(shortest_bound);
    CHECK(follower.versions.contains(last_version));
    CHECK(store_link.delivered_bytes() - before < 5 * version_bytes);
}

// Guards against a host that does not know that it is late, and serves by the version of before.
TEST_CASE_FIXTURE(domain_with_readers, "config_that_was_heard_of_and_does_not_arrive_is_known_of") {
    for (auto& reader : readers) {
        reader.transfer_delay = 10s;
    }
    follower_path.hides_config = true;
    put_config(2);
    run_for(500ms);
    for (int moment = 0; moment < 60; ++moment) {
        const auto known = follower.feed.known_config();
        CHECK(known.version == 2);
        CHECK(known.are_sources_answering);
        run_for(50ms);
    }
    CHECK_FALSE(follower.versions.contains(2));
}

// Guards against a host that reads the store, and does not know that it lacks a version whose
// transfer is cut.
TEST_CASE_FIXTURE(domain_with_readers, "config_whose_watch_is_cut_is_known_of_by_its_reader") {
    put_config(2, many_routes);
    run_for(1s);
    make_follower_read_the_store();
    store_link.set_rate(weak_link / 50);
    put_config(3, many_routes);
    run_for(3s);
    CHECK_FALSE(follower.versions.contains(3));
    CHECK(follower.feed.known_config().version == 3);
}

TEST_CASE_FIXTURE(domain_with_readers,
                  "config_that_is_too_long_for_a_watch_is_known_of_by_its_reader") {
    make_follower_read_the_store();
    store_link.set_rate(weak_link / 50);
    put_config(2, many_routes);
    run_for(3s);
    CHECK_FALSE(follower.versions.contains(2));
    CHECK(follower.feed.known_config().version == 2);
}

// Guards against a transfer that is cut at its time limit and begun anew for ever.
TEST_CASE_FIXTURE(domain_with_readers,
                  "config_that_takes_longer_than_one_time_limit_is_received_at_last") {
    for (auto& reader : readers) {
        reader.link.set_rate(weak_link / 12);
    }
    store_link.set_rate(weak_link / 12);
    put_config(2, many_routes);
    for (int seconds = 0; seconds < 30 && !follower.versions.contains(2); ++seconds) {
        run_for(1s);
    }
    CHECK(follower.versions.contains(2));
}

TEST_CASE_FIXTURE(domain_with_readers, "host_that_is_cut_off_knows_that_no_source_answers") {
    for (auto& reader : readers) {
        reader.link.set_partitioned(true);
    }
    store_link.set_partitioned(true);
    run_for(shortest_bound + 300ms);
    CHECK_FALSE(follower.feed.known_config().are_sources_answering);
}

// Guards against a transfer for each version of a series, which share one weak link.
TEST_CASE_FIXTURE(domain_with_readers, "series_of_versions_is_transferred_one_after_the_other") {
    readers[0].transfer_delay = 300ms;
    for (std::uint64_t version = 2; version <= 8; ++version) {
        put_config(version);
        run_for(100ms);
    }
    run_for(1s);
    CHECK(follower.versions.contains(8));
    CHECK(readers[0].max_transfers <= static_cast<int>(reader_count));
}

// Guards against a change of one route that costs each follower the whole configuration.
TEST_CASE_FIXTURE(domain_with_readers, "change_of_one_route_of_many_costs_a_follower_little") {
    put_config(2, many_routes);
    run_for(1s);
    REQUIRE(follower.versions.contains(2));
    const auto before = readers[0].link.delivered_bytes();
    for (std::uint64_t version = 3; version <= 5; ++version) {
        put_config(version, many_routes);
        run_for(300ms);
    }
    CHECK(follower.versions.contains(5));
    CHECK(readers[0].link.delivered_bytes() - before < 300'000);
}

// Guards against one refused call that is taken for an outage of the store.
TEST_CASE_FIXTURE(domain_with_readers,
                  "upstream_removed_after_one_refused_call_is_not_used_beyond_the_bound") {
    make_follower_read_the_store();
    store_link.set_partitioned(false);
    readers[0].path.refusals = 1;
    store.remove("servers", "a");
    run_for(shortest_bound);
    for (auto* host : hosts()) {
        CHECK_FALSE(host->uses("a"));
    }
}
