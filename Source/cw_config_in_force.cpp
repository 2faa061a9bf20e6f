#include "cw_config_in_force.h"

#include "cw_replication_lag.h"

#include <algorithm>
#include <iterator>
#include <utility>

void cw_config_in_force::on_known(const cw_known_config& known, cw_boot_time now) {
    note_peak(now);
    known_ = known;
    told_at_ = now;
    auto& received =
        received_.try_emplace(known.received_version, received_config{{}, now}).first->second;
    received.latest_as_of = known.current_as_of;
}

void cw_config_in_force::on_in_force(std::uint64_t version, cw_boot_time now) {
    if (version == version_) {
        return;
    }
    note_peak(now);
    version_ = version;
    const auto after = received_.upper_bound(version);
    if (after != received_.begin()) {
        received_.erase(received_.begin(), std::prev(after));
    }
}

std::optional<std::chrono::milliseconds>
cw_config_in_force::time_since_received(cw_boot_time now) const {
    const auto found = received_.find(version_);
    if (found == received_.end()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - found->second.received_at);
}

bool cw_config_in_force::is_outdated(milliseconds bound, cw_boot_time now) const {
    return version_ < known_.version || may_be_older_than(bound, now);
}

bool cw_config_in_force::is_overdue(milliseconds bound, cw_boot_time now) const {
    // A feed that is cut off tells of that; one that tells nothing is late itself.
    if (told_at_ && now - *told_at_ > bound) {
        return true;
    }
    const bool must_be_in_force = version_ < known_.received_version ||
                                  (version_ < known_.version && known_.are_sources_answering);
    return must_be_in_force && may_be_older_than(bound, now);
}

std::chrono::milliseconds cw_config_in_force::take_peak_lag(cw_boot_time now) {
    return std::max(std::exchange(peak_, milliseconds{0}), lag(now));
}

const cw_config_in_force::received_config* cw_config_in_force::find_in_force() const {
    const auto after = received_.upper_bound(version_);
    return after == received_.begin() ? nullptr : &std::prev(after)->second;
}

bool cw_config_in_force::may_be_older_than(milliseconds bound, cw_boot_time now) const {
    const auto* in_force = find_in_force();
    return in_force != nullptr && now - in_force->latest_as_of > bound;
}

std::chrono::milliseconds cw_config_in_force::lag(cw_boot_time now) const {
    const auto* in_force = find_in_force();
    if (in_force == nullptr || in_force->latest_as_of == cw_boot_time{}) {
        return cw_replication_lag::unknown;
    }
    return std::clamp(std::chrono::duration_cast<milliseconds>(now - in_force->latest_as_of),
                      milliseconds{0}, cw_replication_lag::unknown);
}

void cw_config_in_force::note_peak(cw_boot_time now) {
    const auto current = lag(now);
    if (current != cw_replication_lag::unknown) {
        peak_ = std::max(peak_, current);
    }
}
