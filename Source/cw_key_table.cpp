#include "cw_key_table.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace {

nlohmann::json owner_to_json(const cw_key_owner& owner) {
    return {{"id", owner.id}, {"life", owner.incarnation}, {"address", owner.address}};
}

cw_key_owner owner_from_json(const nlohmann::json& value) {
    return {value.at("id").get<std::string>(), value.at("life").get<std::uint64_t>(),
            value.at("address").get<std::string>()};
}

nlohmann::json range_to_json(const cw_key_range& range) {
    nlohmann::json value{{"first", range.first},
                         {"last", range.last},
                         {"owner", owner_to_json(range.owner)},
                         {"fence", range.fence}};
    for (const auto& owner : range.previous_owners) {
        value["before"].push_back(owner_to_json(owner));
    }
    return value;
}

cw_key_range range_from_json(const nlohmann::json& value) {
    cw_key_range range;
    range.first = value.at("first").get<std::uint32_t>();
    range.last = value.at("last").get<std::uint32_t>();
    range.owner = owner_from_json(value.at("owner"));
    range.fence = value.at("fence").get<std::uint64_t>();
    if (value.contains("before")) {
        for (const auto& owner : value.at("before")) {
            range.previous_owners.push_back(owner_from_json(owner));
        }
    }
    return range;
}

/// Lists each owner once and numbers them in the order of their first use.
class owner_list {
public:
    std::size_t number_of(const cw_key_owner& owner) {
        const auto [entry, is_new] =
            numbers_.try_emplace({owner.id, owner.incarnation, owner.address}, numbers_.size());
        if (is_new) {
            list_.push_back({owner.id, owner.incarnation, owner.address});
        }
        return entry->second;
    }
    [[nodiscard]] const nlohmann::json& list() const { return list_; }

private:
    std::map<std::tuple<std::string_view, std::uint64_t, std::string_view>, std::size_t> numbers_;
    nlohmann::json list_ = nlohmann::json::array();
};

cw_key_owner owner_from_list(const nlohmann::json& owners, const nlohmann::json& number) {
    const auto& owner = owners.at(number.get<std::size_t>());
    return {owner.at(0).get<std::string>(), owner.at(1).get<std::uint64_t>(),
            owner.at(2).get<std::string>()};
}

/// Ranges as numbers: the first and last key, the fence, the owner's number, the number of previous
/// owners and their numbers.
nlohmann::json ranges_to_numbers(const std::vector<cw_key_range>& ranges, owner_list& owners) {
    auto numbers = nlohmann::json::array();
    for (const auto& range : ranges) {
        numbers.push_back(range.first);
        numbers.push_back(range.last);
        numbers.push_back(range.fence);
        numbers.push_back(owners.number_of(range.owner));
        numbers.push_back(range.previous_owners.size());
        for (const auto& owner : range.previous_owners) {
            numbers.push_back(owners.number_of(owner));
        }
    }
    return numbers;
}

std::vector<cw_key_range> ranges_from_numbers(const nlohmann::json& numbers,
                                              const nlohmann::json& owners) {
    std::vector<cw_key_range> ranges;
    std::size_t position = 0;
    const auto next = [&]() -> const nlohmann::json& { return numbers.at(position++); };
    while (position < numbers.size()) {
        cw_key_range range;
        range.first = next().get<std::uint32_t>();
        range.last = next().get<std::uint32_t>();
        range.fence = next().get<std::uint64_t>();
        range.owner = owner_from_list(owners, next());
        for (auto left = next().get<std::size_t>(); left > 0; --left) {
            range.previous_owners.push_back(owner_from_list(owners, next()));
        }
        ranges.push_back(std::move(range));
    }
    return ranges;
}

nlohmann::json steward_to_json(const cw_steward_id& steward) {
    return {
        {"host", steward.host}, {"incarnation", steward.incarnation}, {"address", steward.address}};
}

cw_steward_id steward_from_json(const nlohmann::json& value) {
    return {value.at("host").get<std::string>(), value.at("incarnation").get<std::uint64_t>(),
            value.at("address").get<std::string>()};
}

/// All members of a table but its ranges.
nlohmann::json header_to_json(const cw_key_table& table) {
    auto predecessor_list = nlohmann::json::array();
    for (const auto& predecessor : table.predecessors) {
        predecessor_list.push_back(steward_to_json(predecessor));
    }
    nlohmann::json value{
        {"term", table.term.number},        {"era", table.term.era},
        {"edition", table.edition},         {"steward", steward_to_json(table.steward)},
        {"predecessors", predecessor_list}, {"owners_uncertain", table.are_owners_uncertain},
        {"last_fence", table.last_fence}};
    if (table.longest_lease.count() != 0) {
        value["longest_lease_ms"] = table.longest_lease.count();
    }
    return value;
}

bool covers_all_keys(const std::vector<cw_key_range>& ranges) {
    std::uint32_t next = 0;
    for (const auto& range : ranges) {
        if (range.first != next || range.last < range.first) {
            return false;
        }
        next = range.last + 1;
    }
    return next == cw_last_key + 1;
}

/// Splits the range that contains the key, so that a range begins at the key.
void split_at(std::vector<cw_key_range>& ranges, std::uint32_t key) {
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        if (ranges[i].first < key && key <= ranges[i].last) {
            auto right = ranges[i];
            right.first = key;
            ranges[i].last = key - 1;
            ranges.insert(ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1, std::move(right));
            return;
        }
    }
}

} // namespace

const cw_key_range& cw_key_table::range_of(std::uint32_t key) const {
    const auto found = std::partition_point(ranges.begin(), ranges.end(),
                                            [key](const auto& range) { return range.last < key; });
    return found == ranges.end() ? ranges.back() : *found;
}

bool cw_key_table::is_newer_than(const cw_key_table& other) const {
    return std::tie(term, edition) > std::tie(other.term, other.edition);
}

void cw_key_table::apply(const std::vector<cw_key_move>& moves) {
    for (const auto& move : moves) {
        split_at(ranges, move.first);
        split_at(ranges, move.last + 1);
        for (auto& range : ranges) {
            if (range.last < move.first || range.first > move.last || range.owner == move.to) {
                continue;
            }
            // If the range is still moving, its intended owner may already hold the keys.
            if (!range.owner.id.empty()) {
                range.previous_owners.push_back(range.owner);
            }
            range.owner = move.to;
            range.fence = ++last_fence;
        }
    }
}

void cw_key_table::merge_settled_ranges() {
    std::vector<cw_key_range> merged;
    for (auto& range : ranges) {
        const bool is_mergeable = !merged.empty() && !merged.back().is_moving() &&
                                  !range.is_moving() && merged.back().owner == range.owner;
        if (is_mergeable) {
            merged.back().last = range.last;
            merged.back().fence = ++last_fence;
        } else {
            merged.push_back(std::move(range));
        }
    }
    ranges = std::move(merged);
}

void cw_key_table::renew_fences() {
    for (auto& range : ranges) {
        range.fence = ++last_fence;
    }
}

std::string cw_key_table::to_json() const {
    auto value = header_to_json(*this);
    auto range_list = nlohmann::json::array();
    for (const auto& range : ranges) {
        range_list.push_back(range_to_json(range));
    }
    value["ranges"] = std::move(range_list);
    return value.dump();
}

std::string cw_key_table::to_compact_json() const {
    auto value = header_to_json(*this);
    owner_list owners;
    value["range_numbers"] = ranges_to_numbers(ranges, owners);
    value["owners"] = owners.list();
    return value.dump();
}

std::uint64_t cw_key_table::digest() const {
    std::uint64_t hash = 0;
    for (const auto& range : ranges) {
        const std::array<std::uint64_t, 5> fields{range.first, range.last, range.fence,
                                                  range.owner.incarnation,
                                                  range.previous_owners.size()};
        hash = XXH3_64bits_withSeed(fields.data(), sizeof fields, hash);
        hash = XXH3_64bits_withSeed(range.owner.id.data(), range.owner.id.size(), hash);
    }
    return hash;
}

cw_key_table cw_key_table::changes_since(const cw_key_table& earlier) const {
    cw_key_table changes = *this;
    std::erase_if(changes.ranges,
                  [&](const auto& range) { return earlier.range_of(range.first) == range; });
    return changes;
}

cw_result<cw_key_table> cw_key_table::with_changes(cw_key_table changes) const {
    auto& result = changes.ranges;
    const auto changed = result;
    for (const auto& range : ranges) {
        const bool is_unchanged =
            std::none_of(changed.begin(), changed.end(), [&](const auto& other) {
                return range.first <= other.last && other.first <= range.last;
            });
        if (is_unchanged) {
            result.push_back(range);
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    if (!covers_all_keys(result)) {
        return tl::unexpected(
            cw_error{"apply changes of a key table", "", "the ranges do not cover all keys"});
    }
    return changes;
}

cw_result<cw_key_table> cw_key_table::parse(std::string_view text) {
    auto table = parse_changes(text);
    if (table && !covers_all_keys(table->ranges)) {
        return tl::unexpected(cw_error{"parse key table", "", "the ranges do not cover all keys"});
    }
    return table;
}

cw_result<cw_key_table> cw_key_table::parse_changes(std::string_view text) {
    cw_key_table table;
    try {
        const auto value = nlohmann::json::parse(text);
        // Tables of an earlier release have no era.
        table.names_era = value.contains("era");
        table.term = {value.value("era", std::uint64_t{0}), value.at("term").get<std::uint64_t>()};
        table.are_owners_uncertain = value.value("owners_uncertain", false);
        table.edition = value.at("edition").get<std::uint64_t>();
        table.steward = steward_from_json(value.at("steward"));
        for (const auto& item : value.at("predecessors")) {
            table.predecessors.push_back(steward_from_json(item));
        }
        table.last_fence = value.at("last_fence").get<std::uint64_t>();
        table.longest_lease =
            std::chrono::milliseconds{value.value("longest_lease_ms", std::int64_t{0})};
        table.ranges.clear();
        if (value.contains("range_numbers")) {
            table.ranges = ranges_from_numbers(value.at("range_numbers"), value.at("owners"));
        } else {
            for (const auto& item : value.at("ranges")) {
                table.ranges.push_back(range_from_json(item));
            }
        }
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(cw_error{"parse key table", "", failure.what()});
    }
    return table;
}
