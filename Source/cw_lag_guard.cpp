#include "cw_lag_guard.h"

cw_lag_guard::cw_lag_guard(cw_lag_guard_options options, std::uint64_t seed)
    : options_{options},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {
    draw_limit();
}

void cw_lag_guard::draw_limit() {
    const auto spread = static_cast<std::uint64_t>(options_.max_spread.count()) + 1;
    limit_ =
        options_.max_lag + std::chrono::milliseconds{static_cast<std::int64_t>(engine_() % spread)};
}

bool cw_lag_guard::take_due_read(std::chrono::milliseconds lag, cw_boot_time now) {
    if (is_reading_ || lag < limit_ || now < next_read_at_) {
        return false;
    }
    is_reading_ = true;
    return true;
}

void cw_lag_guard::on_read_ended(cw_lag_read_result result, cw_boot_time now) {
    is_reading_ = false;
    next_read_at_ =
        now + (result == cw_lag_read_result::unanswered ? options_.unanswered_retry_interval
                                                        : options_.retry_interval);
    draw_limit();
}
