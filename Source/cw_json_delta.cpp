#include "cw_json_delta.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace {

using nlohmann::json;

// A delta is an object with one of these members, or with members_key and removed_key.

/// The new value as a whole.
constexpr const char* value_key = "value";
/// The deltas of an object's members that are new or have changed, by name.
constexpr const char* members_key = "members";
/// The names of an object's members that are gone.
constexpr const char* removed_key = "removed";
/// The new elements of an array, each as a step: the two numbers [FIRST, COUNT] of old elements to
/// take over, an object with index_key and delta_key, or an object with value_key.
constexpr const char* elements_key = "elements";
/// Index of the old element that has changed, and its delta.
constexpr const char* index_key = "index";
constexpr const char* delta_key = "delta";

constexpr std::size_t no_match = static_cast<std::size_t>(-1);

/// Index of the old element that equals each new one; no_match for none. The indices rise.
std::vector<std::size_t> match_elements(const json& before, const json& after) {
    std::vector<std::size_t> matches(after.size(), no_match);
    const auto shorter = std::min(before.size(), after.size());
    std::size_t prefix = 0;
    while (prefix < shorter && before[prefix] == after[prefix]) {
        matches[prefix] = prefix;
        ++prefix;
    }
    std::size_t suffix = 0;
    while (suffix < shorter - prefix &&
           before[before.size() - 1 - suffix] == after[after.size() - 1 - suffix]) {
        ++suffix;
        matches[after.size() - suffix] = before.size() - suffix;
    }
    const std::hash<json> hash;
    std::unordered_map<std::size_t, std::vector<std::size_t>> indices;
    for (auto index = prefix; index < before.size() - suffix; ++index) {
        indices[hash(before[index])].push_back(index);
    }
    std::size_t next = prefix;
    for (auto position = prefix; position < after.size() - suffix; ++position) {
        const auto found = indices.find(hash(after[position]));
        if (found == indices.end()) {
            continue;
        }
        const auto index = std::lower_bound(found->second.begin(), found->second.end(), next);
        if (index != found->second.end() && before[*index] == after[position]) {
            matches[position] = *index;
            next = *index + 1;
        }
    }
    return matches;
}

void add_kept_element(json& steps, std::size_t index) {
    if (!steps.empty() && steps.back().is_array() &&
        steps.back()[0].get<std::size_t>() + steps.back()[1].get<std::size_t>() == index) {
        steps.back()[1] = steps.back()[1].get<std::size_t>() + 1;
    } else {
        steps.push_back(json::array({index, 1}));
    }
}

json make_array_delta(const json& before, const json& after) {
    const auto matches = match_elements(before, after);
    // The first old element that may be the earlier form of a new one, for each position.
    std::vector<std::size_t> gap_ends(after.size());
    auto gap_end = before.size();
    for (auto position = after.size(); position-- > 0;) {
        gap_end = matches[position] == no_match ? gap_end : matches[position];
        gap_ends[position] = gap_end;
    }
    auto steps = json::array();
    std::size_t next = 0;
    for (std::size_t position = 0; position < after.size(); ++position) {
        if (matches[position] != no_match) {
            add_kept_element(steps, matches[position]);
            next = matches[position] + 1;
            continue;
        }
        auto change = next < gap_ends[position] ? cw_make_json_delta(before[next], after[position])
                                                : json{{value_key, after[position]}};
        if (change.contains(value_key)) {
            steps.push_back(std::move(change));
        } else {
            steps.push_back(json{{index_key, next}, {delta_key, std::move(change)}});
        }
        next = std::min(next + 1, gap_ends[position]);
    }
    return json{{elements_key, std::move(steps)}};
}

json make_object_delta(const json& before, const json& after) {
    auto members = json::object();
    auto removed = json::array();
    for (const auto& [name, value] : after.items()) {
        const auto old_value = before.find(name);
        if (old_value == before.end()) {
            members[name] = json{{value_key, value}};
        } else if (*old_value != value) {
            members[name] = cw_make_json_delta(*old_value, value);
        }
    }
    for (const auto& [name, value] : before.items()) {
        if (!after.contains(name)) {
            removed.push_back(name);
        }
    }
    return json{{members_key, std::move(members)}, {removed_key, std::move(removed)}};
}

json apply(json before, const json& delta);

json apply_to_array(json before, const json& steps) {
    if (!before.is_array() || !steps.is_array()) {
        throw std::invalid_argument("the delta is one of an array");
    }
    auto after = json::array();
    for (const auto& step : steps) {
        if (step.is_array()) {
            const auto first = step.at(0).get<std::size_t>();
            const auto count = step.at(1).get<std::size_t>();
            if (first > before.size() || count > before.size() - first) {
                throw std::out_of_range("the delta names elements that are not there");
            }
            for (auto index = first; index < first + count; ++index) {
                after.push_back(std::move(before[index]));
            }
        } else if (step.contains(value_key)) {
            after.push_back(step.at(value_key));
        } else {
            auto& element = before.at(step.at(index_key).get<std::size_t>());
            after.push_back(apply(std::move(element), step.at(delta_key)));
        }
    }
    return after;
}

json apply_to_object(json before, const json& delta) {
    if (!before.is_object() || !delta.at(removed_key).is_array()) {
        throw std::invalid_argument("the delta is one of an object");
    }
    for (const auto& name : delta.at(removed_key)) {
        before.erase(name.get<std::string>());
    }
    for (const auto& [name, change] : delta.at(members_key).items()) {
        auto old_value = before.contains(name) ? std::move(before[name]) : json();
        before[name] = apply(std::move(old_value), change);
    }
    return before;
}

json apply(json before, const json& delta) {
    if (const auto value = delta.find(value_key); value != delta.end()) {
        return *value;
    }
    if (const auto steps = delta.find(elements_key); steps != delta.end()) {
        return apply_to_array(std::move(before), *steps);
    }
    return apply_to_object(std::move(before), delta);
}

} // namespace

json cw_make_json_delta(const json& before, const json& after) {
    if (before.is_object() && after.is_object()) {
        return make_object_delta(before, after);
    }
    if (before.is_array() && after.is_array()) {
        return make_array_delta(before, after);
    }
    return json{{value_key, after}};
}

cw_result<json> cw_apply_json_delta(json before, const json& delta) {
    try {
        return apply(std::move(before), delta);
    } catch (const std::exception& failure) {
        return tl::unexpected(cw_error{"apply the delta of a JSON value", "", failure.what()});
    }
}
