#include "cw_gateway_upstream_selector.h"

#include "cw_call_watch.h"
#include "cw_gateway_exchange.h"
#include "cw_gateway_traffic.h"
#include "cw_select_upstream.h"

#include <algorithm>

namespace net = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The longest wait for the owner of a moving key is the time that is left divided by this.
constexpr int move_wait_divisor = 3;
constexpr milliseconds retry_after_move{250};
/// Limits of the retry-after time for a cold upstream. Another host may admit the request earlier
/// than this one.
constexpr milliseconds min_cold_retry_delay{100};
constexpr milliseconds max_cold_retry_delay{2'000};
/// Acceptable expected time to an answer, as a fraction of the route's target time: one half.
constexpr int acceptable_time_numerator = 1;
constexpr int acceptable_time_denominator = 2;
/// Evacuations last for minutes, but not every caller has another host to go to.
constexpr milliseconds retry_after_evacuation{1'000};
constexpr const char* owner_sheds_reason =
    "the owner closes connections or sends answers without end";

cw_time_point now() {
    return std::chrono::steady_clock::now();
}

/// Time left until `moment`; 0 when it has passed.
milliseconds time_until(cw_boot_time moment) {
    return std::max(milliseconds{0},
                    std::chrono::ceil<milliseconds>(moment - cw_boot_clock::now()));
}

} // namespace

net::awaitable<bool> cw_gateway_upstream_selector::select(cw_gateway_exchange& current) {
    current.view = traffic_.view();
    const auto service = current.config->services().find(current.service);
    if (service == current.config->services().end()) {
        current.reason = "the service is not configured";
        co_return false;
    }
    if (current.view->evacuations.has_no_upstream_left(current.service)) {
        refuse_for_evacuation(current,
                              "all upstreams of the service are in evacuated failure domains");
        co_return false;
    }
    if (service->second.keyed) {
        if (!current.metadata.key || *current.metadata.key > cw_last_key) {
            current.reason = "the request names no key";
            co_return false;
        }
        if (!co_await wait_for_owner(current)) {
            co_return false;
        }
    } else if (!select_any(current)) {
        co_return false;
    }
    co_return accepts_request(current);
}

void cw_gateway_upstream_selector::refuse_for_evacuation(cw_gateway_exchange& current,
                                                         const char* reason) {
    traffic_.metrics().increment("evacuation_refused_requests");
    current.reason = reason;
    current.retry_after = retry_after_evacuation;
}

bool cw_gateway_upstream_selector::select_any(cw_gateway_exchange& current) {
    const auto service_upstreams = current.view->upstreams->find(current.service);
    cw_selection_criteria criteria{traffic_.domain(),
                                   current.route->target * acceptable_time_numerator /
                                       acceptable_time_denominator,
                                   &current.failed_upstreams, traffic_.random_number()};
    if (!traffic_.limits().is_empty() || traffic_.has_cold_upstreams()) {
        criteria.admits = [this](const auto& entry) {
            return traffic_.admits_if_cold(entry) && is_admitted(entry);
        };
    }
    traffic_.apply_ramps(current.service, criteria);
    const auto* chosen =
        service_upstreams == current.view->upstreams->end()
            ? nullptr
            : cw_select_upstream(
                  service_upstreams->second, criteria,
                  [this](const auto& entry) -> const auto& { return traffic_.stats(entry); },
                  cw_boot_clock::now());
    if (chosen == nullptr) {
        current.reason = "the service has no other upstream";
        if (service_upstreams != current.view->upstreams->end()) {
            refuse_if_cold(current, service_upstreams->second);
            set_earliest_retry_after(current, service_upstreams->second);
        }
        return false;
    }
    current.upstream = *chosen;
    return true;
}

const cw_upstream_entry*
cw_gateway_upstream_selector::find_settled_owner(cw_gateway_exchange& current) {
    current.view = traffic_.view();
    is_owner_evacuated_ = false;
    const auto table = current.view->tables.find(current.service);
    if (table == current.view->tables.end()) {
        return nullptr;
    }
    const auto& range = table->second->range_of(*current.metadata.key);
    const bool refused = current.refused_fence != 0 && current.refused_fence == range.fence;
    const auto service_upstreams = current.view->upstreams->find(current.service);
    if (range.is_moving() || refused || service_upstreams == current.view->upstreams->end()) {
        return nullptr;
    }
    const auto found = std::find_if(
        service_upstreams->second.begin(), service_upstreams->second.end(), [&](const auto& entry) {
            return entry.id == range.owner.id && entry.incarnation == range.owner.incarnation;
        });
    if (found == service_upstreams->second.end()) {
        return nullptr;
    }
    if (!current.view->evacuations.allows_keyed(found->domain, cw_boot_clock::now())) {
        is_owner_evacuated_ = true;
        return nullptr;
    }
    current.fence = range.fence;
    return &*found;
}

net::awaitable<bool> cw_gateway_upstream_selector::wait_for_owner(cw_gateway_exchange& current) {
    const auto until = now() + (current.deadline - now()) / move_wait_divisor;
    while (true) {
        const auto* owner = find_settled_owner(current);
        const auto shed_backoff = owner == nullptr ? milliseconds{0} : shed_backoff_left(*owner);
        const auto cold_delay =
            owner == nullptr ? milliseconds{0} : traffic_.cold_admission_delay(*owner);
        // A request that may have run cannot be refused any more, so it waits for the end of the
        // backoff here, until `until` at most.
        const bool must_wait = current.state.may_have_run && shed_backoff.count() > 0;
        if (owner != nullptr && !must_wait && cold_delay.count() == 0) {
            current.upstream = *owner;
            if (current.send_count == 0) {
                traffic_.count_key(current.service, *current.metadata.key);
            }
            co_return true;
        }
        const bool is_over = now() >= until;
        if (is_over && is_owner_evacuated_) {
            refuse_for_evacuation(current, "the key's owner is in an evacuated failure domain");
            co_return false;
        }
        if (is_over || watch_.has_caller_left()) {
            current.reason = must_wait ? owner_sheds_reason : "the key has no settled owner";
            current.retry_after = retry_after_move;
            if (cold_delay.count() > 0 && !watch_.has_caller_left()) {
                traffic_.metrics().increment("cold_refused_requests");
                current.reason = "the owner is cold and takes few requests";
                current.retry_after = cold_retry_delay(*owner);
            }
            co_return false;
        }
        const auto delay = std::max(must_wait ? shed_backoff : milliseconds{0}, cold_delay);
        const cw_time_point next_check = now() + delay;
        co_await traffic_.wait_for_view(watch_,
                                        delay.count() > 0 ? std::min(next_check, until) : until);
    }
}

milliseconds cw_gateway_upstream_selector::shed_backoff_left(const cw_upstream_entry& upstream) {
    return time_until(traffic_.stats(upstream).shedding_until());
}

milliseconds cw_gateway_upstream_selector::retry_delay_of(const cw_upstream_entry& upstream) {
    return std::max({time_until(traffic_.stats(upstream).retry_after()),
                     traffic_.limits().retry_delay(upstream, cw_boot_clock::now()),
                     cold_retry_delay(upstream)});
}

milliseconds cw_gateway_upstream_selector::cold_retry_delay(const cw_upstream_entry& upstream) {
    const auto delay = traffic_.cold_admission_delay(upstream);
    return delay.count() == 0 ? delay
                              : std::clamp(delay, min_cold_retry_delay, max_cold_retry_delay);
}

void cw_gateway_upstream_selector::refuse_if_cold(cw_gateway_exchange& current,
                                                  const std::vector<cw_upstream_entry>& upstreams) {
    const auto is_left = [&](const cw_upstream_entry& upstream) {
        const auto& failed = current.failed_upstreams;
        return std::find(failed.begin(), failed.end(), upstream.id) == failed.end();
    };
    const bool is_cold = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& upstream) {
        return is_left(upstream) && !traffic_.admits_if_cold(upstream);
    });
    if (is_cold) {
        traffic_.metrics().increment("cold_refused_requests");
        current.reason = "the upstreams that are left are cold and take few requests";
    }
}

bool cw_gateway_upstream_selector::is_admitted(const cw_upstream_entry& upstream) {
    return traffic_.limits().admits(upstream, traffic_.random_share(), cw_boot_clock::now());
}

void cw_gateway_upstream_selector::set_earliest_retry_after(
    cw_gateway_exchange& current, const std::vector<cw_upstream_entry>& upstreams) {
    auto earliest = milliseconds::max();
    for (const auto& upstream : upstreams) {
        if (const auto retry_delay = retry_delay_of(upstream); retry_delay.count() > 0) {
            earliest = std::min(earliest, retry_delay);
        }
    }
    if (earliest != milliseconds::max()) {
        current.retry_after = earliest;
    }
}

bool cw_gateway_upstream_selector::accepts_request(cw_gateway_exchange& current) {
    if (const auto retry_delay = time_until(traffic_.stats(current.upstream).retry_after());
        retry_delay.count() > 0) {
        current.reason = "the upstream wants no request for a while";
        current.retry_after = retry_delay;
        return false;
    }
    const auto shed_backoff = shed_backoff_left(current.upstream);
    if (current.fence != 0 && shed_backoff.count() > 0) {
        current.reason = owner_sheds_reason;
        current.retry_after = shed_backoff;
        return false;
    }
    // For a service without keys, the selection has chosen among admitted upstreams.
    if (current.fence != 0 && !is_admitted(current.upstream)) {
        traffic_.metrics().increment("limited_requests");
        current.reason = "the upstream limits its request rate";
        current.retry_after = retry_delay_of(current.upstream);
        return false;
    }
    const auto& stats = traffic_.stats(current.upstream);
    const auto boot_now = cw_boot_clock::now();
    const auto expected = stats.expected_time(current.upstream.slots, boot_now);
    const auto target = current.started + current.route->target;
    const auto until = now() < target ? std::min(target, current.deadline) : current.deadline;
    const auto time_left = until - now();
    // A request is sent now and then to an upstream that seems too slow, since its time may be out
    // of date; not to one whose queue is known.
    const bool may_be_outdated =
        stats.in_flight() == 0 && !stats.is_known_to_be_full(current.upstream.slots, boot_now);
    if (expected <= time_left || may_be_outdated) {
        traffic_.limits().on_sent(current.upstream);
        traffic_.on_sent_if_cold(current.upstream);
        return true;
    }
    current.reason = "the upstream's queue is longer than the time that is left";
    current.retry_after = std::chrono::duration_cast<milliseconds>(expected - time_left);
    return false;
}
