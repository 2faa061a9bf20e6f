#include "cw_crash_ledger.h"

#include <algorithm>

cw_crash_ledger::entry& cw_crash_ledger::find_or_insert(std::uint64_t fingerprint) {
    if (entries_.size() >= max_entries && !entries_.contains(fingerprint)) {
        // Bounded against a flood of crashes; the one heard of least lately makes room.
        entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.last_crash < right.second.last_crash;
                                        }));
    }
    return entries_[fingerprint];
}

void cw_crash_ledger::record_crash_count(entry& item, std::uint32_t crashes,
                                         cw_time_point now) const {
    item.last_crash = now;
    item.crashes = crashes;
    if (crashes < options_.most_crashes) {
        return;
    }
    auto length = options_.block;
    for (std::uint32_t i = 0; i < item.block_count && length < options_.most_block; ++i) {
        length *= 2;
    }
    item.blocked_until = now + std::min(length, options_.most_block);
    ++item.block_count;
}

bool cw_crash_ledger::on_crash(std::uint64_t fingerprint, const std::string& address,
                               cw_time_point now) {
    auto& item = find_or_insert(fingerprint);
    const auto seen = item.last_crash_by_address.find(address);
    if (seen != item.last_crash_by_address.end() && now < seen->second + options_.same_crash) {
        return false;
    }
    item.last_crash_by_address[address] = now;
    record_crash_count(item, item.crashes + 1, now);
    return true;
}

void cw_crash_ledger::raise(std::uint64_t fingerprint, std::uint32_t crashes, cw_time_point now) {
    auto& item = find_or_insert(fingerprint);
    if (crashes > item.crashes) {
        record_crash_count(item, crashes, now);
    }
}

cw_crash_marks cw_crash_ledger::all() const {
    cw_crash_marks result;
    for (const auto& [fingerprint, item] : entries_) {
        result.emplace(fingerprint, item.crashes);
    }
    return result;
}

bool cw_crash_ledger::on_answer(std::uint64_t fingerprint) {
    return entries_.erase(fingerprint) > 0;
}

cw_time_point cw_crash_ledger::refused_until(std::uint64_t fingerprint) const {
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? cw_time_point{} : found->second.blocked_until;
}

cw_time_point cw_crash_ledger::keyed_refused_until(std::uint64_t fingerprint) const {
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end()) {
        return {};
    }
    return std::max<cw_time_point>(found->second.blocked_until,
                                   found->second.last_crash + options_.owner_pause);
}

std::uint32_t cw_crash_ledger::crashes(std::uint64_t fingerprint) const {
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crashes;
}

void cw_crash_ledger::on_tick(cw_time_point now) {
    std::erase_if(entries_, [&](const auto& item) {
        return now >= item.second.last_crash + options_.memory && now >= item.second.blocked_until;
    });
}
