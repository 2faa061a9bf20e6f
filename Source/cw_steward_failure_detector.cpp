#include "cw_steward_failure_detector.h"

#include <algorithm>

namespace {
/// Upper limit of the random delay that keeps hosts from claiming the stewardship at the same time
/// when they detect a failure together.
constexpr std::uint64_t max_claim_jitter_ms = 120;
} // namespace

cw_steward_failure_detector::cw_steward_failure_detector(const cw_steward_options& options,
                                                         std::uint64_t seed)
    : heartbeat_check_delay_{options.heartbeat_check_delay},
      heartbeat_timeout_{options.heartbeat_timeout},
      reclaim_delay_{options.reclaim_delay},
      claim_delay_{options.claim_delay},
      follower_claim_delay_{options.follower_claim_delay},
      follower_heartbeat_timeout_factor_{options.follower_heartbeat_timeout_factor},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

void cw_steward_failure_detector::reset(cw_boot_time now) {
    last_answer_ = now;
    is_refused_ = false;
    requests_successor_ = false;
    heartbeat_.reset();
}

void cw_steward_failure_detector::delay_first_claim(cw_boot_time now) {
    earliest_claim_ = std::max(earliest_claim_, now + claim_delay_);
}

void cw_steward_failure_detector::on_succeeded(cw_boot_time now) {
    earliest_claim_ = now + reclaim_delay_;
    last_answer_ = now;
}

void cw_steward_failure_detector::on_report_result(cw_report_result result, cw_boot_time now) {
    const bool is_new_reason =
        (result == cw_report_result::refused && !is_refused_) ||
        (result == cw_report_result::requests_successor && !requests_successor_);
    if (result == cw_report_result::answered || result == cw_report_result::requests_successor) {
        reset(now);
    }
    is_refused_ = is_refused_ || result == cw_report_result::refused;
    requests_successor_ = result == cw_report_result::requests_successor;
    if (is_new_reason) {
        const std::chrono::milliseconds jitter{
            static_cast<std::int64_t>(engine_() % max_claim_jitter_ms)};
        const auto claim_delay = is_reader_ ? claim_delay_ : follower_claim_delay_;
        earliest_claim_ = std::max(earliest_claim_, now + claim_delay + jitter);
    }
}

void cw_steward_failure_detector::on_heartbeat(std::uint64_t count, cw_boot_time now) {
    if (heartbeat_ != count) {
        heartbeat_ = count;
        heartbeat_changed_at_ = now;
    }
}

bool cw_steward_failure_detector::is_unresponsive(cw_boot_time now) const {
    return now > last_answer_ + heartbeat_check_delay_;
}

bool cw_steward_failure_detector::may_claim(bool is_vacant, cw_boot_time now) const {
    const auto timeout =
        is_reader_ ? heartbeat_timeout_ : heartbeat_timeout_ * follower_heartbeat_timeout_factor_;
    const bool has_timed_out = heartbeat_ && now > heartbeat_changed_at_ + timeout;
    return now >= earliest_claim_ && (is_vacant || is_refused_ || requests_successor_ ||
                                      (is_unresponsive(now) && has_timed_out));
}
