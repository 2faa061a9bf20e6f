#include "cw_grant_world.h"

#include <algorithm>
#include <array>

using namespace std::chrono_literals;

namespace {

constexpr auto tick = 50ms;
constexpr auto report_interval = 250ms;
constexpr auto look_interval = 10ms;
constexpr auto message_time = 1ms;
constexpr auto store_time = 4ms;
constexpr auto grant_timeout = 120ms;
constexpr auto release_timeout = 4'000ms;
constexpr auto store_timeout = 800ms;
/// A clock that runs 2% slow counts a lease for so long.
constexpr double slow_clock = 1.0 / 0.98;

std::uint32_t key_of(std::size_t sample) {
    return static_cast<std::uint32_t>(sample * 1'024 + 512);
}

} // namespace

struct cw_grant_world::host_process {
    std::string name;
    std::uint64_t incarnation;
    cw_steward steward;
    cw_boot_time frozen_until{};
};

struct cw_grant_world::upstream_process {
    std::string id;
    std::uint64_t life = 0;
    /// The life that its entry tells.
    std::uint64_t told_life = 0;
    cw_boot_time warm_at{};
    bool up = true;
    bool announced = true;
    bool leaving = false;
    std::array<std::uint64_t, samples> seen{};
    std::array<cw_boot_time, samples> held_until{};
    /// End of the requests that run, and of the last lease, whether it was released or not.
    std::array<cw_boot_time, samples> works_until{};
    std::array<cw_boot_time, samples> granted_until{};

    [[nodiscard]] bool holds(std::size_t sample, cw_boot_time now) const {
        return up && now < held_until.at(sample);
    }
};

cw_grant_world::cw_grant_world(std::uint64_t seed, cw_steward_options options)
    : options_{options},
      engine_{seed},
      held_at_(samples, now_),
      fences_(samples, 0),
      last_holder_(samples) {
    at(look_interval, [this] { look(); });
}

cw_grant_world::~cw_grant_world() = default;

void cw_grant_world::at(std::chrono::milliseconds after, action what) {
    queue_.emplace(now_ + after, std::move(what));
}

bool cw_grant_world::chance(double share) {
    return std::uniform_real_distribution<>{}(engine_) < share;
}

bool cw_grant_world::is_cut(const std::string& one, const std::string& other) const {
    return cuts_.contains({one, other}) || cuts_.contains({other, one});
}

void cw_grant_world::cut(const std::string& host, const std::string& other) {
    cuts_.emplace(host, other);
}

void cw_grant_world::heal() {
    cuts_.clear();
}

void cw_grant_world::run(std::chrono::milliseconds length) {
    const auto until = now_ + length;
    while (!queue_.empty() && queue_.begin()->first <= until) {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key();
        next.mapped()();
    }
    now_ = until;
}

// -- hosts

void cw_grant_world::start_host(const std::string& host) {
    const auto incarnation = next_incarnation_++;
    hosts_[host] = std::make_unique<host_process>(
        host_process{host,
                     incarnation,
                     cw_steward{service, {host, incarnation, host + ":1"}, options_, engine_()},
                     {}});
    tell_hosts();
    tick_host(host, incarnation);
    report(host, incarnation);
}

void cw_grant_world::kill_host(const std::string& host) {
    hosts_.erase(host);
}

void cw_grant_world::freeze_host(const std::string& host, std::chrono::milliseconds length) {
    hosts_.at(host)->frozen_until = now_ + length;
}

void cw_grant_world::stop_host(const std::string& host) {
    auto& process = *hosts_.at(host);
    cw_steward::commands commands;
    process.steward.on_stop(now_, commands);
    carry_out(process, commands);
    at(2'500ms, [this, host, incarnation = process.incarnation] {
        const auto found = hosts_.find(host);
        if (found != hosts_.end() && found->second->incarnation == incarnation) {
            hosts_.erase(found);
        }
    });
}

void cw_grant_world::deliver(
    const std::string& host, std::uint64_t incarnation,
    const std::function<void(host_process&, cw_steward::commands&)>& what) {
    const auto found = hosts_.find(host);
    if (found == hosts_.end() || found->second->incarnation != incarnation) {
        return;
    }
    auto& process = *found->second;
    if (now_ < process.frozen_until) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(process.frozen_until - now_);
        at(wait, [this, host, incarnation, what] { deliver(host, incarnation, what); });
        return;
    }
    cw_steward::commands commands;
    what(process, commands);
    for (const auto& event : process.steward.take_events()) {
        const auto since =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch() - 1'000s);
        history_.push_back(std::to_string(since.count()) + " " + host + " " + event.type + " " +
                           event.subject + " " + event.detail);
    }
    carry_out(process, commands);
}

void cw_grant_world::tick_host(const std::string& name, std::uint64_t incarnation) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end() || found->second->incarnation != incarnation) {
        return;
    }
    deliver(name, incarnation, [this](auto& host, auto& out) { host.steward.on_tick(now_, out); });
    at(tick, [this, name, incarnation] { tick_host(name, incarnation); });
}

void cw_grant_world::report(const std::string& name, std::uint64_t incarnation) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end() || found->second->incarnation != incarnation) {
        return;
    }
    at(report_interval, [this, name, incarnation] { report(name, incarnation); });
    const auto target = found->second->steward.table().steward;
    if (target.host.empty() || now_ < found->second->frozen_until) {
        return;
    }
    const auto leader = hosts_.find(target.host);
    auto contact = cw_contact::heard;
    if (is_cut(name, target.host) ||
        (leader != hosts_.end() && now_ < leader->second->frozen_until)) {
        contact = cw_contact::silent;
    } else if (leader == hosts_.end()) {
        contact = cw_contact::refused;
    }
    if (contact == cw_contact::heard) {
        std::vector<cw_key_count> counts;
        for (const auto& [sample, rate] : load_) {
            const auto count = rate * 0.25 / static_cast<double>(hosts_.size());
            counts.push_back({key_of(sample), static_cast<std::uint32_t>(count)});
        }
        auto& steward = leader->second->steward;
        steward.on_member(name, incarnation, now_);
        steward.on_load(counts, now_);
        const auto copy = steward.table();
        const auto told = !steward.is_steward()           ? cw_contact::silent
                          : steward.seeks_successor(now_) ? cw_contact::seeks_successor
                                                          : cw_contact::heard;
        deliver(name, incarnation, [this, copy, told](auto& host, auto&) {
            host.steward.on_copy(copy, now_);
            host.steward.on_contact(told, now_);
        });
        return;
    }
    deliver(name, incarnation,
            [this, contact](auto& host, auto&) { host.steward.on_contact(contact, now_); });
}

// -- upstreams

void cw_grant_world::tell_hosts() {
    std::map<std::string, cw_upstream_entry> entries;
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream->announced) {
            cw_upstream_entry entry;
            entry.id = id;
            entry.service = service;
            entry.address = id + ":1";
            entry.slots = 3;
            entry.leaving = upstream->leaving;
            entry.warm_at = upstream->warm_at;
            entry.life = upstream->told_life;
            entries.emplace(id, entry);
        }
    }
    for (auto& [name, host] : hosts_) {
        host->steward.on_upstreams(entries, now_);
    }
}

void cw_grant_world::start_upstream(const std::string& id, std::chrono::milliseconds entry_lag,
                                    std::chrono::milliseconds cold) {
    auto upstream = std::make_unique<upstream_process>();
    upstream->id = id;
    upstream->life = next_life_++;
    upstream->warm_at = now_ + cold;
    const auto before = upstreams_.find(id);
    upstream->told_life = before == upstreams_.end() ? upstream->life : before->second->told_life;
    upstreams_[id] = std::move(upstream);
    at(entry_lag, [this, id] {
        upstreams_.at(id)->told_life = upstreams_.at(id)->life;
        tell_hosts();
    });
}

void cw_grant_world::begin_work(const std::string& id, std::chrono::milliseconds length) {
    auto& upstream = *upstreams_.at(id);
    for (std::size_t sample = 0; sample < samples; ++sample) {
        if (upstream.holds(sample, now_)) {
            upstream.works_until.at(sample) = now_ + length;
        }
    }
}

void cw_grant_world::crash_upstream(const std::string& id) {
    upstreams_.at(id)->up = false;
    at(2'600ms, [this, id, life = upstreams_.at(id)->life] {
        auto& upstream = *upstreams_.at(id);
        if (upstream.life == life) {
            upstream.announced = false;
            tell_hosts();
        }
    });
}

void cw_grant_world::drain_upstream(const std::string& id) {
    upstreams_.at(id)->leaving = true;
    tell_hosts();
}

void cw_grant_world::lapse_upstream(const std::string& id) {
    upstreams_.at(id)->announced = false;
    tell_hosts();
}

void cw_grant_world::check_work(const std::string& taker, std::size_t sample) {
    for (const auto& [id, other] : upstreams_) {
        const bool works = other->up && now_ < other->works_until.at(sample) &&
                           now_ < other->granted_until.at(sample);
        if (id != taker && works && violations_.size() < 20) {
            violations_.push_back("key " + std::to_string(key_of(sample)) + " went to " + taker +
                                  " while " + id + " worked on it");
        }
    }
}

cw_order_ended cw_grant_world::obey(upstream_process& upstream, const cw_key_order& order,
                                    cw_boot_time& released) {
    cw_order_ended ended;
    ended.number = order.number;
    ended.result = cw_order_result::done;
    const bool grants = order.what == cw_key_order::kind::grant;
    for (std::size_t sample = 0; sample < samples; ++sample) {
        const bool meant = order.first <= key_of(sample) && key_of(sample) <= order.last;
        if (grants && meant && upstream.seen.at(sample) > order.fence) {
            ended.result = cw_order_result::fenced;
            return ended;
        }
    }
    for (std::size_t sample = 0; sample < samples; ++sample) {
        if (key_of(sample) < order.first || key_of(sample) > order.last) {
            continue;
        }
        upstream.seen.at(sample) = std::max(upstream.seen.at(sample), order.fence);
        if (!grants && upstream.holds(sample, now_)) {
            released = std::max(released, upstream.works_until.at(sample));
        }
        upstream.held_until.at(sample) =
            grants ? now_ + std::chrono::duration_cast<std::chrono::nanoseconds>(order.lease *
                                                                                 slow_clock)
                   : cw_boot_time{};
        if (grants) {
            upstream.granted_until.at(sample) = upstream.held_until.at(sample);
            check_work(upstream.id, sample);
        }
        if (grants && last_holder_.at(sample) != upstream.id) {
            if (order.fence <= fences_.at(sample)) {
                violations_.push_back("key " + std::to_string(key_of(sample)) + " went to " +
                                      upstream.id + " with fence " + std::to_string(order.fence) +
                                      " after " + std::to_string(fences_.at(sample)));
            }
            moves_ += last_holder_.at(sample).empty() ? 0 : 1;
            last_holder_.at(sample) = upstream.id;
        }
        if (grants) {
            fences_.at(sample) = std::max(fences_.at(sample), order.fence);
        }
    }
    ended.handover = grants ? "" : "token";
    return ended;
}

void cw_grant_world::look() {
    at(look_interval, [this] { look(); });
    for (std::size_t sample = 0; sample < samples; ++sample) {
        std::vector<std::string> holders;
        for (const auto& [id, upstream] : upstreams_) {
            if (upstream->holds(sample, now_)) {
                holders.push_back(id);
            }
        }
        if (holders.size() > 1 && violations_.size() < 20) {
            violations_.push_back("key " + std::to_string(key_of(sample)) + " is held by " +
                                  holders[0] + " and " + holders[1]);
        }
        if (!holders.empty()) {
            held_at_.at(sample) = now_;
        } else {
            longest_absence_ = std::max(
                longest_absence_,
                std::chrono::duration_cast<std::chrono::milliseconds>(now_ - held_at_.at(sample)));
        }
    }
}

// -- commands

void cw_grant_world::carry_out(host_process& host, const cw_steward::commands& commands) {
    for (const auto& command : commands) {
        std::visit([&](const auto& what) { carry_out(host, what); }, command);
    }
}

void cw_grant_world::carry_out(host_process& host, const cw_key_order& order) {
    const auto name = host.name;
    const auto incarnation = host.incarnation;
    const auto upstream = upstreams_.find(order.upstream.id);
    const auto timeout =
        order.what == cw_key_order::kind::release ? release_timeout : grant_timeout;
    const auto finish = [=, this](std::chrono::milliseconds after, cw_order_ended ended) {
        at(after, [=, this]() mutable {
            ended.ended = now_;
            deliver(name, incarnation, [=, this](auto& who, auto& out) {
                who.steward.on_order_ended(ended, now_, out);
            });
        });
    };
    cw_order_ended failed;
    failed.number = order.number;
    if (upstream == upstreams_.end() || is_cut(name, order.upstream.id)) {
        failed.result = cw_order_result::unanswered;
        finish(timeout, failed);
        return;
    }
    if (!upstream->second->up) {
        failed.result = cw_order_result::not_sent;
        finish(message_time, failed);
        return;
    }
    if (chance(late_orders_)) {
        const auto delay = std::chrono::milliseconds{2'000 + engine_() % 10'000};
        // A late order counts its lease from its arrival, so by now a short one has run out.
        at(delay, [this, order, delay, life = upstream->second->life] {
            auto& target = *upstreams_.at(order.upstream.id);
            auto late = order;
            late.lease = std::max(order.lease - delay, 0ms);
            if (target.up && target.life == life && late.lease > 0ms) {
                cw_boot_time released{};
                static_cast<void>(obey(target, late, released));
            }
        });
        failed.result = cw_order_result::unanswered;
        finish(timeout, failed);
        return;
    }
    // An order names an id, so whatever life answers to it then takes it.
    at(message_time, [=, this]() mutable {
        auto& target = *upstreams_.at(order.upstream.id);
        if (target.up) {
            cw_boot_time released = now_;
            const auto ended = obey(target, order, released);
            const auto work = std::chrono::ceil<std::chrono::milliseconds>(released - now_);
            if (work < timeout) {
                finish(message_time + work, ended);
                return;
            }
        }
        failed.result = cw_order_result::unanswered;
        finish(message_time, failed);
    });
}

void cw_grant_world::carry_out(host_process& host, const cw_tell_predecessor& command) {
    if (is_cut(host.name, command.to.host)) {
        return;
    }
    at(message_time, [this, command, from = host.name, incarnation = host.incarnation] {
        const auto table = *cw_key_table::parse(command.table);
        deliver(command.to.host, command.to.incarnation, [=, this](auto& earlier, auto&) {
            earlier.steward.on_succession(table, now_);
            at(message_time, [=, this] {
                deliver(from, incarnation, [=, this](auto& who, auto&) {
                    who.steward.on_gave_way({command.to, command.term}, now_);
                });
            });
        });
    });
}

void cw_grant_world::answer_table(const host_process& host, cw_table_answer answer, bool lost) {
    const auto name = host.name;
    const auto incarnation = host.incarnation;
    if (lost) {
        answer = {};
    }
    answer.sent = now_ - store_time;
    at(lost ? store_timeout : 0ms, [=, this] {
        deliver(name, incarnation, [=, this](auto& who, auto& out) {
            who.steward.on_table_answer(answer, now_, out);
        });
    });
}

void cw_grant_world::carry_out(host_process& host, const cw_read_table& /*command*/) {
    ++store_calls_;
    at(store_time, [this, name = host.name, incarnation = host.incarnation] {
        const auto found = hosts_.find(name);
        if (found == hosts_.end() || found->second->incarnation != incarnation) {
            return;
        }
        cw_table_answer answer;
        answer.result = cw_table_result::done;
        answer.revision = revision_;
        if (revision_ != 0) {
            answer.table = *cw_key_table::parse(table_);
        }
        answer_table(*found->second, answer, store_down_ || is_cut(name, "store"));
    });
}

void cw_grant_world::carry_out(host_process& host, const cw_write_table& command) {
    ++store_calls_;
    at(store_time, [this, command, name = host.name, incarnation = host.incarnation] {
        const bool reached = !store_down_ && !is_cut(name, "store");
        cw_table_answer answer;
        answer.was_write = true;
        if (reached) {
            const bool fits = command.revision == revision_;
            if (fits) {
                table_ = command.text;
                ++revision_;
            }
            answer.result = fits ? cw_table_result::done : cw_table_result::conflict;
            answer.revision = revision_;
            answer.table = *cw_key_table::parse(table_);
        }
        const auto found = hosts_.find(name);
        if (found != hosts_.end() && found->second->incarnation == incarnation) {
            answer_table(*found->second, answer, !reached || chance(lost_replies_));
        }
    });
}

void cw_grant_world::carry_out(host_process& host, const cw_write_beat& /*command*/) {
    ++store_calls_;
    cw_beat_answer answer;
    answer.was_write = true;
    answer.done = !store_down_ && !is_cut(host.name, "store");
    beat_ += answer.done ? 1 : 0;
    at(store_time, [this, answer, name = host.name, incarnation = host.incarnation] {
        deliver(name, incarnation,
                [=, this](auto& who, auto&) { who.steward.on_beat_answer(answer, now_); });
    });
}

void cw_grant_world::carry_out(host_process& host, const cw_read_beat& /*command*/) {
    ++store_calls_;
    cw_beat_answer answer;
    answer.done = !store_down_ && !is_cut(host.name, "store");
    answer.count = beat_;
    at(store_time, [this, answer, name = host.name, incarnation = host.incarnation] {
        deliver(name, incarnation,
                [=, this](auto& who, auto&) { who.steward.on_beat_answer(answer, now_); });
    });
}

// -- what is seen

void cw_grant_world::forget_absence() {
    longest_absence_ = 0ms;
    std::fill(held_at_.begin(), held_at_.end(), now_);
}

double cw_grant_world::moved() const {
    return static_cast<double>(moves_) / static_cast<double>(samples);
}

std::string cw_grant_world::steward() const {
    for (const auto& [name, host] : hosts_) {
        if (now_ >= host->frozen_until && host->steward.may_grant(now_)) {
            return name;
        }
    }
    return {};
}

std::string cw_grant_world::holder(std::size_t sample) const {
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream->holds(sample, now_)) {
            return id;
        }
    }
    return {};
}

std::vector<std::string> cw_grant_world::hosts() const {
    std::vector<std::string> names;
    for (const auto& [name, host] : hosts_) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> cw_grant_world::upstreams() const {
    std::vector<std::string> names;
    for (const auto& [id, upstream] : upstreams_) {
        names.push_back(id);
    }
    return names;
}
