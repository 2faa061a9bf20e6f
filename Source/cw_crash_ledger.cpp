#include "cw_crash_ledger.h"

#include <algorithm>

cw_crash_ledger::entry& cw_crash_ledger::entry_of(std::uint64_t fingerprint) {
    if (entries_.size() >= most_entries && !entries_.contains(fingerprint)) {
        // Bounded against a flood of crashes; the one heard of least lately makes room.
        entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.last < right.second.last;
                                        }));
    }
    return entries_[fingerprint];
}

void cw_crash_ledger::count(entry& known, std::uint32_t crashes, cw_time_point now) const {
    known.last = now;
    known.crashes = crashes;
    if (crashes < options_.most_crashes) {
        return;
    }
    auto length = options_.block;
    for (std::uint32_t i = 0; i < known.blocks && length < options_.most_block; ++i) {
        length *= 2;
    }
    known.blocked_until = now + std::min(length, options_.most_block);
    ++known.blocks;
}

bool cw_crash_ledger::on_crash(std::uint64_t fingerprint, const std::string& address,
                               cw_time_point now) {
    auto& known = entry_of(fingerprint);
    const auto seen = known.addresses.find(address);
    if (seen != known.addresses.end() && now < seen->second + options_.same_crash) {
        return false;
    }
    known.addresses[address] = now;
    count(known, known.crashes + 1, now);
    return true;
}

void cw_crash_ledger::raise(std::uint64_t fingerprint, std::uint32_t crashes, cw_time_point now) {
    auto& known = entry_of(fingerprint);
    if (crashes > known.crashes) {
        count(known, crashes, now);
    }
}

cw_crash_marks cw_crash_ledger::all() const {
    cw_crash_marks result;
    for (const auto& [fingerprint, known] : entries_) {
        result.emplace(fingerprint, known.crashes);
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
                                   found->second.last + options_.owner_pause);
}

std::uint32_t cw_crash_ledger::crashes(std::uint64_t fingerprint) const {
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? 0 : found->second.crashes;
}

void cw_crash_ledger::on_tick(cw_time_point now) {
    std::erase_if(entries_, [&](const auto& item) {
        return now >= item.second.last + options_.memory && now >= item.second.blocked_until;
    });
}
