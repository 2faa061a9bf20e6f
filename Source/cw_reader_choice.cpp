#include "cw_reader_choice.h"

#include <algorithm>
#include <utility>

cw_reader_choice::cw_reader_choice(std::string self, cw_reader_options options, std::uint64_t seed)
    : self_{std::move(self)},
      options_{options},
      engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

void cw_reader_choice::on_readers(const std::vector<std::string>& order) {
    if (!order.empty() && order != order_) {
        order_ = order;
        std::erase_if(suspected_, [&](const auto& item) {
            return std::find(order_.begin(), order_.end(), item.first) == order_.end();
        });
    }
}

void cw_reader_choice::on_word(const std::string& reader, const cw_reader_word& word,
                               cw_boot_time now) {
    if (!word.reads_store) {
        suspected_[reader] = {now + options_.settling, options_.settling};
    } else if (word.is_store_lost || word.store_age > options_.most_store_age) {
        suspected_[reader] = {now + options_.suspicion, options_.suspicion};
    } else {
        suspected_.erase(reader);
        own_turn_ = {};
    }
}

void cw_reader_choice::on_failure(const std::string& reader, cw_boot_time now) {
    suspected_[reader] = {now + options_.suspicion, options_.suspicion};
}

std::vector<std::string> cw_reader_choice::take_questions(cw_boot_time now) {
    std::vector<std::string> due;
    for (const auto& reader : order_) {
        const auto found = suspected_.find(reader);
        if (found != suspected_.end() && now >= found->second.next_question) {
            found->second.next_question = now + found->second.interval;
            due.push_back(reader);
        }
    }
    return due;
}

bool cw_reader_choice::is_named() const {
    return std::find(order_.begin(), order_.end(), self_) != order_.end();
}

cw_feed_source cw_reader_choice::source(cw_boot_time now) {
    using kind = cw_feed_source::kind;
    if (started_ == cw_boot_time{}) {
        started_ = now;
    }
    for (const auto& reader : order_) {
        if (reader == self_) {
            return {kind::store, {}};
        }
        if (!suspected_.contains(reader)) {
            return {kind::reader, reader};
        }
    }
    if (order_.empty()) {
        return {now < started_ + options_.gather ? kind::none : kind::store, {}};
    }
    if (own_turn_ == cw_boot_time{}) {
        const auto most = static_cast<std::uint64_t>(options_.spread.count());
        own_turn_ =
            now + std::chrono::milliseconds{static_cast<std::int64_t>(engine_() % (most + 1))};
    }
    return {now < own_turn_ ? kind::none : kind::store, {}};
}
