#include "cw_table_news.h"

#include <algorithm>
#include <tuple>

void cw_table_news::on_table(std::shared_ptr<const cw_key_table> table) {
    if (latest_ != nullptr && !table->is_after(*latest_)) {
        return;
    }
    if (latest_ != nullptr) {
        step next{mark_, {}};
        for (const auto& range : table->changes_since(*latest_).ranges) {
            next.changed.emplace_back(range.first, range.last);
        }
        steps_.push_back(std::move(next));
    }
    if (steps_.size() > most_steps) {
        steps_.pop_front();
    }
    mark_ = cw_table_mark::of(*table);
    latest_ = std::move(table);
    texts_.clear();
}

const cw_table_news::words& cw_table_news::since(const cw_table_mark& known) {
    if (texts_.size() >= most_texts && !texts_.contains(known)) {
        texts_.clear();
    }
    const auto [place, is_new] = texts_.try_emplace(known);
    if (is_new) {
        place->second = make(known);
    }
    return place->second;
}

cw_table_news::words cw_table_news::make(const cw_table_mark& known) const {
    if (latest_ == nullptr ||
        std::tie(known.term, known.edition) >= std::tie(mark_.term, mark_.edition)) {
        return {};
    }
    const auto found = std::find_if(steps_.begin(), steps_.end(),
                                    [&](const auto& item) { return item.before == known; });
    if (found == steps_.end()) {
        return {true, latest_->to_text()};
    }
    return {false, changes_from(found).to_text()};
}

cw_key_table cw_table_news::changes_from(const std::deque<step>::const_iterator& first) const {
    const auto& all = latest_->ranges;
    std::vector<bool> has_changed(all.size(), false);
    for (auto place = first; place != steps_.end(); ++place) {
        for (const auto& span : place->changed) {
            auto range = std::partition_point(
                all.begin(), all.end(), [&](const auto& known) { return known.last < span.first; });
            for (; range != all.end() && range->first <= span.second; ++range) {
                has_changed[static_cast<std::size_t>(range - all.begin())] = true;
            }
        }
    }
    auto changes = *latest_;
    changes.ranges.clear();
    for (std::size_t place = 0; place < all.size(); ++place) {
        if (has_changed[place]) {
            changes.ranges.push_back(all[place]);
        }
    }
    return changes;
}
