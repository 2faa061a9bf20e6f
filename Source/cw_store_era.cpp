#include "cw_store_era.h"

#include "cw_key_table.h"

#include <algorithm>

namespace {

/// More than the fences that can be assigned in the time that one older copy of the store lacks.
constexpr std::uint64_t max_lost_fences = 1'000'000;
/// Eras that a table can have missed at most, and eras at most whose number counts, so that fences
/// stay below 2^53.
constexpr std::uint64_t max_missed_eras = 1'000;
constexpr std::uint64_t max_counted_eras = 4'000'000'000;
/// Number of the first era, in which a missing table is that of a new service.
constexpr std::uint64_t first_era = 1;

} // namespace

void cw_store_era::on_named(std::uint64_t era, cw_boot_time now) {
    if (era > number_) {
        number_ = era;
        seen_at_ = now;
    }
}

bool cw_store_era::may_lack_moves(const cw_key_table& table, cw_boot_time now,
                                  std::chrono::milliseconds longest_grant_time) const {
    if (table.term == cw_term{}) {
        return number_ > first_era && now <= seen_at_ + longest_grant_time;
    }
    return table.names_era && table.term.era < number_;
}

void cw_store_era::skip_lost_fences(cw_key_table& table) const {
    if (table.term.era >= number_) {
        return;
    }
    const auto missed_eras = std::min(number_ - table.term.era, max_missed_eras);
    // An empty table has no fence from which to continue: what the store has lost began in an
    // earlier era, and so below the first fence of this one.
    const auto first_fence = std::min(number_, max_counted_eras) * max_lost_fences;
    table.last_fence = std::max(table.last_fence + missed_eras * max_lost_fences, first_fence);
}
