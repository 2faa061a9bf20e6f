#include "cw_feed_call.h"

#include <algorithm>

cw_call_deadlines cw_feed_call::deadlines(milliseconds grace) const {
    const auto now = std::chrono::steady_clock::now();
    return {now + wait_ + std::min(cw_feed_times::first_byte_grace, grace), now + wait_ + grace};
}

cw_call_deadlines cw_feed_call::lagging_read_deadlines(milliseconds timeout) {
    const auto now = std::chrono::steady_clock::now();
    return {now + cw_feed_times::lagging_read_first_byte, now + timeout};
}

cw_boot_time cw_feed_call::current_as_of(bool has_change) const {
    return has_change || cw_boot_clock::now() - sent_at_ < wait_ ? sent_at_ : sent_at_ + wait_;
}

cw_lag_read_result cw_feed_call::result_of_failure(const cw_error& error) const {
    // The store, or its host, has refused a call that fails at once.
    const bool has_failed_at_once =
        cw_boot_clock::now() - sent_at_ < cw_feed_times::lagging_read_first_byte;
    return error.is_refusal || has_failed_at_once ? cw_lag_read_result::refused
                                                  : cw_lag_read_result::unanswered;
}
