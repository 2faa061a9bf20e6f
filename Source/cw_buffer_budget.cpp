#include "cw_buffer_budget.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

cw_buffer_budget::buffer::buffer(cw_buffer_budget& budget, std::string source)
    : budget_{budget},
      source_{std::move(source)},
      position_{budget.buffers_.insert(budget.buffers_.end(), this)} {}

cw_buffer_budget::buffer::~buffer() {
    budget_.set_bytes(*this, 0);
    budget_.buffers_.erase(position_);
}

void cw_buffer_budget::buffer::resize(std::uint64_t bytes) {
    if (is_evicted_) {
        return;
    }
    budget_.set_bytes(*this, bytes);
    budget_.evict_until_within_limit();
    budget_.peak_ = std::max(budget_.peak_.load(), budget_.bytes_.load());
}

void cw_buffer_budget::set_bytes(buffer& changed, std::uint64_t bytes) {
    bytes_ = bytes_ - changed.bytes_ + bytes;
    changed.bytes_ = bytes;
}

cw_buffer_budget::buffer* cw_buffer_budget::next_to_evict() const {
    std::unordered_map<std::string_view, std::uint64_t> source_bytes;
    for (const auto* each : buffers_) {
        source_bytes[each->source_] += each->is_pinned_ ? 0 : each->bytes_;
    }
    const auto order = [&](const buffer& candidate) {
        return std::pair{source_bytes[candidate.source_], candidate.bytes_};
    };
    buffer* chosen = nullptr;
    for (auto* each : buffers_) {
        const bool can_be_evicted = !each->is_pinned_ && each->bytes_ != 0;
        if (can_be_evicted && (chosen == nullptr || order(*each) > order(*chosen))) {
            chosen = each;
        }
    }
    return chosen;
}

void cw_buffer_budget::evict_until_within_limit() {
    while (bytes_ > limit_) {
        auto* const largest = next_to_evict();
        if (largest == nullptr) {
            return;
        }
        set_bytes(*largest, 0);
        largest->is_evicted_ = true;
        if (largest->evict_) {
            std::exchange(largest->evict_, nullptr)();
        }
    }
}
