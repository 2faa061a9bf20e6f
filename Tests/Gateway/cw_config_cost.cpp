/// Measures the processor time that a change of the configuration costs a gateway, by step and
/// number of routes. Prints one CSV row per step and size, in milliseconds.

#include "cw_config_copy.h"
#include "cw_feed_answer.h"
#include "cw_http_client.h"
#include "cw_json_split.h"
#include "cw_platform_store.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string>

namespace {

using nlohmann::json;

constexpr int repetitions = 7;

double cpu_ms() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) * 1e-6;
}

/// Prints the minimum of several runs of the work.
template <typename Work>
void print_cost(const char* step, std::size_t routes, const Work& work) {
    double least = 1e9;
    for (int run = 0; run < repetitions; ++run) {
        const auto start = cpu_ms();
        work();
        least = std::min(least, cpu_ms() - start);
    }
    std::printf("%s,%zu,%.3f\n", step, routes, least);
}

/// A configuration in which one route has the version's name.
json make_source(std::size_t routes, std::uint64_t version) {
    auto rules = json::array();
    for (std::size_t index = 0; index < routes; ++index) {
        const auto name =
            index == routes / 2 ? "v" + std::to_string(version) : "route-" + std::to_string(index);
        rules.push_back({{"name", name},
                         {"match", {{"pathPrefix", "/" + name + "-added/"}}},
                         {"kind", "safe"},
                         {"action", {{"service", "gallery"}, {"timeoutS", 1.5}}},
                         {"retry", {{"maxAttempts", 2}}}});
    }
    return {{"version", version},
            {"clusters", {{{"name", "gallery"}}}},
            {"listeners", {{{"host", "shop.example"}, {"rules", std::move(rules)}}}}};
}

void measure(const cw_platform_store& store, std::size_t routes) {
    const auto before = make_source(routes, 1);
    const auto after = make_source(routes, 2);
    cw_feed_answer answer;
    answer.config_version = 2;
    answer.config_text = after.dump();
    const auto text = answer.to_json({});
    std::printf("bytes,%zu,%zu\n", routes, text.size());
    print_cost("nesting", routes, [&] { static_cast<void>(cw_json_depth(text)); });
    print_cost("parse", routes, [&] { const auto value = json::parse(text); });
    print_cost("text", routes, [&] { static_cast<void>(after.dump()); });
    print_cost("copy", routes, [&] { const auto copy = after; });
    print_cost("decode with a copy", routes,
               [&] { static_cast<void>(store.decode_config(after)); });
    cw_config_copy copy;
    copy.replace(1, before, true);
    print_cost("compare and replace", routes, [&] {
        auto changed = copy;
        changed.replace(2, after, true);
    });
    auto changed = copy;
    changed.replace(2, after, true);
    const auto deltas = changed.deltas_since(1);
    print_cost("apply deltas", routes, [&] { static_cast<void>(copy.with_deltas(deltas)); });
}

} // namespace

int main() {
    boost::asio::io_context context;
    cw_http_client http{context};
    const cw_platform_store store{http, "127.0.0.1:9", [](const cw_error& error, std::uint64_t) {
                                      std::printf("rejected: %s\n", error.text().c_str());
                                  }};
    std::printf("step,routes,value\n");
    for (const std::size_t routes : {600, 1'320, 1'800, 2'800}) {
        measure(store, routes);
    }
}
