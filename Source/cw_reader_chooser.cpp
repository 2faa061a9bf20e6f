#include "cw_reader_chooser.h"

#include <utility>

bool cw_reader_chooser::is_due(cw_boot_time now) {
    if (next_choice_at_ == cw_boot_time{}) {
        next_choice_at_ = now + options_.selection_delay;
        have_hosts_changed_ = true;
    }
    return have_hosts_changed_ && now >= next_choice_at_;
}

bool cw_reader_chooser::choose(const cw_hosts_by_name& hosts, cw_boot_time now) {
    have_hosts_changed_ = false;
    auto readers = cw_rank_readers(hosts, readers_);
    if (readers == readers_) {
        return false;
    }
    readers_ = std::move(readers);
    next_choice_at_ = now + options_.change_interval;
    return true;
}

bool cw_reader_chooser::stop() {
    next_choice_at_ = {};
    return !std::exchange(readers_, {}).empty();
}
