#include "cw_steward_suspicion.h"

#include <algorithm>

namespace {
/// Hosts that lose their steward together do not claim together.
constexpr std::uint64_t most_claim_delay_ms = 120;
} // namespace

cw_steward_suspicion::cw_steward_suspicion(const cw_steward_options& options, std::uint64_t seed)
    : patience_{options.patience},
      still_{options.still},
      reclaim_{options.reclaim},
      claim_delay_{options.claim_delay},
      follower_claim_delay_{options.follower_claim_delay},
      follower_still_factor_{options.follower_still_factor},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

void cw_steward_suspicion::reset(cw_boot_time now) {
    contact_ = now;
    refused_ = false;
    sought_ = false;
    beat_.reset();
}

void cw_steward_suspicion::wait_for_others(cw_boot_time now) {
    claim_from_ = std::max(claim_from_, now + claim_delay_);
}

void cw_steward_suspicion::on_succeeded(cw_boot_time now) {
    claim_from_ = now + reclaim_;
    contact_ = now;
}

void cw_steward_suspicion::on_contact(cw_contact contact, cw_boot_time now) {
    const bool may_follow = (contact == cw_contact::refused && !refused_) ||
                            (contact == cw_contact::seeks_successor && !sought_);
    if (contact == cw_contact::heard || contact == cw_contact::seeks_successor) {
        reset(now);
    }
    refused_ = refused_ || contact == cw_contact::refused;
    sought_ = contact == cw_contact::seeks_successor;
    if (may_follow) {
        const std::chrono::milliseconds delay{
            static_cast<std::int64_t>(engine_() % most_claim_delay_ms)};
        const auto turn = is_reader_ ? claim_delay_ : follower_claim_delay_;
        claim_from_ = std::max(claim_from_, now + turn + delay);
    }
}

void cw_steward_suspicion::on_beat(std::uint64_t count, cw_boot_time now) {
    if (beat_ != count) {
        beat_ = count;
        still_since_ = now;
    }
}

bool cw_steward_suspicion::is_silent(cw_boot_time now) const {
    return now > contact_ + patience_;
}

bool cw_steward_suspicion::may_claim(bool is_vacant, cw_boot_time now) const {
    const auto still = is_reader_ ? still_ : still_ * follower_still_factor_;
    const bool stands_still = beat_ && now > still_since_ + still;
    return now >= claim_from_ &&
           (is_vacant || refused_ || sought_ || (is_silent(now) && stands_still));
}
