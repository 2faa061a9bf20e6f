#include "cw_crash_tracker.h"

#include <algorithm>

cw_crash_tracker::entry& cw_crash_tracker::find_or_insert(std::uint64_t fingerprint) {
    if (entries_.size() >= max_entries && !entries_.contains(fingerprint)) {
        // The number of entries is bounded; the entry with the oldest crash is replaced.
        entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.last_crash < right.second.last_crash;
                                        }));
    }
    return entries_[fingerprint];
}

void cw_crash_tracker::record_crash_count(entry& item, std::uint32_t crash_count,
                                          cw_time_point now) const {
    item.last_crash = now;
    item.crash_count = crash_count;
    if (crash_count < options_.max_crashes) {
        return;
    }
    auto length = options_.initial_block_time;
    for (std::uint32_t i = 0; i < item.block_count && length < options_.max_block_time; ++i) {
        length *= 2;
    }
    item.blocked_until = now + std::min(length, options_.max_block_time);
    ++item.block_count;
}

bool cw_crash_tracker::on_crash(std::uint64_t fingerprint, const std::string& address,
                                cw_time_point now) {
    auto& item = find_or_insert(fingerprint);
    const auto last_crash = item.last_crash_by_address.find(address);
    if (last_crash != item.last_crash_by_address.end() &&
        now < last_crash->second + options_.duplicate_window) {
        return false;
    }
    item.last_crash_by_address[address] = now;
    record_crash_count(item, item.crash_count + 1, now);
    return true;
}

void cw_crash_tracker::raise_count(std::uint64_t fingerprint, std::uint32_t crash_count,
                                   cw_time_point now) {
    auto& item = find_or_insert(fingerprint);
    if (crash_count > item.crash_count) {
        record_crash_count(item, crash_count, now);
    }
}

cw_crash_counts cw_crash_tracker::counts() const {
    cw_crash_counts result;
    for (const auto& [fingerprint, item] : entries_) {
        result.emplace(fingerprint, item.crash_count);
    }
    return result;
}

bool cw_crash_tracker::on_answer(std::uint64_t fingerprint) {
    return entries_.erase(fingerprint) > 0;
}

cw_time_point cw_crash_tracker::refused_until(std::uint64_t fingerprint) const {
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? cw_time_point{} : found->second.blocked_until;
}

cw_time_point cw_crash_tracker::keyed_refused_until(std::uint64_t fingerprint) const {
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end()) {
        return {};
    }
    return std::max<cw_time_point>(found->second.blocked_until,
                                   found->second.last_crash + options_.keyed_block_time);
}

std::uint32_t cw_crash_tracker::crash_count(std::uint64_t fingerprint) const {
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crash_count;
}

void cw_crash_tracker::remove_expired(cw_time_point now) {
    std::erase_if(entries_, [&](const auto& item) {
        return now >= item.second.last_crash + options_.retention_time &&
               now >= item.second.blocked_until;
    });
}
