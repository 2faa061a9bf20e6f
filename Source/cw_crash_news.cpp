#include "cw_crash_news.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace {
cw_crash_marks changes_between(const cw_crash_marks& before, const cw_crash_marks& after) {
    cw_crash_marks changes;
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

std::uint64_t cw_crash_news::digest_of(const cw_crash_marks& marks) {
    std::uint64_t sum = 0;
    for (const auto& [fingerprint, count] : marks) {
        const std::array<std::uint64_t, 2> numbers{fingerprint, count};
        sum = XXH3_64bits_withSeed(numbers.data(), sizeof numbers, sum);
    }
    return sum;
}

cw_crash_marks cw_crash_news::with_changes(cw_crash_marks known, const cw_crash_marks& changes) {
    for (const auto& [fingerprint, count] : changes) {
        if (count == 0) {
            known.erase(fingerprint);
        } else {
            known[fingerprint] = count;
        }
    }
    return known;
}

void cw_crash_news::on_marks(std::shared_ptr<const cw_crash_marks> marks) {
    if (marks == latest_) {
        return;
    }
    auto changes = changes_between(*latest_, *marks);
    if (!changes.empty()) {
        steps_.push_back({digest_, std::move(changes)});
        digest_ = digest_of(*marks);
    }
    if (steps_.size() > most_steps) {
        steps_.pop_front();
    }
    latest_ = std::move(marks);
}

cw_crash_news::words cw_crash_news::since(std::uint64_t known) const {
    if (known == digest_) {
        return {};
    }
    // The last of several alike sets has the fewest changes behind it.
    const auto found = std::find_if(steps_.rbegin(), steps_.rend(),
                                    [&](const step& item) { return item.before == known; });
    if (found == steps_.rend()) {
        return {true, *latest_};
    }
    cw_crash_marks changes;
    for (auto place = found.base() - 1; place != steps_.end(); ++place) {
        for (const auto& [fingerprint, count] : place->changes) {
            changes[fingerprint] = count;
        }
    }
    return {false, std::move(changes)};
}
