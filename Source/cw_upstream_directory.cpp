#include "cw_upstream_directory.h"

#include <algorithm>
#include <set>

bool cw_upstream_directory::on_list(const std::vector<cw_upstream_entry>& entries,
                                    cw_boot_time now) {
    bool changed = false;
    std::set<std::string> present;
    for (const auto& entry : entries) {
        present.insert(entry.id);
        changed = on_entry(entry) || changed;
    }
    std::vector<std::string> absent;
    for (const auto& [id, entry] : entries_) {
        if (!present.contains(id)) {
            absent.push_back(id);
        }
    }
    for (const auto& id : absent) {
        changed = on_removed(id, now) || changed;
    }
    return changed;
}

bool cw_upstream_directory::on_entry(const cw_upstream_entry& entry) {
    pending_removals_.erase(entry.id);
    auto& stored_entry = entries_[entry.id];
    // An entry of an earlier incarnation may arrive after the first entry of the next one.
    if (stored_entry.incarnation > entry.incarnation) {
        return false;
    }
    const auto before = stored_entry;
    stored_entry = entry;
    const auto announced = leaving_incarnations_.find(entry.id);
    stored_entry.leaving = stored_entry.leaving || (announced != leaving_incarnations_.end() &&
                                                    announced->second >= entry.incarnation);
    const bool is_changed = stored_entry.differs_from(before);
    if (!is_changed) {
        // As in cw_upstream_replica: later entries are compared with what was passed on.
        stored_entry.warm_at = before.warm_at;
    }
    return is_changed;
}

bool cw_upstream_directory::on_leaving(const std::string& id, std::uint64_t incarnation) {
    auto& announced = leaving_incarnations_[id];
    announced = std::max(announced, incarnation);
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.incarnation > incarnation ||
        found->second.leaving) {
        return false;
    }
    found->second.leaving = true;
    return true;
}

bool cw_upstream_directory::on_removed(const std::string& id, cw_boot_time now) {
    if (!entries_.contains(id)) {
        return false;
    }
    if (now < removals_trusted_from_) {
        pending_removals_.try_emplace(id, removals_trusted_from_);
        return false;
    }
    pending_removals_.erase(id);
    leaving_incarnations_.erase(id);
    return entries_.erase(id) != 0;
}

void cw_upstream_directory::defer_removals(cw_boot_time now) {
    removals_trusted_from_ = now + recovery_time_;
    for (auto& [id, effective_at] : pending_removals_) {
        effective_at = removals_trusted_from_;
    }
}

bool cw_upstream_directory::on_tick(cw_boot_time now) {
    bool changed = false;
    for (auto pending = pending_removals_.begin(); pending != pending_removals_.end();) {
        if (now < pending->second) {
            ++pending;
            continue;
        }
        changed = entries_.erase(pending->first) != 0 || changed;
        pending = pending_removals_.erase(pending);
    }
    return changed;
}

const cw_upstream_entry* cw_upstream_directory::find(const std::string& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}
