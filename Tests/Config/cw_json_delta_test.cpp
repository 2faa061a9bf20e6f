#include "cw_json_delta.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

using nlohmann::json;

namespace {

json route(std::uint64_t number) {
    return {{"name", "r" + std::to_string(number)},
            {"action", {{"service", "s"}, {"timeoutS", 1}}}};
}

json config_of(std::size_t count) {
    auto rules = json::array();
    for (std::size_t number = 0; number < count; ++number) {
        rules.push_back(route(number));
    }
    return {{"version", 1}, {"listeners", {{{"host", "h"}, {"rules", std::move(rules)}}}}};
}

json& rules_of(json& config) {
    return config["listeners"][0]["rules"];
}

/// Checks that the delta makes `after` from `before`; returns the length of its text.
std::size_t check_round_trip(const json& before, const json& after) {
    const auto text = cw_make_json_delta(before, after).dump();
    CAPTURE(before.dump());
    CAPTURE(text);
    const auto made = cw_apply_json_delta(before, json::parse(text));
    REQUIRE_MESSAGE(made, made.error().text());
    CHECK(*made == after);
    return text.size();
}

/// A random value of limited depth, with few different scalars so that parts are often equal.
json random_value(std::minstd_rand& engine, int depth) {
    const auto kind = engine() % (depth == 0 ? 3 : 5);
    const auto size = engine() % 6;
    json value;
    switch (kind) {
    case 0:
        return nullptr;
    case 1:
        return engine() % 3;
    case 2:
        return std::string(engine() % 3, 'x');
    case 3:
        value = json::array();
        for (std::size_t index = 0; index < size; ++index) {
            value.push_back(random_value(engine, depth - 1));
        }
        return value;
    default:
        value = json::object();
        for (std::size_t index = 0; index < size; ++index) {
            const auto name = std::string(1, static_cast<char>('a' + engine() % 4));
            value[name] = random_value(engine, depth - 1);
        }
        return value;
    }
}

} // namespace

TEST_CASE("json_delta_of_random_values_makes_the_later_from_the_earlier") {
    std::minstd_rand engine{42};
    for (int i = 0; i < 3'000; ++i) {
        const auto before = random_value(engine, 3);
        const auto after = random_value(engine, 3);
        check_round_trip(before, after);
        check_round_trip(before, before);
    }
}

TEST_CASE("json_delta_of_one_changed_route_is_small") {
    const auto before = config_of(1'800);
    auto after = before;
    after["version"] = 2;
    rules_of(after)[900]["action"]["service"] = "other";
    CHECK(check_round_trip(before, after) < 400);
}

TEST_CASE("json_delta_of_routes_added_removed_and_split_is_small") {
    const auto before = config_of(1'800);
    auto after = before;
    auto& rules = rules_of(after);
    rules.erase(rules.begin() + 1'700);
    rules.erase(rules.begin() + 300);
    rules.insert(rules.begin() + 700, route(9'001));
    rules.insert(rules.begin(), route(9'002));
    rules.push_back(route(9'003));
    rules[100]["action"]["backends"] = {{{"service", "s"}, {"weight", 3}}};
    CHECK(check_round_trip(before, after) < 1'500);
}

TEST_CASE("json_delta_that_does_not_fit_is_refused") {
    const auto before = config_of(3);
    for (const auto* text :
         {"[]", "7", "null", "{}", R"({"elements":[[0,4]]})", R"({"elements":[[4,1]]})",
          R"({"elements":[[0]]})", R"({"elements":[{"index":9,"delta":{"value":1}}]})",
          R"({"elements":[{}]})", R"({"members":{},"removed":"x"})",
          R"({"members":{"listeners":{"elements":[[1,1]]}},"removed":[]})",
          R"({"members":{"listeners":{"elements":[[0,18446744073709551615]]}},"removed":[]})"}) {
        CAPTURE(text);
        CHECK_FALSE(cw_apply_json_delta(before, json::parse(text)));
    }
}
