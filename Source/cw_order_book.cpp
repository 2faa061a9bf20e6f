#include "cw_order_book.h"

#include <algorithm>
#include <utility>

namespace {
/// Grants in a row that must fail before an upstream is given up.
constexpr std::uint32_t least_failures = 3;
/// Orders that may be under way to one upstream.
constexpr std::ptrdiff_t most_orders = 8;
} // namespace

void cw_order_book::add(cw_key_order& order) {
    order.number = next_number_++;
    orders_.emplace(order.number, order);
}

std::optional<cw_key_order> cw_order_book::end(const cw_order_ended& event, cw_boot_time now) {
    const auto found = orders_.find(event.number);
    if (found == orders_.end()) {
        return std::nullopt;
    }
    auto order = std::move(found->second);
    orders_.erase(found);
    if (event.result == cw_order_result::other_upstream) {
        auto& ended = ended_lives_[order.upstream.id];
        ended = std::max(ended, order.upstream.incarnation);
    }
    // A release is answered only when work has ended, so its silence says nothing.
    if (order.what != cw_key_order::kind::release) {
        auto& upstream = upstreams_[order.upstream.id];
        if (event.result == cw_order_result::done || event.result == cw_order_result::fenced) {
            upstream.last_answer = now;
            upstream.failures = 0;
        } else {
            upstream.next_probe = now + second_chance_;
            upstream.tried_life = std::max(upstream.tried_life, order.upstream.incarnation);
            ++upstream.failures;
        }
    }
    return order;
}

bool cw_order_book::is_granting(const cw_key_range& range, const cw_key_owner& owner) const {
    return std::any_of(orders_.begin(), orders_.end(), [&](const auto& item) {
        const auto& order = item.second;
        return order.what == cw_key_order::kind::grant && order.upstream == owner &&
               cw_overlap(range, order);
    });
}

bool cw_order_book::is_busy(const cw_key_owner& upstream) const {
    return std::count_if(orders_.begin(), orders_.end(), [&](const auto& item) {
               return item.second.upstream == upstream;
           }) >= most_orders;
}

bool cw_order_book::is_silent(const std::string& id, cw_boot_time now) const {
    const auto known = upstreams_.find(id);
    return known != upstreams_.end() && known->second.failures >= least_failures &&
           now > known->second.last_answer + silence_;
}

bool cw_order_book::take_probe(const cw_key_owner& upstream, cw_boot_time now) {
    if (!is_silent(upstream.id, now)) {
        return false;
    }
    auto& state = upstreams_[upstream.id];
    const bool is_reborn = upstream.incarnation > state.tried_life;
    if (now < state.next_probe && !is_reborn) {
        return false;
    }
    state.next_probe = now + second_chance_;
    state.tried_life = upstream.incarnation;
    return true;
}

bool cw_order_book::is_replaced(const cw_key_owner& upstream) const {
    const auto ended = ended_lives_.find(upstream.id);
    return ended != ended_lives_.end() && ended->second >= upstream.incarnation;
}
