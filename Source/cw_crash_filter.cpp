#include "cw_crash_filter.h"

cw_time_point cw_crash_filter::refused_until(std::uint64_t fingerprint) const {
    const std::scoped_lock lock{mutex_};
    return tracker_.refused_until(fingerprint);
}

cw_time_point cw_crash_filter::keyed_refused_until(std::uint64_t fingerprint) const {
    const std::scoped_lock lock{mutex_};
    return tracker_.keyed_refused_until(fingerprint);
}

void cw_crash_filter::on_crash(std::uint64_t fingerprint, const std::string& address,
                               cw_time_point now) {
    {
        const std::scoped_lock lock{mutex_};
        if (!tracker_.on_crash(fingerprint, address, now)) {
            return;
        }
        has_suspects_.store(true, std::memory_order_relaxed);
    }
    report_(fingerprint, address, false);
}

void cw_crash_filter::on_answer(std::uint64_t fingerprint) {
    {
        const std::scoped_lock lock{mutex_};
        if (!tracker_.on_answer(fingerprint)) {
            return;
        }
        has_suspects_.store(!tracker_.empty(), std::memory_order_relaxed);
    }
    report_(fingerprint, "", true);
}

void cw_crash_filter::set_shared_counts(cw_crash_counts counts, cw_time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const auto& [fingerprint, count] : shared_counts_) {
        // A request is removed from the shared counts when it was answered or its retention time
        // is over.
        if (!counts.contains(fingerprint)) {
            tracker_.on_answer(fingerprint);
        }
    }
    for (const auto& [fingerprint, count] : counts) {
        tracker_.raise_count(fingerprint, count, now);
    }
    shared_counts_ = std::move(counts);
    tracker_.remove_expired(now);
    has_suspects_.store(!tracker_.empty(), std::memory_order_relaxed);
}
