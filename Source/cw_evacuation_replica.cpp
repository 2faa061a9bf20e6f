#include "cw_evacuation_replica.h"

bool cw_evacuation_replica::apply(const cw_evacuation_set& received, cw_boot_time now) {
    if (received.position < position_) {
        return false;
    }
    const auto before = names_in_effect();
    const bool is_first = !position_.is_known();
    const bool is_new_era = !is_first && received.position.era > position_.era;
    if (is_new_era) {
        for (const auto& name : names_) {
            retained_.try_emplace(name, now);
        }
        for (auto& [name, until] : retained_) {
            until = now + recovery_time_;
        }
    }
    // Within an era the own time limits are the earlier ones, and renewing them with each set would
    // evacuate a domain again that has just returned.
    if (is_first || is_new_era) {
        for (const auto& name : received.retained) {
            retained_.try_emplace(name, now + recovery_time_);
        }
    }
    names_ = received.names;
    for (const auto& name : names_) {
        retained_.erase(name);
    }
    position_ = received.position;
    return names_in_effect() != before;
}

bool cw_evacuation_replica::apply(const cw_evacuation_change& change) {
    if (change.position < position_ || change.position.era != position_.era) {
        return false;
    }
    const auto names_before = names_;
    const auto before = names_in_effect();
    for (const auto& name : change.written) {
        names_.insert(name);
        retained_.erase(name);
    }
    for (const auto& name : change.removed) {
        names_.erase(name);
        // An operator has removed what was written again after the restore.
        retained_.erase(name);
    }
    if (names_ != names_before) {
        position_ = change.position;
    }
    return names_in_effect() != before;
}

bool cw_evacuation_replica::on_tick(cw_boot_time now) {
    return std::erase_if(retained_, [now](const auto& item) { return now >= item.second; }) != 0;
}

cw_evacuation_set cw_evacuation_replica::set() const {
    cw_evacuation_set made{names_, {}, position_};
    for (const auto& [name, until] : retained_) {
        made.retained.insert(name);
    }
    return made;
}

std::set<std::string> cw_evacuation_replica::names_in_effect() const {
    auto names = names_;
    for (const auto& [name, until] : retained_) {
        names.insert(name);
    }
    return names;
}
