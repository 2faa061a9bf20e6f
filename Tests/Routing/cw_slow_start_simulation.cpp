#include "cw_slow_start_simulation.h"

#include "cw_select_upstream.h"
#include "cw_usual_service_time.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

using namespace std::chrono_literals;

namespace {

constexpr double late_factor = 4.0;
constexpr double refusal_seconds = 0.001;
/// Time 0 of the simulation.
constexpr cw_boot_time origin{1'000s};
constexpr std::size_t observed = cw_slow_start_simulation::warm_upstreams;

cw_boot_time time_at(cw_slow_start_simulation::seconds moment) {
    return origin + std::chrono::duration_cast<std::chrono::nanoseconds>(moment);
}

cw_slow_start_simulation::seconds since_origin(cw_boot_time moment) {
    return moment - origin;
}

cw_upstream_ramps::lists make_lists(std::size_t count, std::uint32_t slots) {
    cw_upstream_ramps::lists lists;
    for (std::size_t index = 0; index < count; ++index) {
        cw_upstream_entry entry;
        entry.id = "u" + std::to_string(index);
        entry.service = "svc";
        entry.domain = "z";
        entry.slots = slots;
        // The simulation finds an upstream's statistics by it.
        entry.incarnation = index;
        lists["svc"].push_back(entry);
    }
    return lists;
}

} // namespace

cw_site_config cw_slow_start_config(std::chrono::milliseconds cold_start, bool keyed) {
    cw_site_service service;
    service.name = "svc";
    service.keyed = keyed;
    service.cold_start = cold_start;
    return cw_site_config::make(1, {}, {}, {service}).value();
}

cw_slow_start_simulation::cw_slow_start_simulation(const options& chosen)
    : options_{chosen},
      engine_{chosen.seed},
      config_{cw_slow_start_config(chosen.has_slow_start ? 3s : 0s)},
      warm_{make_lists(warm_upstreams, chosen.slots)},
      all_{make_lists(warm_upstreams + 1, chosen.slots)},
      is_listed_{chosen.recovers},
      hosts_(chosen.hosts),
      servers_(warm_upstreams + 1) {
    for (auto& item : hosts_) {
        item.stats.resize(warm_upstreams + 1);
        item.ramps.set_config(&config_);
        item.ramps.apply({}, is_listed_ ? all_ : warm_, origin - 10s);
    }
}

void cw_slow_start_simulation::schedule(cw_boot_time at, std::function<void()> run) {
    events_.push({at, ++event_count_, std::move(run)});
}

void cw_slow_start_simulation::list_all() {
    is_listed_ = true;
    for (auto& item : hosts_) {
        item.ramps.apply(warm_, all_, now_);
    }
}

void cw_slow_start_simulation::run(seconds first, seconds last) {
    now_ = time_at(first);
    last_arrival_ = time_at(last);
    if (!options_.recovers) {
        schedule(origin, [this] { list_all(); });
    }
    schedule(now_, [this] { arrive(); });
    while (!events_.empty()) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
}

void cw_slow_start_simulation::arrive() {
    const auto host_index = static_cast<std::size_t>(engine_() % hosts_.size());
    auto& sender = hosts_[host_index];
    cw_selection_criteria criteria{"z", 1s, nullptr, engine_()};
    if (sender.ramps.covers("svc")) {
        criteria.ramps = &sender.ramps;
        criteria.draw = [this] { return draw(); };
    }
    const auto& listed = (is_listed_ ? all_ : warm_).at("svc");
    const auto* chosen = cw_select_upstream(
        listed,
        criteria, [&](const auto& entry) -> const auto& { return sender.stats[entry.incarnation]; },
        now_);
    send(host_index, chosen->incarnation);
    const seconds gap{std::exponential_distribution<>{options_.demand}(engine_)};
    const auto next = now_ + std::chrono::duration_cast<std::chrono::nanoseconds>(gap);
    if (next < last_arrival_) {
        schedule(next, [this] { arrive(); });
    }
}

void cw_slow_start_simulation::send(std::size_t host_index, std::size_t upstream) {
    hosts_[host_index].stats[upstream].on_sent();
    request sent{host_index, upstream, now_, false};
    if (upstream == observed) {
        received_.push_back(since_origin(now_));
        sent.fails = options_.recovers && now_ < origin;
        if (sent.fails || options_.observed == behavior::busy) {
            schedule(time_at(since_origin(now_) + seconds{refusal_seconds}),
                     [this, sent] { respond(sent, false); });
            return;
        }
    }
    auto& target = servers_[upstream];
    if (target.running < options_.slots) {
        start_service(upstream, sent);
    } else {
        target.waiting.push_back(sent);
    }
}

void cw_slow_start_simulation::start_service(std::size_t upstream, const request& started) {
    ++servers_[upstream].running;
    const bool is_late = upstream == observed && options_.observed == behavior::late;
    const double spread =
        std::uniform_real_distribution<>{1.0 - options_.spread, 1.0 + options_.spread}(engine_);
    const seconds service{options_.service_seconds * spread * (is_late ? late_factor : 1.0)};
    schedule(time_at(since_origin(now_) + service), [this, started] { finish(started); });
}

void cw_slow_start_simulation::finish(const request& finished) {
    auto& target = servers_[finished.upstream];
    --target.running;
    if (!target.waiting.empty()) {
        const auto next = target.waiting.front();
        target.waiting.pop_front();
        start_service(finished.upstream, next);
    }
    respond(finished, true);
}

cw_reported_load cw_slow_start_simulation::load_of(std::size_t upstream) const {
    const auto& target = servers_[upstream];
    return {target.running, static_cast<std::uint32_t>(target.waiting.size()), options_.slots};
}

void cw_slow_start_simulation::respond(const request& ended, bool answered) {
    auto& sender = hosts_[ended.host];
    auto& stats = sender.stats[ended.upstream];
    const auto& entry = all_.at("svc")[ended.upstream];
    const auto load = load_of(ended.upstream);
    const bool is_recovery = answered && stats.awaits_recovery();
    const auto usual = cw_usual_service_time(
        all_.at("svc"),
        entry, [&](const auto& other) -> const auto& { return sender.stats[other.incarnation]; });
    if (answered) {
        stats.on_answer(now_ - ended.sent_at, load, now_);
    } else if (ended.fails) {
        stats.on_failure(now_);
    } else {
        stats.on_busy(load, now_);
    }
    if (is_recovery) {
        sender.ramps.on_recovery(entry, now_);
    } else {
        sender.ramps.on_response(entry, {ended.sent_at, answered, load, usual}, now_);
    }
    if (answered && ended.upstream == observed && now_ >= origin && !first_answer_) {
        first_answer_ = since_origin(now_);
    }
}

std::size_t cw_slow_start_simulation::requests(seconds from, seconds until) const {
    return static_cast<std::size_t>(
        std::count_if(received_.begin(), received_.end(),
                      [&](seconds moment) { return from <= moment && moment < until; }));
}

std::size_t cw_slow_start_simulation::peak_requests(seconds length) const {
    std::map<std::int64_t, std::size_t> counts;
    for (const auto moment : received_) {
        ++counts[static_cast<std::int64_t>(std::floor(moment / length))];
    }
    std::size_t peak = 0;
    for (const auto& [interval, count] : counts) {
        peak = std::max(peak, count);
    }
    return peak;
}

std::size_t cw_slow_start_simulation::ramping_hosts(seconds at) {
    std::size_t count = 0;
    for (auto& item : hosts_) {
        item.ramps.drop_ended(time_at(at));
        count += item.ramps.is_empty() ? 0 : 1;
    }
    return count;
}
