#include "cw_crash_guard.h"

cw_time_point cw_crash_guard::refused_until(std::uint64_t fingerprint) const {
    const std::scoped_lock lock{mutex_};
    return ledger_.refused_until(fingerprint);
}

cw_time_point cw_crash_guard::keyed_refused_until(std::uint64_t fingerprint) const {
    const std::scoped_lock lock{mutex_};
    return ledger_.keyed_refused_until(fingerprint);
}

void cw_crash_guard::on_crash(std::uint64_t fingerprint, const std::string& address,
                              cw_time_point now) {
    {
        const std::scoped_lock lock{mutex_};
        if (!ledger_.on_crash(fingerprint, address, now)) {
            return;
        }
        marked_.store(true, std::memory_order_relaxed);
    }
    report_(fingerprint, address, false);
}

void cw_crash_guard::on_answer(std::uint64_t fingerprint) {
    {
        const std::scoped_lock lock{mutex_};
        if (!ledger_.on_answer(fingerprint)) {
            return;
        }
        marked_.store(!ledger_.empty(), std::memory_order_relaxed);
    }
    report_(fingerprint, "", true);
}

void cw_crash_guard::set_shared(cw_crash_marks crashes, cw_time_point now) {
    const std::scoped_lock lock{mutex_};
    for (const auto& [fingerprint, count] : shared_counts_) {
        // The keepers drop a request once it was answered, or after a long time.
        if (!crashes.contains(fingerprint)) {
            ledger_.on_answer(fingerprint);
        }
    }
    for (const auto& [fingerprint, count] : crashes) {
        ledger_.raise(fingerprint, count, now);
    }
    shared_counts_ = std::move(crashes);
    ledger_.on_tick(now);
    marked_.store(!ledger_.empty(), std::memory_order_relaxed);
}
