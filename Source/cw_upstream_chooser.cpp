#include "cw_upstream_chooser.h"

#include "cw_proxy_exchange.h"
#include "cw_router_shared.h"
#include "cw_traffic_context.h"

#include <algorithm>

namespace net = boost::asio;

namespace {

using namespace std::chrono_literals;

/// Longest wait of a request whose caller is waiting for it.
constexpr std::chrono::nanoseconds longest_wait = 100ms;
/// Requests of one thread that may wait at one place.
constexpr std::size_t longest_queue = 512;
/// Ratio of waiting times from which an upstream of another domain is preferred to a near one.
constexpr double most_detour = 4.0;
constexpr std::chrono::milliseconds return_when_busy = 100ms;
constexpr std::chrono::milliseconds longest_return = 5s;

cw_time_point now() {
    return std::chrono::steady_clock::now();
}

std::chrono::milliseconds come_back_after(std::chrono::nanoseconds expected) {
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(2 * expected),
                      return_when_busy, longest_return);
}

} // namespace

std::vector<std::string> cw_upstream_chooser::candidates(const cw_proxy_exchange& current,
                                                         cw_time_point now) {
    if (current.route.slice != nullptr) {
        return {current.route.address};
    }
    const auto& service = *current.route.service;
    const auto pool = current.view->candidates(service.name, traffic_.shared.domain());
    struct choice {
        std::string address;
        double wait;
    };
    std::vector<choice> fit;
    std::vector<std::string> others;
    for (std::size_t i = 0; i < pool.addresses.size(); ++i) {
        const auto& address = pool.addresses[i];
        const auto& gate = traffic_.gates.gate(address, service.slots);
        const bool tried =
            std::find(current.failed_upstreams.begin(), current.failed_upstreams.end(), address) !=
            current.failed_upstreams.end();
        if (gate.is_ejected(now) || tried) {
            others.push_back(address);
            continue;
        }
        const auto detour = i < pool.local_count ? 1.0 : most_detour;
        fit.push_back({address, static_cast<double>(gate.latency(now).count()) *
                                    (gate.in_flight() + 1.0) * detour});
    }
    std::stable_sort(fit.begin(), fit.end(),
                     [](const auto& left, const auto& right) { return left.wait < right.wait; });
    std::vector<std::string> order;
    order.reserve(pool.addresses.size());
    for (auto& entry : fit) {
        order.push_back(std::move(entry.address));
    }
    // Ejecting more than half of a pool would only overload the rest.
    if (order.size() * 2 < pool.addresses.size()) {
        order.insert(order.end(), others.begin(), others.end());
    }
    return order;
}

bool cw_upstream_chooser::take_free(cw_proxy_exchange& current,
                                    const std::vector<std::string>& addresses, cw_wait_queue& queue,
                                    cw_gate_slot& slot, cw_time_point now) {
    for (const auto& address : addresses) {
        auto& gate = traffic_.gates.gate(address, current.route.service->slots);
        if (gate.may_send(now)) {
            current.upstream_address = address;
            slot = cw_gate_slot{gate, queue, now};
            return true;
        }
    }
    return false;
}

net::awaitable<bool> cw_upstream_chooser::choose(cw_proxy_exchange& current, cw_gate_slot& slot) {
    const auto& service = *current.route.service;
    const auto& name = current.route.slice != nullptr ? current.route.address : service.name;
    auto& queue = traffic_.gates.queue(name);
    if (current.route.slice != nullptr && queue.empty()) {
        // Most requests find a place at the owner of their key at once.
        auto& owner = traffic_.gates.gate(current.route.address, service.slots);
        if (const auto at = now(); owner.may_send(at)) {
            current.upstream_address = current.route.address;
            slot = cw_gate_slot{owner, queue, at};
            co_return true;
        }
    }
    auto addresses = candidates(current, now());
    if (addresses.empty()) {
        current.reason = "the service has no upstream";
        co_return false;
    }
    if (queue.empty() && take_free(current, addresses, queue, slot, now())) {
        co_return true;
    }
    // Batch work may come late, if only it comes whole.
    const auto until = service.priority == cw_priority::batch
                           ? current.deadline
                           : std::min<cw_time_point>(now() + longest_wait, current.deadline);
    const auto& first = traffic_.gates.gate(addresses.front(), service.slots);
    const auto expected = first.expected_wait(queue.size() / addresses.size(), now());
    current.reason = "no upstream has a free slot";
    current.retry_after = come_back_after(expected);
    if (queue.size() >= longest_queue || now() + expected > until) {
        co_return false;
    }
    cw_wait_queue::ticket ticket{queue};
    while (now() < until && !queue.is_closed()) {
        auto look_again = until;
        if (ticket.is_first()) {
            addresses = candidates(current, now());
            if (take_free(current, addresses, queue, slot, now())) {
                co_return true;
            }
            for (const auto& address : addresses) {
                const auto free = traffic_.gates.gate(address, service.slots).backoff_until();
                if (free > now()) {
                    look_again = std::min(look_again, free);
                }
            }
        }
        co_await ticket.wait(look_again);
    }
    co_return false;
}
