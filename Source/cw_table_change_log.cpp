#include "cw_table_change_log.h"

#include <algorithm>
#include <tuple>

namespace {

std::string text_of(const cw_key_table& table, cw_table_format format) {
    return format == cw_table_format::compact ? table.to_compact_json() : table.to_json();
}

} // namespace

void cw_table_change_log::on_table(std::shared_ptr<const cw_key_table> table) {
    if (latest_ != nullptr && !table->is_newer_than(*latest_)) {
        return;
    }
    if (latest_ != nullptr) {
        step next{latest_version_, {}};
        for (const auto& range : table->changes_since(*latest_).ranges) {
            next.changed.emplace_back(range.first, range.last);
        }
        steps_.push_back(std::move(next));
    }
    if (steps_.size() > max_steps) {
        steps_.pop_front();
    }
    latest_version_ = cw_table_version::of(*table);
    latest_ = std::move(table);
    deltas_.clear();
}

const cw_table_change_log::delta& cw_table_change_log::delta_since(const cw_table_version& known,
                                                                   cw_table_format format) {
    const std::pair key{known, format};
    if (deltas_.size() >= max_cached_deltas && !deltas_.contains(key)) {
        deltas_.clear();
    }
    const auto [entry, is_new] = deltas_.try_emplace(key);
    if (is_new) {
        entry->second = make_delta(known, format);
    }
    return entry->second;
}

cw_table_change_log::delta cw_table_change_log::make_delta(const cw_table_version& known,
                                                           cw_table_format format) const {
    if (latest_ == nullptr || std::tie(known.term, known.edition) >=
                                  std::tie(latest_version_.term, latest_version_.edition)) {
        return {};
    }
    const auto found = std::find_if(steps_.begin(), steps_.end(), [&](const auto& item) {
        return item.previous_version == known;
    });
    if (found == steps_.end()) {
        return {true, text_of(*latest_, format)};
    }
    return {false, text_of(changes_from(found), format)};
}

cw_key_table
cw_table_change_log::changes_from(const std::deque<step>::const_iterator& first) const {
    const auto& ranges = latest_->ranges;
    std::vector<bool> has_changed(ranges.size(), false);
    for (auto it = first; it != steps_.end(); ++it) {
        for (const auto& span : it->changed) {
            auto range = std::partition_point(ranges.begin(), ranges.end(), [&](const auto& known) {
                return known.last < span.first;
            });
            for (; range != ranges.end() && range->first <= span.second; ++range) {
                has_changed[static_cast<std::size_t>(range - ranges.begin())] = true;
            }
        }
    }
    auto changes = *latest_;
    changes.ranges.clear();
    for (std::size_t index = 0; index < ranges.size(); ++index) {
        if (has_changed[index]) {
            changes.ranges.push_back(ranges[index]);
        }
    }
    return changes;
}
