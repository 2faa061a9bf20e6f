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
    missing_.erase(entry.id);
    auto& known = entries_[entry.id];
    // An older life's last words may arrive after the new life's first.
    if (known.life > entry.life) {
        return false;
    }
    auto before = known;
    before.warm_at = entry.warm_at;
    known = entry;
    const auto said = leaving_.find(entry.id);
    known.leaving = known.leaving || (said != leaving_.end() && said->second >= entry.life);
    return before != known;
}

bool cw_upstream_directory::on_leaving(const std::string& id, std::uint64_t life) {
    auto& said = leaving_[id];
    said = std::max(said, life);
    const auto known = entries_.find(id);
    if (known == entries_.end() || known->second.life > life || known->second.leaving) {
        return false;
    }
    known->second.leaving = true;
    return true;
}

bool cw_upstream_directory::on_removed(const std::string& id, cw_boot_time now) {
    if (!entries_.contains(id)) {
        return false;
    }
    if (now < trusted_from_) {
        missing_.try_emplace(id, trusted_from_);
        return false;
    }
    missing_.erase(id);
    leaving_.erase(id);
    return entries_.erase(id) != 0;
}

void cw_upstream_directory::on_disturbance(cw_boot_time now) {
    trusted_from_ = now + return_time_;
    for (auto& [id, until] : missing_) {
        until = trusted_from_;
    }
}

bool cw_upstream_directory::on_tick(cw_boot_time now) {
    bool changed = false;
    for (auto place = missing_.begin(); place != missing_.end();) {
        if (now < place->second) {
            ++place;
            continue;
        }
        changed = entries_.erase(place->first) != 0 || changed;
        place = missing_.erase(place);
    }
    return changed;
}

const cw_upstream_entry* cw_upstream_directory::find(const std::string& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}
