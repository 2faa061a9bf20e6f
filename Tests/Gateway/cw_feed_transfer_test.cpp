#include "cw_gateway_feed.h"
#include "cw_http_server.h"
#include "cw_platform_command_sender.h"
#include "cw_platform_dialect.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t reader_port = 27'996;

/// Shortest time in which a deployment requires a configuration to be in force.
constexpr auto shortest_bound = 2'000ms;

cw_store_position position_of(std::uint64_t version) {
    return {1, 4 + version};
}

cw_config_change config_of(std::uint64_t version) {
    auto result = cw_site_config::make(version, {}, {}, {});
    return {std::make_shared<const cw_site_config>(std::move(*result)),
            {{"version", version}},
            position_of(version),
            false};
}

/// A store with a configuration and no upstreams that counts the calls. Can lose those that concern
/// the configuration: these get no answer, also when it loses no more.
class counting_store {
public:
    template <typename Result>
    using task = boost::asio::awaitable<Result>;

    explicit counting_store(boost::asio::io_context& context)
        : context_{context} {}

    std::uint64_t version = 1;
    std::uint64_t config_reads = 0;
    std::uint64_t other_calls = 0;
    bool loses_config_calls = false;
    std::uint64_t lost_calls = 0;

    task<cw_result<cw_config_change>> read_config(cw_call_deadlines deadlines) {
        ++config_reads;
        if (loses_config_calls) {
            co_return co_await lose(deadlines);
        }
        co_return config_of(version);
    }
    task<cw_result<cw_config_change>> watch_config(cw_store_position from,
                                                   std::chrono::milliseconds wait,
                                                   cw_call_deadlines deadlines, std::uint64_t) {
        ++other_calls;
        if (loses_config_calls) {
            co_return co_await lose(deadlines);
        }
        if (from < position_of(version)) {
            co_return config_of(version);
        }
        co_await cw_pause(context_, wait);
        co_return cw_config_change{nullptr, nullptr, from, false};
    }
    task<cw_result<cw_upstream_change>> list_upstreams(std::chrono::milliseconds) {
        ++other_calls;
        co_return cw_upstream_change{{}, {}, {1, 5}, false};
    }
    task<cw_result<cw_upstream_change>>
    watch_upstreams(cw_store_position, std::chrono::milliseconds, cw_call_deadlines) {
        ++other_calls;
        co_return cw_upstream_change{{}, {}, {1, 5}, false};
    }
    task<cw_result<cw_evacuation_change>> list_evacuations(std::chrono::milliseconds) {
        ++other_calls;
        co_return cw_evacuation_change{};
    }
    task<cw_result<cw_evacuation_change>>
    watch_evacuations(cw_store_position, std::chrono::milliseconds, cw_call_deadlines) {
        ++other_calls;
        co_return cw_evacuation_change{};
    }
    task<cw_table_answer> read_table(std::string, cw_time_point) { co_return cw_table_answer{}; }
    task<cw_table_answer> write_table(std::string, std::string, std::uint64_t, cw_time_point) {
        co_return cw_table_answer{};
    }
    task<cw_heartbeat_answer> read_heartbeat(std::string, cw_time_point) {
        co_return cw_heartbeat_answer{};
    }
    task<cw_heartbeat_answer> write_heartbeat(std::string, std::uint64_t, cw_term, cw_time_point) {
        co_return cw_heartbeat_answer{};
    }
    [[nodiscard]] static cw_config_change decode_config(const nlohmann::json& source) {
        return config_of(source.at("version").get<std::uint64_t>());
    }
    [[nodiscard]] std::uint64_t calls() const { return config_reads + other_calls; }
    [[nodiscard]] static std::uint64_t unanswered_calls() { return 0; }
    [[nodiscard]] static std::uint64_t era() { return 0; }

private:
    task<cw_result<cw_config_change>> lose(cw_call_deadlines deadlines) {
        ++lost_calls;
        boost::asio::steady_timer timer{context_, deadlines.complete};
        boost::system::error_code ignored;
        co_await timer.async_wait(cw_redirect_error(ignored));
        co_return tl::unexpected(cw_error{"receive", "store", "timeout"});
    }

    boost::asio::io_context& context_;
};

struct counting_port {
    using dialect = cw_platform_dialect;
    using store = counting_store;
    using command_sender = cw_platform_command_sender;
};

/// A host on a slow link: the transfer of a complete configuration takes 900 ms, any other answer
/// 100 ms. Guards against a transfer that is longer than the timeout of a poll and makes the host
/// suspect its reader or start the transfer again.
struct slow_host {
    boost::asio::io_context context{1};
    cw_gateway_options options;
    counting_store store{context};
    std::set<std::uint64_t> received_versions;
    std::size_t entry_polls = 0;
    std::size_t config_transfers = 0;
    std::string reader = "127.0.0.1:" + std::to_string(reader_port);
    cw_http_server reader_server{
        context,
        {boost::asio::ip::address_v4::loopback(), reader_port},
        [this](cw_http_request request) { return respond(std::move(request)); }};
    cw_gateway_feed<counting_port> feed{
        context, options, store, "127.0.0.1:1", [this](cw_control_event event) {
            if (const auto* seen = std::get_if<cw_config_received>(&event)) {
                received_versions.insert(seen->config->version());
            }
        }};

    void follow_for(std::chrono::milliseconds length) {
        reader_server.start();
        feed.on_readers({reader});
        feed.start();
        context.run_for(length);
    }

private:
    boost::asio::awaitable<cw_http_response> respond(cw_http_request request) {
        cw_feed_answer response;
        response.status = {true, 10ms, false};
        response.delta = {{1, 5}, true, {}, {}};
        response.config_version = 2;
        const std::string target{request.target().data(), request.target().size()};
        const bool is_config_request = target.find("part=entries") == std::string::npos &&
                                       cw_query_number(target, "config", 0) < 2;
        if (is_config_request) {
            ++config_transfers;
            co_await cw_pause(context, 900ms);
            response.config_text = R"({"version":2})";
        } else {
            ++entry_polls;
            co_await cw_pause(context, 100ms);
        }
        co_return cw_make_response(boost::beast::http::status::ok,
                                   response.to_json(cw_boot_clock::now()));
    }
};

/// A host that is no reader and knows of none, so that it reads the store.
struct host_without_readers {
    boost::asio::io_context context{1};
    cw_gateway_options options;
    counting_store store{context};
    std::set<std::uint64_t> received_versions;
    cw_gateway_feed<counting_port> feed{
        context, options, store, "127.0.0.1:1", [this](cw_control_event event) {
            if (const auto* seen = std::get_if<cw_config_received>(&event)) {
                received_versions.insert(seen->config->version());
            }
        }};

    void start() {
        feed.start();
        context.run_for(1'500ms);
        REQUIRE(feed.state().reads_store);
        REQUIRE(received_versions.contains(1));
    }

    /// Loses calls for the configuration until the first ones have failed and one has just been
    /// sent.
    void lose_calls() {
        store.loses_config_calls = true;
        context.run_for(3'500ms);
        const auto lost_before = store.lost_calls;
        for (int tries = 0; tries < 300 && store.lost_calls == lost_before; ++tries) {
            context.run_for(10ms);
        }
        REQUIRE(store.lost_calls > lost_before);
        store.loses_config_calls = false;
    }
};

} // namespace

TEST_CASE_FIXTURE(slow_host, "host_on_a_slow_link_fetches_a_large_configuration_once") {
    follow_for(1'500ms);
    CHECK(received_versions.contains(2));
    CHECK(config_transfers == 1);
    // Only the first configuration is read from the store; the reader is never suspected.
    CHECK(store.config_reads == 1);
    CHECK(store.other_calls == 0);
}

TEST_CASE_FIXTURE(slow_host, "host_receives_entries_while_a_large_configuration_is_transferred") {
    follow_for(800ms);
    CHECK(config_transfers == 1);
    CHECK(entry_polls >= 4);
}

// Guards against a guard on the lag that is off from a failed call of the host's own to the next.
TEST_CASE_FIXTURE(
    host_without_readers,
    "config_changed_as_a_call_after_failed_ones_is_lost_is_received_within_the_bound") {
    start();
    lose_calls();
    store.version = 2;
    context.run_for(shortest_bound);
    CHECK(received_versions.contains(2));
}
