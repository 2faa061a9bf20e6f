#include "cw_heavy_hitters.h"

#include <algorithm>

cw_heavy_hitters::cw_heavy_hitters(std::size_t capacity)
    : capacity_{capacity} {
    indices_.reserve(capacity);
    counts_.reserve(capacity);
    errors_.reserve(capacity);
    items_.reserve(capacity);
}

void cw_heavy_hitters::add(std::uint64_t item) {
    ++total_;
    if (const auto known = indices_.find(item); known != indices_.end()) {
        ++counts_[known->second];
        return;
    }
    if (items_.size() < capacity_) {
        indices_.emplace(item, items_.size());
        items_.push_back(item);
        counts_.push_back(1);
        errors_.push_back(0);
        return;
    }
    const auto index = static_cast<std::size_t>(std::min_element(counts_.begin(), counts_.end()) -
                                                counts_.begin());
    indices_.erase(items_[index]);
    indices_.emplace(item, index);
    items_[index] = item;
    errors_[index] = counts_[index];
    ++counts_[index];
}

std::vector<cw_heavy_hitter> cw_heavy_hitters::take(std::uint32_t min_count) {
    std::vector<cw_heavy_hitter> found;
    for (std::size_t i = 0; i < items_.size(); ++i) {
        const auto guaranteed = counts_[i] - errors_[i];
        if (guaranteed >= min_count) {
            found.push_back({items_[i], guaranteed});
        }
    }
    std::sort(found.begin(), found.end(), [](const auto& left, const auto& right) {
        return left.count != right.count ? left.count > right.count : left.item < right.item;
    });
    total_ = 0;
    indices_.clear();
    counts_.clear();
    errors_.clear();
    items_.clear();
    return found;
}
