#include "cw_predecessors.h"

#include <algorithm>

namespace {
using namespace std::chrono_literals;
/// Allowance for orders that a predecessor had sent when it ended.
constexpr auto in_flight = 200ms;
} // namespace

cw_predecessors::cw_predecessors(const cw_steward_options& options, std::string self)
    : longest_hold_{options.longest_hold()},
      retry_{options.succession_retry},
      self_{std::move(self)} {}

void cw_predecessors::on_process(const std::string& host, std::uint64_t incarnation) {
    auto& known = incarnations_[host];
    known = std::max(known, incarnation);
}

void cw_predecessors::on_gave_way(const cw_steward_id& earlier) {
    gave_way_.emplace(earlier.host, earlier.incarnation);
}

std::chrono::milliseconds cw_predecessors::begin(const std::vector<cw_steward_id>& earlier,
                                                 const cw_steward_options& options,
                                                 cw_boot_time now) {
    // What was said to an earlier term of this host says nothing about this one.
    gave_way_.clear();
    next_word_ = {};
    // The tenure is counted by the predecessor's clock.
    const auto tenure = earlier.empty() ? 0ms : options.tenure * 21 / 20;
    const auto wait = tenure + longest_hold_ + in_flight;
    end_ = now + wait;
    return wait;
}

bool cw_predecessors::drop_ended(std::vector<cw_steward_id>& earlier, cw_boot_time now) {
    if (earlier.empty()) {
        return false;
    }
    std::erase_if(earlier, [&](const cw_steward_id& who) {
        return is_replaced(who) || gave_way_.contains({who.host, who.incarnation});
    });
    if (earlier.empty()) {
        end_ = std::min(end_, now + longest_hold_ + in_flight);
        return true;
    }
    if (now > end_) {
        earlier.clear();
    }
    return false;
}

std::vector<cw_steward_id> cw_predecessors::take_untold(const std::vector<cw_steward_id>& earlier,
                                                        cw_boot_time now) {
    if (earlier.empty() || now < next_word_) {
        return {};
    }
    next_word_ = now + retry_;
    return earlier;
}

bool cw_predecessors::is_replaced(const cw_steward_id& earlier) const {
    const auto known = incarnations_.find(earlier.host);
    return earlier.host == self_ ||
           (known != incarnations_.end() && known->second > earlier.incarnation);
}
