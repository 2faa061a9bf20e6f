#include "cw_crash_change_log.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace {
cw_crash_counts changes_between(const cw_crash_counts& before, const cw_crash_counts& after) {
    cw_crash_counts changes;
    for (const auto& [fingerprint, count] : after) {
        const auto known = before.find(fingerprint);
        if (known == before.end() || known->second != count) {
            changes.emplace(fingerprint, count);
        }
    }
    for (const auto& [fingerprint, count] : before) {
        if (!after.contains(fingerprint)) {
            changes.emplace(fingerprint, 0);
        }
    }
    return changes;
}
} // namespace

std::uint64_t cw_crash_change_log::digest_of(const cw_crash_counts& counts) {
    std::uint64_t hash = 0;
    for (const auto& [fingerprint, count] : counts) {
        const std::array<std::uint64_t, 2> numbers{fingerprint, count};
        hash = XXH3_64bits_withSeed(numbers.data(), sizeof numbers, hash);
    }
    return hash;
}

cw_crash_counts cw_crash_change_log::with_changes(cw_crash_counts known,
                                                  const cw_crash_counts& changes) {
    for (const auto& [fingerprint, count] : changes) {
        if (count == 0) {
            known.erase(fingerprint);
        } else {
            known[fingerprint] = count;
        }
    }
    return known;
}

void cw_crash_change_log::on_counts(std::shared_ptr<const cw_crash_counts> counts) {
    if (counts == latest_) {
        return;
    }
    auto changes = changes_between(*latest_, *counts);
    if (!changes.empty()) {
        changes_.push_back({digest_, std::move(changes)});
        digest_ = digest_of(*counts);
    }
    if (changes_.size() > max_changes) {
        changes_.pop_front();
    }
    latest_ = std::move(counts);
}

cw_crash_change_log::delta cw_crash_change_log::delta_since(std::uint64_t known) const {
    if (known == digest_) {
        return {};
    }
    // If the same counts occurred more than once, the latest occurrence gives the shortest delta.
    const auto found = std::find_if(changes_.rbegin(), changes_.rend(),
                                    [&](const change& item) { return item.base_digest == known; });
    if (found == changes_.rend()) {
        return {true, *latest_};
    }
    cw_crash_counts changes;
    for (auto it = found.base() - 1; it != changes_.end(); ++it) {
        for (const auto& [fingerprint, count] : it->changes) {
            changes[fingerprint] = count;
        }
    }
    return {false, std::move(changes)};
}
