#include "cw_router_upstream_selector.h"

#include "cw_proxy_exchange.h"
#include "cw_router_shared.h"
#include "cw_traffic_context.h"

#include <algorithm>

namespace net = boost::asio;

namespace {

using namespace std::chrono_literals;

/// Longest wait for a permit while a caller waits for the answer. Batch work may wait longer.
constexpr std::chrono::nanoseconds max_wait = 100ms;
/// Requests of one thread that may wait in one queue.
constexpr std::size_t max_queue_length = 512;
/// Factor on the expected wait of upstreams of another failure domain: one of them is preferred
/// only when a local one would take this many times as long.
constexpr double remote_domain_penalty = 4.0;
constexpr std::chrono::milliseconds min_retry_after = 100ms;
constexpr std::chrono::milliseconds max_retry_after = 5s;

cw_time_point now() {
    return std::chrono::steady_clock::now();
}

std::chrono::milliseconds retry_after_for(std::chrono::nanoseconds expected) {
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(2 * expected),
                      min_retry_after, max_retry_after);
}

} // namespace

std::vector<std::string> cw_router_upstream_selector::candidates(const cw_proxy_exchange& current,
                                                                 cw_time_point now) {
    if (current.route.slice != nullptr) {
        return {current.route.address};
    }
    const auto& service = *current.route.service;
    const auto pool = current.view->candidates(service.name, traffic_.shared.domain());
    struct candidate {
        std::string address;
        double wait;
    };
    std::vector<candidate> available;
    std::vector<std::string> skipped;
    for (std::size_t i = 0; i < pool.addresses.size(); ++i) {
        const auto& address = pool.addresses[i];
        const auto& limiter = traffic_.limiters.limiter(address, service.slots);
        const bool tried =
            std::find(current.failed_upstreams.begin(), current.failed_upstreams.end(), address) !=
            current.failed_upstreams.end();
        if (limiter.is_ejected(now) || tried) {
            skipped.push_back(address);
            continue;
        }
        const auto penalty = i < pool.local_count ? 1.0 : remote_domain_penalty;
        available.push_back({address, static_cast<double>(limiter.latency(now).count()) *
                                          (limiter.in_flight() + 1.0) * penalty});
    }
    std::stable_sort(available.begin(), available.end(),
                     [](const auto& left, const auto& right) { return left.wait < right.wait; });
    std::vector<std::string> ordered;
    ordered.reserve(pool.addresses.size());
    for (auto& entry : available) {
        ordered.push_back(std::move(entry.address));
    }
    // Skipping more than half of the pool would overload the rest, so the skipped ones are appended
    // as a last resort.
    if (ordered.size() * 2 < pool.addresses.size()) {
        ordered.insert(ordered.end(), skipped.begin(), skipped.end());
    }
    return ordered;
}

bool cw_router_upstream_selector::acquire_permit(cw_proxy_exchange& current,
                                                 const std::vector<std::string>& addresses,
                                                 cw_wait_queue& queue,
                                                 cw_concurrency_permit& permit, cw_time_point now) {
    for (const auto& address : addresses) {
        auto& limiter = traffic_.limiters.limiter(address, current.route.service->slots);
        if (limiter.can_send(now)) {
            current.upstream_address = address;
            permit = cw_concurrency_permit{limiter, queue, now};
            return true;
        }
    }
    return false;
}

net::awaitable<bool> cw_router_upstream_selector::select(cw_proxy_exchange& current,
                                                         cw_concurrency_permit& permit) {
    const auto& service = *current.route.service;
    const auto& queue_name = current.route.slice != nullptr ? current.route.address : service.name;
    auto& queue = traffic_.limiters.queue(queue_name);
    if (current.route.slice != nullptr && queue.empty()) {
        // Fast path: the owner of the key usually has a permit free.
        auto& owner = traffic_.limiters.limiter(current.route.address, service.slots);
        if (const auto sent_at = now(); owner.can_send(sent_at)) {
            current.upstream_address = current.route.address;
            permit = cw_concurrency_permit{owner, queue, sent_at};
            co_return true;
        }
    }
    auto addresses = candidates(current, now());
    if (addresses.empty()) {
        current.reason = "the service has no upstream";
        co_return false;
    }
    if (queue.empty() && acquire_permit(current, addresses, queue, permit, now())) {
        co_return true;
    }
    // Batch work tolerates a late answer, so it may wait until its deadline.
    const auto until = service.priority == cw_priority::batch
                           ? current.deadline
                           : std::min<cw_time_point>(now() + max_wait, current.deadline);
    const auto& preferred = traffic_.limiters.limiter(addresses.front(), service.slots);
    const auto expected = preferred.expected_wait(queue.size() / addresses.size(), now());
    current.reason = "no upstream has a free slot";
    current.retry_after = retry_after_for(expected);
    if (queue.size() >= max_queue_length || now() + expected > until) {
        co_return false;
    }
    cw_wait_queue::waiter waiter{queue};
    while (now() < until && !queue.is_closed()) {
        auto next_check = until;
        if (waiter.is_first()) {
            addresses = candidates(current, now());
            if (acquire_permit(current, addresses, queue, permit, now())) {
                co_return true;
            }
            for (const auto& address : addresses) {
                const auto backoff_end =
                    traffic_.limiters.limiter(address, service.slots).backoff_until();
                if (backoff_end > now()) {
                    next_check = std::min(next_check, backoff_end);
                }
            }
        }
        co_await waiter.wait(next_check);
    }
    co_return false;
}
