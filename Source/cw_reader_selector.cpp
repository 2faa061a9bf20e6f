#include "cw_reader_selector.h"

#include <algorithm>
#include <utility>

cw_reader_selector::cw_reader_selector(std::string self, cw_reader_selector_options options,
                                       std::uint64_t seed)
    : self_{std::move(self)},
      options_{options},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

void cw_reader_selector::on_readers(const std::vector<std::string>& readers) {
    if (!readers.empty() && readers != readers_) {
        readers_ = readers;
        std::erase_if(suspected_, [&](const auto& item) {
            return !is_self(item.first) && !is_named(item.first);
        });
    }
}

void cw_reader_selector::on_status(const std::string& reader, const cw_reader_status& status,
                                   cw_boot_time now) {
    const auto lag = std::max({status.store_age, status.entries_lag, status.config_lag});
    if (status.is_store_unreachable || (status.reads_store && lag > options_.max_lag)) {
        on_failure(reader, now);
    } else if (!status.reads_store) {
        suspected_[reader] = {now + options_.unready_check_interval,
                              options_.unready_check_interval};
    } else {
        suspected_.erase(reader);
        fallback_at_ = {};
    }
}

void cw_reader_selector::on_failure(const std::string& reader, cw_boot_time now) {
    suspected_[reader] = {now + options_.failed_check_interval, options_.failed_check_interval};
}

void cw_reader_selector::on_store_answer() {
    suspected_.erase(self_);
}

std::vector<std::string> cw_reader_selector::take_due_checks(cw_boot_time now) {
    std::vector<std::string> due_readers;
    for (auto& [reader, check] : suspected_) {
        // A request to a reader that is no longer named may still fail.
        if (now >= check.next_check && (is_self(reader) || is_named(reader))) {
            check.next_check = now + check.interval;
            due_readers.push_back(reader);
        }
    }
    return due_readers;
}

bool cw_reader_selector::is_named(const std::string& address) const {
    return std::find(readers_.begin(), readers_.end(), address) != readers_.end();
}

bool cw_reader_selector::is_reader() const {
    return is_named(self_);
}

cw_feed_source cw_reader_selector::source(cw_boot_time now) {
    using kind = cw_feed_source::kind;
    if (first_query_at_ == cw_boot_time{}) {
        first_query_at_ = now;
    }
    for (const auto& reader : readers_) {
        if (suspected_.contains(reader)) {
            continue;
        }
        return is_self(reader) ? cw_feed_source{kind::store, {}}
                               : cw_feed_source{kind::reader, reader};
    }
    if (readers_.empty()) {
        return {now < first_query_at_ + options_.startup_wait ? kind::none : kind::store, {}};
    }
    if (fallback_at_ == cw_boot_time{}) {
        const auto max_delay = static_cast<std::uint64_t>(options_.max_fallback_delay.count());
        fallback_at_ =
            now + std::chrono::milliseconds{static_cast<std::int64_t>(engine_() % (max_delay + 1))};
    }
    return {now < fallback_at_ ? kind::none : kind::store, {}};
}
