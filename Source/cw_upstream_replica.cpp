#include "cw_upstream_replica.h"

#include <algorithm>
#include <set>
#include <utility>

bool cw_upstream_replica::is_relevant_change(const cw_upstream_entry& entry) const {
    const auto known = entries_.find(entry.id);
    if (known == entries_.end()) {
        return true;
    }
    auto before = known->second;
    before.warm_at = entry.warm_at;
    return before != entry;
}

cw_upstream_delta cw_upstream_replica::apply(cw_upstream_delta update) {
    cw_upstream_delta delta;
    delta.revision = std::max(update.revision, revision_);
    if (update.revision < revision_) {
        return delta;
    }
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
        if (is_relevant_change(entry)) {
            entries_[entry.id] = entry;
            delta.written.push_back(std::move(entry));
        }
    }
    for (auto& id : update.removed) {
        if (entries_.erase(id) != 0) {
            delta.removed.push_back(std::move(id));
        }
    }
    if (revision_ == 0) {
        history_start_ = delta.revision;
    }
    revision_ = delta.revision;
    record(delta);
    return delta;
}

void cw_upstream_replica::record(const cw_upstream_delta& delta) {
    if (delta.is_empty()) {
        return;
    }
    change latest{delta.revision, delta.removed};
    for (const auto& entry : delta.written) {
        latest.ids.push_back(entry.id);
    }
    changes_.push_back(std::move(latest));
    if (changes_.size() > max_changes) {
        history_start_ = changes_.front().revision;
        changes_.pop_front();
    }
}

bool cw_upstream_replica::has_history_since(std::uint64_t known) const {
    return known >= history_start_ && known != 0;
}

bool cw_upstream_replica::has_changes_since(std::uint64_t known) const {
    if (revision_ == 0 || known > revision_) {
        return false;
    }
    return !has_history_since(known) || (!changes_.empty() && changes_.back().revision > known);
}

cw_upstream_delta cw_upstream_replica::delta_since(std::uint64_t known) const {
    cw_upstream_delta delta;
    delta.revision = revision_;
    if (!has_history_since(known)) {
        delta.is_full = true;
        for (const auto& [id, entry] : entries_) {
            delta.written.push_back(entry);
        }
        return delta;
    }
    std::set<std::string> changed;
    for (auto item = changes_.rbegin(); item != changes_.rend() && item->revision > known; ++item) {
        changed.insert(item->ids.begin(), item->ids.end());
    }
    for (const auto& id : changed) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            delta.removed.push_back(id);
        } else {
            delta.written.push_back(found->second);
        }
    }
    return delta;
}
