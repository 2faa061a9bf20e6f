#include "cw_predecessors.h"

#include <algorithm>

namespace {
using namespace std::chrono_literals;
/// Allowance for a command's way, and for a processor share that ends just before it is written.
constexpr auto message_delay = 100ms;
} // namespace

cw_predecessors::cw_predecessors(const cw_steward_options& options, std::string self)
    : max_lease_{options.max_lease(options.lease)},
      in_flight_allowance_{options.max_send_delay + message_delay},
      notice_interval_{options.succession_retry_interval},
      self_host_{std::move(self)} {}

void cw_predecessors::on_host_process(const std::string& host, std::uint64_t incarnation) {
    auto& known = incarnations_[host];
    known = std::max(known, incarnation);
}

void cw_predecessors::on_succession_ack(const cw_steward_id& steward) {
    acknowledged_.emplace(steward.host, steward.incarnation);
}

std::chrono::milliseconds
cw_predecessors::on_takeover(const std::vector<cw_steward_id>& predecessors,
                             const cw_steward_options& options, cw_boot_time now) {
    // An acknowledgement of an earlier term of this host does not hold for the present one.
    acknowledged_.clear();
    next_notice_ = {};
    const auto wait = predecessors.empty() ? max_proved_wait() : max_unproved_wait(options);
    grants_end_ = now + wait;
    return wait;
}

void cw_predecessors::on_store_restored(const cw_steward_options& options, cw_boot_time now) {
    grants_end_ = std::max(grants_end_, now + max_unproved_wait(options));
}

std::chrono::milliseconds cw_predecessors::max_proved_wait() const {
    return max_lease_ + in_flight_allowance_;
}

std::chrono::milliseconds
cw_predecessors::max_unproved_wait(const cw_steward_options& options) const {
    // The predecessor counts the tenure by its own clock; the factor allows for an error of 5%.
    return options.tenure * 21 / 20 + max_proved_wait();
}

bool cw_predecessors::drop_ended(std::vector<cw_steward_id>& predecessors, cw_boot_time now) {
    if (predecessors.empty()) {
        return false;
    }
    std::erase_if(predecessors, [&](const cw_steward_id& steward) {
        return is_replaced(steward) || has_acknowledged(steward);
    });
    if (predecessors.empty()) {
        grants_end_ = std::min(grants_end_, now + max_proved_wait());
        return true;
    }
    if (now > grants_end_) {
        predecessors.clear();
    }
    return false;
}

std::vector<cw_steward_id>
cw_predecessors::take_unnotified(const std::vector<cw_steward_id>& predecessors, cw_boot_time now) {
    if (predecessors.empty() || now < next_notice_) {
        return {};
    }
    next_notice_ = now + notice_interval_;
    auto known = predecessors;
    std::erase_if(known, [](const cw_steward_id& steward) { return steward.is_unknown(); });
    return known;
}

bool cw_predecessors::has_acknowledged(const cw_steward_id& steward) const {
    return acknowledged_.contains({steward.host, steward.incarnation});
}

bool cw_predecessors::is_replaced(const cw_steward_id& steward) const {
    const auto known = incarnations_.find(steward.host);
    return steward.host == self_host_ ||
           (known != incarnations_.end() && known->second > steward.incarnation);
}
