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

cw_config_change config_of(std::uint64_t version) {
    auto made = cw_site_config::make(version, {}, {}, {});
    return {
        std::make_shared<const cw_site_config>(std::move(*made)), {{"version", version}}, 5, false};
}

/// A store that has version 1 of the configuration and no upstreams, and counts its calls.
class counting_store {
public:
    template <typename Result>
    using task = boost::asio::awaitable<Result>;

    std::uint64_t config_reads = 0;
    std::uint64_t others = 0;

    task<cw_result<cw_config_change>> read_config(cw_time_point) {
        ++config_reads;
        co_return config_of(1);
    }
    task<cw_result<cw_config_change>> watch_config(std::uint64_t, std::chrono::milliseconds,
                                                   cw_time_point) {
        ++others;
        co_return cw_config_change{};
    }
    task<cw_result<cw_upstream_change>> list_upstreams(std::chrono::milliseconds) {
        ++others;
        co_return cw_upstream_change{{}, {}, 5, false};
    }
    task<cw_result<cw_upstream_change>> watch_upstreams(std::uint64_t, std::chrono::milliseconds,
                                                        cw_time_point) {
        ++others;
        co_return cw_upstream_change{{}, {}, 5, false};
    }
    task<cw_table_answer> read_table(std::string, cw_time_point) { co_return cw_table_answer{}; }
    task<cw_table_answer> write_table(std::string, std::string, std::uint64_t, cw_time_point) {
        co_return cw_table_answer{};
    }
    task<cw_beat_answer> read_beat(std::string, cw_time_point) { co_return cw_beat_answer{}; }
    task<cw_beat_answer> write_beat(std::string, std::uint64_t, std::uint64_t, cw_time_point) {
        co_return cw_beat_answer{};
    }
    [[nodiscard]] static cw_config_change decode_config(const nlohmann::json& source) {
        return config_of(source.at("version").get<std::uint64_t>());
    }
    [[nodiscard]] std::uint64_t calls() const { return config_reads + others; }
};

struct port_to_counting_store {
    using dialect = cw_platform_dialect;
    using store = counting_store;
    using orders = cw_platform_command_sender;
};

/// A host on a slow link: a whole configuration takes 900 ms to arrive, everything else no time.
struct slow_host {
    boost::asio::io_context context{1};
    cw_gateway_options options;
    counting_store store;
    std::set<std::uint64_t> versions;
    std::size_t words = 0;
    std::size_t transfers = 0;
    std::string reader = "127.0.0.1:" + std::to_string(reader_port);
    cw_http_server reader_server{
        context,
        {boost::asio::ip::address_v4::loopback(), reader_port},
        [this](cw_http_request request) { return answer(std::move(request)); }};
    cw_gateway_feed<port_to_counting_store> feed{
        context, options, store, "127.0.0.1:1", [this](cw_control_event event) {
            if (const auto* seen = std::get_if<cw_config_seen>(&event)) {
                versions.insert(seen->config->version());
            }
        }};

    void follow_for(std::chrono::milliseconds length) {
        reader_server.start();
        feed.on_readers({reader});
        feed.start();
        context.run_for(length);
    }

private:
    boost::asio::awaitable<cw_http_response> answer(cw_http_request request) {
        cw_feed_answer told;
        told.word = {true, 10ms, false};
        told.news = {5, true, {}, {}};
        told.config_version = 2;
        const std::string target{request.target().data(), request.target().size()};
        const bool whole = target.find("part=entries") == std::string::npos &&
                           cw_query_number(target, "config", 0) < 2;
        if (whole) {
            ++transfers;
            co_await cw_pause(context, 900ms);
            told.config = {{"version", 2}};
        } else {
            ++words;
            co_await cw_pause(context, 100ms);
        }
        co_return cw_make_response(boost::beast::http::status::ok,
                                   told.to_text(cw_boot_clock::now()));
    }
};

} // namespace

TEST_CASE_FIXTURE(slow_host, "host_on_a_slow_link_takes_a_large_configuration_once") {
    follow_for(1'500ms);
    CHECK(versions.contains(2));
    CHECK(transfers == 1);
    // The first configuration comes from the store; the reader was never given up.
    CHECK(store.config_reads == 1);
    CHECK(store.others == 0);
}

TEST_CASE_FIXTURE(slow_host,
                  "host_that_takes_a_large_configuration_hears_of_entries_all_the_time") {
    follow_for(800ms);
    CHECK(transfers == 1);
    CHECK(words >= 4);
}
