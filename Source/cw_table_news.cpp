#include "cw_table_news.h"

#include <algorithm>
#include <tuple>

void cw_table_news::on_table(std::shared_ptr<const cw_key_table> table) {
    if (!copies_.empty() && !table->is_after(*copies_.back().table)) {
        return;
    }
    const auto mark = cw_table_mark::of(*table);
    copies_.push_back({mark, std::move(table)});
    if (copies_.size() > most_copies) {
        copies_.pop_front();
    }
    texts_.clear();
}

const cw_table_news::words& cw_table_news::since(const cw_table_mark& known) {
    if (texts_.size() >= most_texts && !texts_.contains(known)) {
        texts_.clear();
    }
    const auto [place, is_new] = texts_.try_emplace(known);
    if (is_new) {
        place->second = make(known);
    }
    return place->second;
}

cw_table_news::words cw_table_news::make(const cw_table_mark& known) const {
    if (copies_.empty()) {
        return {};
    }
    const auto& latest = copies_.back();
    if (std::tie(known.term, known.edition) >= std::tie(latest.mark.term, latest.mark.edition)) {
        return {};
    }
    const auto found = std::find_if(copies_.begin(), copies_.end(),
                                    [&](const auto& item) { return item.mark == known; });
    if (found == copies_.end()) {
        return {true, latest.table->to_text()};
    }
    return {false, latest.table->changes_since(*found->table).to_text()};
}
