#include "cw_upstream_selection.h"

#include "cw_call_watch.h"
#include "cw_gateway_exchange.h"
#include "cw_gateway_traffic.h"
#include "cw_upstream_picker.h"

#include <algorithm>

namespace net = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Longest wait for the owner of a key that is moving, as a part of the time that is left.
constexpr int most_move_wait_part = 3;
constexpr milliseconds return_after_move{250};
/// Part of a route's target time within which an expected answer is good enough: a half.
constexpr int good_part = 1;
constexpr int whole_part = 2;
constexpr const char* owner_sheds = "the owner closes connections on requests";

cw_time_point now() {
    return std::chrono::steady_clock::now();
}

/// Time left until the moment; 0 when it has passed.
milliseconds time_until(cw_boot_time moment) {
    return std::max(milliseconds{0},
                    std::chrono::ceil<milliseconds>(moment - cw_boot_clock::now()));
}

} // namespace

net::awaitable<bool> cw_upstream_selection::choose(cw_gateway_exchange& current) {
    current.view = traffic_.view();
    const auto service = current.config->services().find(current.service);
    if (service == current.config->services().end()) {
        current.reason = "the service is not configured";
        co_return false;
    }
    if (service->second.keyed) {
        if (!current.facts.key || *current.facts.key > cw_last_key) {
            current.reason = "the request names no key";
            co_return false;
        }
        if (!co_await find_owner(current)) {
            co_return false;
        }
    } else if (!pick(current)) {
        co_return false;
    }
    co_return fits(current);
}

bool cw_upstream_selection::pick(cw_gateway_exchange& current) {
    const auto pool = current.view->upstreams->find(current.service);
    const cw_pick_wish wish{traffic_.domain(), current.route->target * good_part / whole_part,
                            &current.tried, traffic_.draw()};
    const auto* chosen =
        pool == current.view->upstreams->end()
            ? nullptr
            : cw_pick_upstream(
                  pool->second,
                  wish, [this](const auto& entry) -> const auto& { return traffic_.meter(entry); },
                  cw_boot_clock::now());
    if (chosen == nullptr) {
        current.reason = "the service has no other upstream";
        if (pool != current.view->upstreams->end()) {
            come_back_after_pause(current, pool->second);
        }
        return false;
    }
    current.upstream = *chosen;
    return true;
}

const cw_upstream_entry* cw_upstream_selection::owner_of(cw_gateway_exchange& current) {
    current.view = traffic_.view();
    const auto table = current.view->tables.find(current.service);
    if (table == current.view->tables.end()) {
        return nullptr;
    }
    const auto& range = table->second->range_of(*current.facts.key);
    const bool refused = current.refused_fence != 0 && current.refused_fence == range.fence;
    const auto pool = current.view->upstreams->find(current.service);
    if (range.is_moving() || refused || pool == current.view->upstreams->end()) {
        return nullptr;
    }
    const auto found =
        std::find_if(pool->second.begin(), pool->second.end(), [&](const auto& entry) {
            return entry.id == range.owner.id && entry.incarnation == range.owner.incarnation;
        });
    if (found == pool->second.end()) {
        return nullptr;
    }
    current.fence = range.fence;
    return &*found;
}

net::awaitable<bool> cw_upstream_selection::find_owner(cw_gateway_exchange& current) {
    const auto until = now() + (current.deadline - now()) / most_move_wait_part;
    while (true) {
        const auto* owner = owner_of(current);
        const auto hold_off = owner == nullptr ? milliseconds{0} : hold_off_of(*owner);
        // What may have run cannot be refused any more, so it waits for its next attempt here.
        const bool waits = current.state.may_have_run && hold_off.count() > 0;
        if (owner != nullptr && !waits) {
            current.upstream = *owner;
            if (current.sent == 0) {
                traffic_.count_key(current.service, *current.facts.key);
            }
            co_return true;
        }
        if (now() >= until || watch_.has_caller_left()) {
            current.reason = waits ? owner_sheds : "the key has no settled owner";
            current.come_back = return_after_move;
            co_return false;
        }
        const cw_time_point look_again = now() + hold_off;
        co_await traffic_.wait_for_view(watch_, waits ? std::min(look_again, until) : until);
    }
}

milliseconds cw_upstream_selection::hold_off_of(const cw_upstream_entry& upstream) {
    return time_until(traffic_.meter(upstream).shedding_until());
}

milliseconds cw_upstream_selection::pause_of(const cw_upstream_entry& upstream) {
    return time_until(traffic_.meter(upstream).paused_until());
}

void cw_upstream_selection::come_back_after_pause(cw_gateway_exchange& current,
                                                  const std::vector<cw_upstream_entry>& upstreams) {
    auto soonest = milliseconds::max();
    for (const auto& upstream : upstreams) {
        if (const auto pause = pause_of(upstream); pause.count() > 0) {
            soonest = std::min(soonest, pause);
        }
    }
    if (soonest != milliseconds::max()) {
        current.come_back = soonest;
    }
}

bool cw_upstream_selection::fits(cw_gateway_exchange& current) {
    if (const auto pause = pause_of(current.upstream); pause.count() > 0) {
        current.reason = "the upstream wants no request for a while";
        current.come_back = pause;
        return false;
    }
    const auto hold_off = hold_off_of(current.upstream);
    if (current.fence != 0 && hold_off.count() > 0) {
        current.reason = owner_sheds;
        current.come_back = hold_off;
        return false;
    }
    const auto expected = traffic_.meter(current.upstream)
                              .expected_time(current.upstream.slots, cw_boot_clock::now());
    const auto target = current.started + current.route->target;
    const auto until = now() < target ? std::min(target, current.deadline) : current.deadline;
    const auto left = until - now();
    if (expected <= left || traffic_.meter(current.upstream).in_flight() == 0) {
        return true;
    }
    current.reason = "the upstream's queue is longer than the time that is left";
    current.come_back = std::chrono::duration_cast<milliseconds>(expected - left);
    return false;
}
