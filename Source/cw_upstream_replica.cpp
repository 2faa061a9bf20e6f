#include "cw_upstream_replica.h"

#include <algorithm>
#include <set>
#include <utility>

bool cw_upstream_replica::is_relevant_change(const cw_upstream_entry& entry) const {
    const auto known = entries_.find(entry.id);
    return known == entries_.end() || entry.differs_from(known->second);
}

cw_upstream_delta cw_upstream_replica::apply(cw_upstream_delta update) {
    cw_upstream_delta delta;
    delta.position = position_;
    const bool is_new_base = update.position.era != position_.era || !position_.is_known();
    if (update.position < position_ || (is_new_base && !update.is_full && position_.is_known())) {
        return delta;
    }
    delta.position = update.position;
    if (update.is_full) {
        std::set<std::string> listed_ids;
        for (const auto& entry : update.written) {
            listed_ids.insert(entry.id);
        }
        for (const auto& [id, entry] : entries_) {
            if (!listed_ids.contains(id)) {
                update.removed.push_back(id);
            }
        }
    }
    for (auto& entry : update.written) {
        // Changes come in the order of their writes; only a list can hold entries of before.
        if (update.is_full && is_outdated(entry)) {
            continue;
        }
        const bool is_relevant = is_relevant_change(entry);
        auto& known = entries_[entry.id];
        const auto passed_on_warm_at = known.warm_at;
        known = entry;
        if (!is_relevant) {
            // Later entries are compared with what was passed on. Otherwise a warm-up that each
            // heartbeat extends a little would never count as a change.
            known.warm_at = passed_on_warm_at;
        }
        if (is_relevant) {
            delta.written.push_back(std::move(entry));
        }
    }
    for (auto& id : update.removed) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            continue;
        }
        const auto received = update.removed_stamps.find(id);
        const auto known = cw_entry_stamp::of(found->second);
        remember_removed(id, received == update.removed_stamps.end()
                                 ? known
                                 : std::max(known, received->second));
        entries_.erase(found);
        delta.removed.push_back(std::move(id));
    }
    if (is_new_base) {
        changes_.clear();
        history_start_ = delta.position;
    }
    position_ = delta.position;
    record(delta);
    return delta;
}

bool cw_upstream_replica::is_outdated(const cw_upstream_entry& entry) const {
    const auto stamp = cw_entry_stamp::of(entry);
    const auto known = entries_.find(entry.id);
    if (known != entries_.end() && stamp.is_older_than(cw_entry_stamp::of(known->second))) {
        return true;
    }
    const auto removed = removed_.find(entry.id);
    return removed != removed_.end() && stamp.is_ordered() && stamp <= removed->second;
}

void cw_upstream_replica::remember_removed(const std::string& id, cw_entry_stamp stamp) {
    const auto [position, is_new] = removed_.insert_or_assign(id, stamp);
    if (is_new) {
        removed_order_.push_back(id);
    }
    if (removed_order_.size() > max_removed) {
        removed_.erase(removed_order_.front());
        removed_order_.pop_front();
    }
}

void cw_upstream_replica::record(const cw_upstream_delta& delta) {
    if (delta.is_empty()) {
        return;
    }
    change latest{delta.position, delta.removed};
    for (const auto& entry : delta.written) {
        latest.ids.push_back(entry.id);
    }
    changes_.push_back(std::move(latest));
    if (changes_.size() > max_changes) {
        history_start_ = changes_.front().position;
        changes_.pop_front();
    }
}

bool cw_upstream_replica::has_history_since(cw_store_position known) const {
    return known.is_known() && known >= history_start_;
}

bool cw_upstream_replica::has_changes_since(cw_store_position known) const {
    if (!position_.is_known() || known > position_) {
        return false;
    }
    return !has_history_since(known) || (!changes_.empty() && changes_.back().position > known);
}

cw_upstream_delta cw_upstream_replica::delta_since(cw_store_position known) const {
    cw_upstream_delta delta;
    delta.position = position_;
    if (!has_history_since(known)) {
        delta.is_full = true;
        for (const auto& [id, entry] : entries_) {
            delta.written.push_back(entry);
        }
        return delta;
    }
    std::set<std::string> changed;
    for (auto item = changes_.rbegin(); item != changes_.rend() && item->position > known; ++item) {
        changed.insert(item->ids.begin(), item->ids.end());
    }
    for (const auto& id : changed) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            delta.removed.push_back(id);
            const auto removed = removed_.find(id);
            if (removed != removed_.end()) {
                delta.removed_stamps.insert(*removed);
            }
        } else {
            delta.written.push_back(found->second);
        }
    }
    return delta;
}
