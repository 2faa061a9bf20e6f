#include "cw_ownership_simulation.h"

#include <algorithm>
#include <array>

using namespace std::chrono_literals;

namespace {

constexpr auto tick_interval = 50ms;
constexpr auto report_interval = 250ms;
constexpr auto check_interval = 10ms;
constexpr auto message_delay = 1ms;
constexpr auto store_delay = 4ms;
constexpr auto grant_timeout = 120ms;
constexpr auto release_timeout = 4'000ms;
constexpr auto store_timeout = 800ms;
constexpr auto copy_interval = 100ms;
constexpr auto max_copy_age = 10'000ms;
constexpr std::uint64_t max_sender_delay_ms = 800;
/// Number of answers to grants after which one closes its connection.
constexpr std::uint64_t closing_interval = 40;
/// Factor by which a lease lasts longer on a clock that runs 2% slow.
constexpr double slow_clock = 1.0 / 0.98;

std::uint32_t key_of(std::size_t sample) {
    return static_cast<std::uint32_t>(sample * 1'024 + 512);
}

} // namespace

/// A connection leads to one process of an upstream and ends with it.
struct cw_ownership_simulation::connection {
    std::uint64_t upstream_incarnation = 0;
    cw_boot_time established_at{};
};

struct cw_ownership_simulation::host_process {
    std::string name;
    std::uint64_t incarnation;
    cw_steward steward;
    cw_boot_time frozen_until{};
    cw_upstream_continuity continuity{};
    /// Open connections for grants, by upstream.
    std::map<std::string, std::vector<connection>> connections{};
};

struct cw_ownership_simulation::upstream_process {
    std::string id;
    std::uint64_t incarnation = 0;
    /// The incarnation that its entry shows.
    std::uint64_t published_incarnation = 0;
    cw_boot_time warm_at{};
    bool is_up = true;
    bool has_entry = true;
    bool leaving = false;
    std::array<std::uint64_t, samples> highest_fences{};
    std::array<cw_boot_time, samples> held_until{};
    /// End of the running requests, and of the last lease even if it was released.
    std::array<cw_boot_time, samples> work_end{};
    std::array<cw_boot_time, samples> lease_end{};

    [[nodiscard]] bool holds(std::size_t sample, cw_boot_time now) const {
        return is_up && now < held_until.at(sample);
    }
};

cw_ownership_simulation::cw_ownership_simulation(std::uint64_t seed, cw_steward_options options)
    : options_{options},
      engine_{seed},
      last_held_(samples, now_),
      fences_(samples, 0),
      last_holder_(samples) {
    schedule(check_interval, [this] { check_samples(); });
    keep_copy();
}

void cw_ownership_simulation::keep_copy() {
    store_copies_[now_] = store_;
    while (store_copies_.begin()->first < now_ - max_copy_age) {
        store_copies_.erase(store_copies_.begin());
    }
    schedule(copy_interval, [this] { keep_copy(); });
}

void cw_ownership_simulation::restore_store(std::chrono::milliseconds age) {
    const auto later = store_copies_.upper_bound(now_ - age);
    store_ = (later == store_copies_.begin() ? later : std::prev(later))->second;
    store_copies_[now_] = store_;
    ++store_era_;
    for (const auto& [name, host] : hosts_) {
        if (!is_disconnected(name, "store")) {
            const std::chrono::milliseconds delay{engine_() % 1'000};
            schedule(delay, [this, name = name, incarnation = host->incarnation, era = store_era_] {
                deliver(name, incarnation, [=, this](auto& receiver, auto& out) {
                    receiver.steward.on_store_era(era, now_);
                    receiver.steward.on_tick(now_, out);
                });
            });
        }
    }
}

cw_ownership_simulation::~cw_ownership_simulation() = default;

void cw_ownership_simulation::schedule(std::chrono::milliseconds after, action task) {
    queue_.emplace(now_ + after, std::move(task));
}

bool cw_ownership_simulation::chance(double share) {
    return std::uniform_real_distribution<>{}(engine_) < share;
}

bool cw_ownership_simulation::is_disconnected(const std::string& one,
                                              const std::string& other) const {
    return disconnected_pairs_.contains({one, other}) || disconnected_pairs_.contains({other, one});
}

void cw_ownership_simulation::disconnect(const std::string& host, const std::string& other) {
    disconnected_pairs_.emplace(host, other);
}

void cw_ownership_simulation::reconnect_all() {
    disconnected_pairs_.clear();
}

void cw_ownership_simulation::run(std::chrono::milliseconds length) {
    const auto until = now_ + length;
    while (!queue_.empty() && queue_.begin()->first <= until) {
        auto next = queue_.extract(queue_.begin());
        now_ = next.key();
        next.mapped()();
    }
    now_ = until;
}

// -- Hosts

void cw_ownership_simulation::start_host(const std::string& host) {
    const auto incarnation = next_host_incarnation_++;
    hosts_[host] = std::make_unique<host_process>(
        host_process{host,
                     incarnation,
                     cw_steward{service, {host, incarnation, host + ":1"}, options_, engine_()},
                     {}});
    hosts_[host]->steward.set_cold_limit(has_cold_limit_);
    hosts_[host]->steward.set_longest_target(longest_target_);
    publish_entries();
    tick_host(host, incarnation);
    send_report(host, incarnation);
}

void cw_ownership_simulation::set_longest_target(std::chrono::milliseconds target,
                                                 std::chrono::milliseconds max_delay) {
    longest_target_ = target;
    for (const auto& [name, host] : hosts_) {
        const std::chrono::milliseconds delay{engine_() %
                                              static_cast<std::uint64_t>(max_delay.count() + 1)};
        schedule(delay, [this, name = name, incarnation = host->incarnation, target] {
            deliver(name, incarnation, [target](auto& receiver, auto& /*out*/) {
                receiver.steward.set_longest_target(target);
            });
        });
    }
}

void cw_ownership_simulation::kill_host(const std::string& host) {
    hosts_.erase(host);
}

void cw_ownership_simulation::freeze_host(const std::string& host,
                                          std::chrono::milliseconds length) {
    hosts_.at(host)->frozen_until = now_ + length;
}

void cw_ownership_simulation::stop_host(const std::string& host) {
    auto& process = *hosts_.at(host);
    cw_steward::commands commands;
    process.steward.on_stop(now_, commands);
    execute(process, commands);
    schedule(2'500ms, [this, host, incarnation = process.incarnation] {
        const auto found = hosts_.find(host);
        if (found != hosts_.end() && found->second->incarnation == incarnation) {
            hosts_.erase(found);
        }
    });
}

void cw_ownership_simulation::deliver(
    const std::string& host, std::uint64_t incarnation,
    const std::function<void(host_process&, cw_steward::commands&)>& handler) {
    const auto found = hosts_.find(host);
    if (found == hosts_.end() || found->second->incarnation != incarnation) {
        return;
    }
    auto& process = *found->second;
    if (now_ < process.frozen_until) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(process.frozen_until - now_);
        schedule(wait, [this, host, incarnation, handler] { deliver(host, incarnation, handler); });
        return;
    }
    cw_steward::commands commands;
    handler(process, commands);
    for (const auto& event : process.steward.take_events()) {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch() - 1'000s);
        history_.push_back(std::to_string(elapsed.count()) + " " + host + " " + event.type + " " +
                           event.subject + " " + event.detail);
    }
    execute(process, commands);
}

void cw_ownership_simulation::tick_host(const std::string& name, std::uint64_t incarnation) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end() || found->second->incarnation != incarnation) {
        return;
    }
    deliver(name, incarnation, [this](auto& host, auto& out) { host.steward.on_tick(now_, out); });
    schedule(tick_interval, [this, name, incarnation] { tick_host(name, incarnation); });
}

void cw_ownership_simulation::send_report(const std::string& name, std::uint64_t incarnation) {
    const auto found = hosts_.find(name);
    if (found == hosts_.end() || found->second->incarnation != incarnation) {
        return;
    }
    schedule(report_interval, [this, name, incarnation] { send_report(name, incarnation); });
    const auto target = found->second->steward.table().steward;
    if (target.host.empty() || now_ < found->second->frozen_until) {
        return;
    }
    const auto steward_host = hosts_.find(target.host);
    auto result = cw_report_result::answered;
    if (is_disconnected(name, target.host) ||
        (steward_host != hosts_.end() && now_ < steward_host->second->frozen_until)) {
        result = cw_report_result::no_answer;
    } else if (steward_host == hosts_.end()) {
        result = cw_report_result::refused;
    }
    if (result == cw_report_result::answered) {
        std::vector<cw_key_count> counts;
        for (const auto& [sample, rate] : load_) {
            const auto count = rate * 0.25 / static_cast<double>(hosts_.size());
            counts.push_back({key_of(sample), static_cast<std::uint32_t>(count)});
        }
        auto& steward = steward_host->second->steward;
        steward.on_host_process(name, incarnation, now_);
        steward.on_load(counts, now_);
        const auto copy = steward.table();
        const auto answer = !steward.is_steward() ? cw_report_result::no_answer
                            : steward.requests_successor(now_)
                                ? cw_report_result::requests_successor
                                : cw_report_result::answered;
        deliver(name, incarnation, [this, copy, answer](auto& host, auto&) {
            host.steward.on_peer_table(copy, now_);
            host.steward.on_report_result(answer, now_);
        });
        return;
    }
    deliver(name, incarnation,
            [this, result](auto& host, auto&) { host.steward.on_report_result(result, now_); });
}

// -- Upstreams

void cw_ownership_simulation::publish_entries() {
    std::map<std::string, cw_upstream_entry> entries;
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream->has_entry) {
            cw_upstream_entry entry;
            entry.id = id;
            entry.service = service;
            entry.address = id + ":1";
            entry.slots = 3;
            entry.leaving = upstream->leaving;
            entry.warm_at = upstream->warm_at;
            entry.incarnation = upstream->published_incarnation;
            entries.emplace(id, entry);
        }
    }
    for (auto& [name, host] : hosts_) {
        host->steward.on_upstreams(entries, now_);
    }
}

void cw_ownership_simulation::start_upstream(const std::string& id,
                                             std::chrono::milliseconds entry_lag,
                                             std::chrono::milliseconds cold) {
    auto upstream = std::make_unique<upstream_process>();
    upstream->id = id;
    upstream->incarnation = next_upstream_incarnation_++;
    upstream->warm_at = now_ + cold;
    const auto before = upstreams_.find(id);
    upstream->published_incarnation =
        before == upstreams_.end() ? upstream->incarnation : before->second->published_incarnation;
    upstreams_[id] = std::move(upstream);
    schedule(entry_lag, [this, id] {
        upstreams_.at(id)->published_incarnation = upstreams_.at(id)->incarnation;
        publish_entries();
    });
}

void cw_ownership_simulation::cool_upstream(const std::string& id, std::chrono::milliseconds cold) {
    upstreams_.at(id)->warm_at = now_ + cold;
    publish_entries();
}

void cw_ownership_simulation::start_work(const std::string& id, std::chrono::milliseconds length) {
    auto& upstream = *upstreams_.at(id);
    for (std::size_t sample = 0; sample < samples; ++sample) {
        if (upstream.holds(sample, now_)) {
            upstream.work_end.at(sample) = now_ + length;
        }
    }
}

void cw_ownership_simulation::crash_upstream(const std::string& id) {
    upstreams_.at(id)->is_up = false;
    schedule(2'600ms, [this, id, upstream_incarnation = upstreams_.at(id)->incarnation] {
        auto& upstream = *upstreams_.at(id);
        if (upstream.incarnation == upstream_incarnation) {
            upstream.has_entry = false;
            publish_entries();
        }
    });
}

void cw_ownership_simulation::drain_upstream(const std::string& id) {
    upstreams_.at(id)->leaving = true;
    publish_entries();
}

void cw_ownership_simulation::expire_upstream_entry(const std::string& id) {
    upstreams_.at(id)->has_entry = false;
    publish_entries();
}

void cw_ownership_simulation::check_running_work(const std::string& new_owner, std::size_t sample) {
    for (const auto& [id, other] : upstreams_) {
        const bool is_working =
            other->is_up && now_ < other->work_end.at(sample) && now_ < other->lease_end.at(sample);
        if (id != new_owner && is_working && violations_.size() < 20) {
            violations_.push_back("key " + std::to_string(key_of(sample)) + " went to " +
                                  new_owner + " while " + id + " worked on it");
        }
    }
}

cw_ownership_command_ended cw_ownership_simulation::apply_command(
    upstream_process& upstream, const cw_ownership_command& command, cw_boot_time& released) {
    cw_ownership_command_ended ended;
    ended.number = command.number;
    ended.result = cw_ownership_command_result::done;
    const bool is_grant = command.type == cw_ownership_command::kind::grant;
    for (std::size_t sample = 0; sample < samples; ++sample) {
        const bool is_in_range = command.first <= key_of(sample) && key_of(sample) <= command.last;
        if (is_grant && is_in_range && upstream.highest_fences.at(sample) > command.fence) {
            ended.result = cw_ownership_command_result::fenced;
            return ended;
        }
    }
    for (std::size_t sample = 0; sample < samples; ++sample) {
        if (key_of(sample) < command.first || key_of(sample) > command.last) {
            continue;
        }
        upstream.highest_fences.at(sample) =
            std::max(upstream.highest_fences.at(sample), command.fence);
        if (!is_grant && upstream.holds(sample, now_)) {
            released = std::max(released, upstream.work_end.at(sample));
        }
        upstream.held_until.at(sample) =
            is_grant ? now_ + std::chrono::duration_cast<std::chrono::nanoseconds>(command.lease *
                                                                                   slow_clock)
                     : cw_boot_time{};
        if (is_grant) {
            upstream.lease_end.at(sample) = upstream.held_until.at(sample);
            check_running_work(upstream.id, sample);
        }
        if (is_grant && last_holder_.at(sample) != upstream.id) {
            if (command.fence <= fences_.at(sample)) {
                violations_.push_back("key " + std::to_string(key_of(sample)) + " went to " +
                                      upstream.id + " with fence " + std::to_string(command.fence) +
                                      " after " + std::to_string(fences_.at(sample)));
            }
            moves_ += last_holder_.at(sample).empty() ? 0 : 1;
            last_holder_.at(sample) = upstream.id;
        }
        if (is_grant) {
            fences_.at(sample) = std::max(fences_.at(sample), command.fence);
        }
    }
    ended.handover = is_grant ? "" : "token";
    return ended;
}

void cw_ownership_simulation::check_samples() {
    schedule(check_interval, [this] { check_samples(); });
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
            last_held_.at(sample) = now_;
        } else {
            max_unheld_time_ =
                std::max(max_unheld_time_, std::chrono::duration_cast<std::chrono::milliseconds>(
                                               now_ - last_held_.at(sample)));
        }
    }
}

// -- Commands

void cw_ownership_simulation::execute(host_process& host, const cw_steward::commands& commands) {
    for (const auto& command : commands) {
        std::visit([&](const auto& typed_command) { execute(host, typed_command); }, command);
    }
}

std::optional<std::uint64_t>
cw_ownership_simulation::connected_process(host_process& host,
                                           const cw_ownership_command& grant) const {
    const auto& upstream = *upstreams_.at(grant.upstream.id);
    auto& connections = host.connections[upstream.id];
    std::erase_if(connections, [&](const connection& item) {
        return item.upstream_incarnation != upstream.incarnation;
    });
    const auto limit = host.continuity.established_by(grant);
    const bool is_known =
        std::any_of(connections.begin(), connections.end(),
                    [&](const connection& item) { return item.established_at <= limit; });
    if (is_known) {
        return upstream.incarnation;
    }
    if (connections.empty()) {
        connections.push_back({upstream.incarnation, now_ + message_delay});
    }
    return std::nullopt;
}

void cw_ownership_simulation::on_grant_answered(const std::string& host, std::uint64_t incarnation,
                                                const cw_ownership_command& grant,
                                                cw_boot_time sent_at) {
    // Now and then an upstream closes the connection after its answer.
    const bool is_closed = ++grant_answers_ % closing_interval == 0;
    schedule(message_delay, [=, this, process = upstreams_.at(grant.upstream.id)->incarnation] {
        deliver(host, incarnation, [=, this](auto& receiver, auto&) {
            receiver.continuity.on_answer(grant, sent_at);
            auto& connections = receiver.connections[grant.upstream.id];
            if (is_closed && !connections.empty()) {
                connections.erase(connections.begin());
            }
            if (connections.size() < 2) {
                connections.push_back({process, now_});
            }
        });
    });
}

void cw_ownership_simulation::execute(host_process& host, const cw_ownership_command& command) {
    if (late_senders_ > 0.0 && chance(late_senders_)) {
        send_late(host.name, host.incarnation, command,
                  std::chrono::milliseconds{engine_() % max_sender_delay_ms});
        return;
    }
    send_command(host, command);
}

void cw_ownership_simulation::send_late(const std::string& host, std::uint64_t incarnation,
                                        const cw_ownership_command& command,
                                        std::chrono::milliseconds delay) {
    schedule(delay, [=, this] {
        deliver(host, incarnation, [=, this](auto& sender, auto& out) {
            if (now_ <= command.send_by) {
                send_command(sender, command);
                return;
            }
            cw_ownership_command_ended ended;
            ended.number = command.number;
            ended.result = cw_ownership_command_result::late;
            ended.ended_at = now_;
            sender.steward.on_command_ended(ended, now_, out);
        });
    });
}

void cw_ownership_simulation::send_command(host_process& host,
                                           const cw_ownership_command& command) {
    const auto name = host.name;
    const auto incarnation = host.incarnation;
    const auto upstream = upstreams_.find(command.upstream.id);
    const auto timeout =
        command.type == cw_ownership_command::kind::release ? release_timeout : grant_timeout;
    const auto finish = [=, this](std::chrono::milliseconds after,
                                  cw_ownership_command_ended ended) {
        schedule(after, [=, this]() mutable {
            ended.ended_at = now_;
            deliver(name, incarnation, [=, this](auto& receiver, auto& out) {
                receiver.steward.on_command_ended(ended, now_, out);
            });
        });
    };
    cw_ownership_command_ended failed;
    failed.number = command.number;
    if (upstream == upstreams_.end() || is_disconnected(name, command.upstream.id)) {
        failed.result = cw_ownership_command_result::unanswered;
        finish(timeout, failed);
        return;
    }
    if (!upstream->second->is_up) {
        failed.result = cw_ownership_command_result::not_sent;
        finish(message_delay, failed);
        return;
    }
    std::optional<std::uint64_t> process;
    const auto sent_at = now_;
    if (command.type == cw_ownership_command::kind::grant) {
        process = connected_process(host, command);
        if (!process) {
            failed.result = cw_ownership_command_result::unconfirmed;
            failed.opened_connection = true;
            finish(2 * message_delay, failed);
            return;
        }
    }
    if (chance(late_commands_)) {
        const auto delay = std::chrono::milliseconds{2'000 + engine_() % 10'000};
        // The lease of a late command is shortened by the delay; a command whose lease would have
        // expired before its arrival is not executed.
        schedule(delay,
                 [this, command, delay, upstream_incarnation = upstream->second->incarnation] {
                     auto& target = *upstreams_.at(command.upstream.id);
                     auto late_command = command;
                     late_command.lease = std::max(command.lease - delay, 0ms);
                     if (target.is_up && target.incarnation == upstream_incarnation &&
                         late_command.lease > 0ms) {
                         cw_boot_time released{};
                         static_cast<void>(apply_command(target, late_command, released));
                     }
                 });
        failed.result = cw_ownership_command_result::unanswered;
        finish(timeout, failed);
        return;
    }
    // A command on a new connection is executed by the incarnation that runs when it arrives.
    schedule(message_delay, [=, this]() mutable {
        auto& target = *upstreams_.at(command.upstream.id);
        if (target.is_up && (!process || *process == target.incarnation)) {
            cw_boot_time released = now_;
            const auto ended = apply_command(target, command, released);
            const auto work = std::chrono::ceil<std::chrono::milliseconds>(released - now_);
            if (work < timeout) {
                if (process) {
                    on_grant_answered(name, incarnation, command, sent_at);
                }
                finish(message_delay + work, ended);
                return;
            }
        }
        failed.result = cw_ownership_command_result::unanswered;
        finish(message_delay, failed);
    });
}

void cw_ownership_simulation::execute(host_process& host, const cw_notify_predecessor& command) {
    if (is_disconnected(host.name, command.to.host)) {
        return;
    }
    schedule(message_delay, [this, command, from = host.name, incarnation = host.incarnation] {
        const auto table = *cw_key_table::parse(command.table);
        deliver(command.to.host, command.to.incarnation, [=, this](auto& earlier, auto&) {
            earlier.steward.on_succession(table, now_);
            const cw_succession_ack ack{
                command.to, command.term,
                earlier.steward.ended_stewardship().table_before(command.term)};
            schedule(message_delay, [=, this] {
                deliver(from, incarnation, [=, this](auto& receiver, auto&) {
                    receiver.steward.on_succession_ack(ack, now_);
                });
            });
        });
    });
}

void cw_ownership_simulation::answer_table(const host_process& host, cw_table_answer answer,
                                           bool is_answer_lost) {
    const auto name = host.name;
    const auto incarnation = host.incarnation;
    if (is_answer_lost) {
        answer = {};
    }
    answer.sent_at = now_ - store_delay;
    schedule(is_answer_lost ? store_timeout : 0ms, [=, this] {
        deliver(name, incarnation, [=, this](auto& receiver, auto& out) {
            receiver.steward.on_table_answer(answer, now_, out);
        });
    });
}

void cw_ownership_simulation::execute(host_process& host, const cw_read_table& /*command*/) {
    ++store_calls_;
    schedule(store_delay, [this, name = host.name, incarnation = host.incarnation] {
        const auto found = hosts_.find(name);
        if (found == hosts_.end() || found->second->incarnation != incarnation) {
            return;
        }
        cw_table_answer answer;
        answer.result = cw_table_result::done;
        answer.revision = store_.revision;
        answer.era = store_era_;
        if (store_.revision != 0) {
            answer.table = *cw_key_table::parse(store_.table);
        }
        answer_table(*found->second, answer, store_down_ || is_disconnected(name, "store"));
    });
}

void cw_ownership_simulation::execute(host_process& host, const cw_write_table& command) {
    ++store_calls_;
    schedule(store_delay, [this, command, name = host.name, incarnation = host.incarnation] {
        const bool is_reachable = !store_down_ && !is_disconnected(name, "store");
        cw_table_answer answer;
        answer.was_write = true;
        if (is_reachable) {
            const bool is_current = command.revision == store_.revision;
            if (is_current) {
                store_.table = command.text;
                ++store_.revision;
            }
            answer.result = is_current ? cw_table_result::done : cw_table_result::conflict;
            answer.revision = store_.revision;
            answer.era = store_era_;
            if (store_.revision != 0) {
                answer.table = *cw_key_table::parse(store_.table);
            }
        }
        const auto found = hosts_.find(name);
        if (found != hosts_.end() && found->second->incarnation == incarnation) {
            answer_table(*found->second, answer, !is_reachable || chance(lost_replies_));
        }
    });
}

void cw_ownership_simulation::execute(host_process& host, const cw_write_heartbeat& /*command*/) {
    ++store_calls_;
    cw_heartbeat_answer answer;
    answer.was_write = true;
    answer.done = !store_down_ && !is_disconnected(host.name, "store");
    answer.era = answer.done ? store_era_ : 0;
    store_.heartbeat += answer.done ? 1 : 0;
    schedule(store_delay, [this, answer, name = host.name, incarnation = host.incarnation] {
        deliver(name, incarnation, [=, this](auto& receiver, auto&) {
            receiver.steward.on_heartbeat_answer(answer, now_);
        });
    });
}

void cw_ownership_simulation::execute(host_process& host, const cw_read_heartbeat& /*command*/) {
    ++store_calls_;
    cw_heartbeat_answer answer;
    answer.done = !store_down_ && !is_disconnected(host.name, "store");
    answer.era = answer.done ? store_era_ : 0;
    answer.count = store_.heartbeat;
    schedule(store_delay, [this, answer, name = host.name, incarnation = host.incarnation] {
        deliver(name, incarnation, [=, this](auto& receiver, auto&) {
            receiver.steward.on_heartbeat_answer(answer, now_);
        });
    });
}

// -- Observation

void cw_ownership_simulation::reset_unheld_time() {
    max_unheld_time_ = 0ms;
    std::fill(last_held_.begin(), last_held_.end(), now_);
}

double cw_ownership_simulation::moved_share() const {
    return static_cast<double>(moves_) / static_cast<double>(samples);
}

std::vector<std::string> cw_ownership_simulation::stewards() const {
    std::vector<std::string> names;
    for (const auto& [name, host] : hosts_) {
        if (host->steward.is_steward()) {
            names.push_back(name);
        }
    }
    return names;
}

std::string cw_ownership_simulation::steward() const {
    for (const auto& [name, host] : hosts_) {
        if (now_ >= host->frozen_until && host->steward.may_grant(now_)) {
            return name;
        }
    }
    return {};
}

std::string cw_ownership_simulation::holder(std::size_t sample) const {
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream->holds(sample, now_)) {
            return id;
        }
    }
    return {};
}

std::vector<std::string> cw_ownership_simulation::hosts() const {
    std::vector<std::string> names;
    for (const auto& [name, host] : hosts_) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> cw_ownership_simulation::upstreams() const {
    std::vector<std::string> names;
    for (const auto& [id, upstream] : upstreams_) {
        names.push_back(id);
    }
    return names;
}
