#include "cw_entry_feed.h"

#include <algorithm>
#include <set>
#include <utility>

bool cw_entry_feed::is_news(const cw_upstream_entry& entry) const {
    const auto known = entries_.find(entry.id);
    if (known == entries_.end()) {
        return true;
    }
    auto before = known->second;
    before.warm_at = entry.warm_at;
    return before != entry;
}

cw_upstream_news cw_entry_feed::take(cw_upstream_news seen) {
    cw_upstream_news news;
    news.revision = std::max(seen.revision, revision_);
    if (seen.revision < revision_) {
        return news;
    }
    if (seen.is_whole) {
        std::set<std::string> present;
        for (const auto& entry : seen.written) {
            present.insert(entry.id);
        }
        for (const auto& [id, entry] : entries_) {
            if (!present.contains(id)) {
                seen.removed.push_back(id);
            }
        }
    }
    for (auto& entry : seen.written) {
        if (is_news(entry)) {
            entries_[entry.id] = entry;
            news.written.push_back(std::move(entry));
        }
    }
    for (auto& id : seen.removed) {
        if (entries_.erase(id) != 0) {
            news.removed.push_back(std::move(id));
        }
    }
    if (revision_ == 0) {
        remembered_from_ = news.revision;
    }
    revision_ = news.revision;
    remember(news);
    return news;
}

void cw_entry_feed::remember(const cw_upstream_news& news) {
    if (news.is_empty()) {
        return;
    }
    change latest{news.revision, news.removed};
    for (const auto& entry : news.written) {
        latest.ids.push_back(entry.id);
    }
    changes_.push_back(std::move(latest));
    if (changes_.size() > most_changes) {
        remembered_from_ = changes_.front().revision;
        changes_.pop_front();
    }
}

bool cw_entry_feed::remembers(std::uint64_t known) const {
    return known >= remembered_from_ && known != 0;
}

bool cw_entry_feed::has_news_since(std::uint64_t known) const {
    if (revision_ == 0 || known > revision_) {
        return false;
    }
    return !remembers(known) || (!changes_.empty() && changes_.back().revision > known);
}

cw_upstream_news cw_entry_feed::since(std::uint64_t known) const {
    cw_upstream_news news;
    news.revision = revision_;
    if (!remembers(known)) {
        news.is_whole = true;
        for (const auto& [id, entry] : entries_) {
            news.written.push_back(entry);
        }
        return news;
    }
    std::set<std::string> changed;
    for (auto item = changes_.rbegin(); item != changes_.rend() && item->revision > known; ++item) {
        changed.insert(item->ids.begin(), item->ids.end());
    }
    for (const auto& id : changed) {
        const auto found = entries_.find(id);
        if (found == entries_.end()) {
            news.removed.push_back(id);
        } else {
            news.written.push_back(found->second);
        }
    }
    return news;
}
