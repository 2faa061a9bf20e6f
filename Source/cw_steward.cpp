#include "cw_steward.h"

#include "cw_refused_fences.h"

#include <algorithm>
#include <utility>

namespace {

using namespace std::chrono_literals;

/// Age of the last confirmation by the store after which the steward reads the table again.
constexpr auto confirm_interval = 1'500ms;
/// Time after which settled moves that are missing from the store's copy are written.
constexpr auto save_delay = 1'000ms;

std::string range_text(std::uint32_t first, std::uint32_t last) {
    return std::to_string(first) + "-" + std::to_string(last);
}

} // namespace

cw_steward::cw_steward(std::string service, cw_steward_id self, cw_steward_options options,
                       std::uint64_t seed)
    : service_{std::move(service)},
      self_{std::move(self)},
      options_{options},
      failure_detector_{options_, seed},
      pending_commands_{options_},
      predecessors_{options_, self_.host},
      wanted_lease_{options_.lease},
      longest_known_lease_{options_.lease},
      balance_{options_} {}

bool cw_steward::is_steward() const {
    return table_.steward == self_;
}

bool cw_steward::may_grant(cw_boot_time now) const {
    // A steward that resigns grants keys until the store has accepted its resignation, since no
    // other host can take over earlier.
    return is_steward() && now < confirmed_at_ + options_.tenure;
}

std::vector<cw_timeline_event> cw_steward::take_events() {
    return std::exchange(events_, {});
}

void cw_steward::record_event(std::string type, std::string subject, std::string detail) {
    events_.push_back({std::move(type), service_ + "/" + std::move(subject), std::move(detail)});
}

void cw_steward::on_tick(cw_boot_time now, commands& out) {
    if (!is_started_) {
        is_started_ = true;
        failure_detector_.reset(now);
        failure_detector_.delay_first_claim(now);
    }
    if (is_steward()) {
        run_as_steward(now, out);
    } else if (is_stopping_) {
        withdraw(now, out);
    } else {
        run_as_follower(now, out);
    }
}

void cw_steward::on_upstreams(const std::map<std::string, cw_upstream_entry>& entries,
                              cw_boot_time now) {
    upstreams_.clear();
    for (const auto& [id, entry] : entries) {
        if (entry.service == service_) {
            upstreams_.emplace(id, entry);
        }
    }
    speeds_.retain(upstreams_);
    if (upstreams_.size() > peak_upstreams_) {
        peak_upstreams_ = upstreams_.size();
        upstreams_grew_at_ = now;
    }
}

void cw_steward::on_load(const std::vector<cw_key_count>& counts, cw_boot_time now) {
    balance_.on_load(counts, now);
}

void cw_steward::on_speeds(const std::vector<cw_speed_sample>& samples) {
    for (const auto& sample : samples) {
        speeds_.add(sample);
    }
}

void cw_steward::on_peer_table(const cw_key_table& table, cw_boot_time now) {
    // A steward ignores copies. It learns of a successor from the store, which also returns the
    // revision, or from the successor's notice. A host that learns of its own claim in this way
    // grants nothing before the store has confirmed it.
    if (table.is_newer_than(table_) && !is_steward()) {
        adopt_table(table, now);
    }
}

void cw_steward::on_report_result(cw_report_result result, cw_boot_time now) {
    failure_detector_.on_report_result(result, now);
}

void cw_steward::on_store_era(std::uint64_t era, cw_boot_time now) {
    store_era_.on_named(era, now);
}

bool cw_steward::is_revision_current() const {
    return is_revision_known_ && revision_era_ == store_era_.number();
}

void cw_steward::on_host_process(const std::string& host, std::uint64_t incarnation,
                                 cw_boot_time now) {
    predecessors_.on_host_process(host, incarnation);
    drop_ended_predecessors(now);
}

void cw_steward::on_succession(const cw_key_table& table, cw_boot_time now) {
    if (table.term <= table_.term) {
        return;
    }
    adopt_table(table, now);
    // The successor's write has changed the store's revision.
    is_revision_known_ = false;
}

void cw_steward::on_succession_ack(const cw_succession_ack& event, cw_boot_time now) {
    if (event.term != table_.term) {
        return;
    }
    predecessors_.on_succession_ack(event.predecessor);
    // If its owners were certain, it was the steward all the time: nobody else has moved keys, and
    // its table holds its own moves that the store has lost.
    const bool proves_owners = event.predecessor == succeeded_ && event.table != nullptr &&
                               event.table->steward == succeeded_ &&
                               !event.table->are_owners_uncertain;
    if (is_steward() && table_.are_owners_uncertain && proves_owners && !succeeded_table_) {
        succeeded_table_ = event.table;
        note_lease(succeeded_table_->longest_lease);
        owners_certain_at_ = now + predecessors_.max_proved_wait();
        record_event("owners will be certain", self_.host, "acknowledged by " + succeeded_.host);
    }
    drop_ended_predecessors(now);
}

bool cw_steward::requests_successor(cw_boot_time now) const {
    return is_steward() && now > std::max(confirmed_at_, steward_since_) + options_.max_unconfirmed;
}

void cw_steward::set_tenure(std::chrono::milliseconds tenure) {
    // A successor with a shorter tenure than its predecessor would not wait for the predecessor's
    // last grants to expire, so a process never lowers its tenure.
    options_.tenure = std::max(options_.tenure, tenure);
}

void cw_steward::set_longest_target(std::chrono::milliseconds target) {
    wanted_lease_ = options_.lease_for_requests(target);
    note_lease(wanted_lease_);
}

void cw_steward::note_lease(std::chrono::milliseconds lease) {
    longest_known_lease_ = std::max(longest_known_lease_, lease);
    predecessors_.raise_max_lease(max_lease());
}

std::chrono::milliseconds cw_steward::granted_lease() const {
    return std::min(wanted_lease_, std::max(options_.lease, table_.longest_lease));
}

std::chrono::milliseconds cw_steward::max_lease() const {
    return options_.max_lease(longest_known_lease_);
}

void cw_steward::set_reader(bool is_reader) {
    is_reader_ = is_reader;
    failure_detector_.set_reader(is_reader);
}

void cw_steward::on_stop(cw_boot_time now, commands& out) {
    if (is_stopping_) {
        return;
    }
    is_stopping_ = true;
    if (is_steward()) {
        record_event("steward resigns", self_.host, "the process stops");
        resign(now, out);
    }
}

void cw_steward::resign(cw_boot_time now, commands& out) {
    if (!is_revision_current()) {
        read_table(now, out);
    } else if (!is_store_busy_ && now >= next_store_call_) {
        auto copy = table_;
        copy.steward = {};
        // This host grants keys until it learns that the store has accepted its resignation.
        copy.predecessors.push_back(self_);
        write_table(std::move(copy), out);
    }
}

void cw_steward::withdraw(cw_boot_time now, commands& out) {
    const auto& list = table_.predecessors;
    if (!table_.steward.host.empty() || !is_revision_current() || is_store_busy_ ||
        now < next_store_call_ || std::find(list.begin(), list.end(), self_) == list.end()) {
        return;
    }
    auto copy = table_;
    std::erase(copy.predecessors, self_);
    write_table(std::move(copy), out);
}

// -- Store

void cw_steward::read_table(cw_boot_time now, commands& out) {
    if (!is_store_busy_ && now >= next_store_call_) {
        is_store_busy_ = true;
        out.emplace_back(cw_read_table{service_});
    }
}

void cw_steward::write_table(cw_key_table table, commands& out) {
    is_store_busy_ = true;
    is_writing_table_ = true;
    table.edition = table_.edition + 1;
    unsaved_since_ = {};
    out.emplace_back(cw_write_table{service_, table.to_json(), revision_});
}

void cw_steward::on_table_answer(const cw_table_answer& event, cw_boot_time now, commands& out) {
    is_store_busy_ = false;
    is_writing_table_ = false;
    // An answer of an earlier era says nothing about what the store holds now.
    is_revision_known_ =
        event.result != cw_table_result::unknown && event.era >= store_era_.number();
    if (!is_revision_known_) {
        next_store_call_ = now + options_.store_retry_delay;
        return;
    }
    on_store_era(event.era, now);
    revision_ = event.revision;
    revision_era_ = event.era;
    const auto last_era = table_.term.era;
    const bool was_steward = is_steward();
    if (event.table) {
        // The store's copy determines the steward, even if this host's copy is newer.
        const bool is_stale = event.table->term < table_.term;
        if (!is_stale &&
            (event.table->is_newer_than(table_) || event.table->steward != table_.steward)) {
            adopt_table(*event.table, now);
        }
        if (!is_stale && event.table->steward == self_ && table_.term.era == store_era_.number()) {
            confirmed_at_ = event.sent_at;
        }
    }
    const bool is_lost = !event.table || event.table->term < table_.term;
    is_table_lost_ = is_steward() && (is_lost || table_.term.era < store_era_.number());
    if (was_steward && is_steward() && table_.term.era != last_era) {
        predecessors_.on_store_restored(options_, now);
        record_event("steward continues in a new era", self_.host, "term " + table_.term.text());
    }
    finish_moves(now);
    on_tick(now, out);
}

void cw_steward::start_stewardship(cw_boot_time now) {
    const auto wait = predecessors_.on_takeover(table_.predecessors, options_, now);
    pending_commands_.forget_upstreams();
    balance_.start_measuring(now);
    steward_since_ = now;
    succeeded_table_.reset();
    for (auto& state : range_states_) {
        for (auto& holder : state.holders) {
            holder.has_earlier_release = true;
        }
    }
    record_event("steward takes over", self_.host,
                 "term " + table_.term.text() + ", earlier grants end within " +
                     std::to_string(wait.count()) + " ms");
    if (table_.are_owners_uncertain) {
        record_event("owners are uncertain", self_.host,
                     "the store may have lost moves, nothing is granted until they are certain; "
                     "last fence " +
                         std::to_string(table_.last_fence));
    }
    drop_ended_predecessors(now);
}

void cw_steward::end_stewardship(cw_boot_time now) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - confirmed_at_);
    confirmed_at_ = {};
    is_table_lost_ = false;
    failure_detector_.on_succeeded(now);
    record_event("steward is succeeded", table_.steward.host,
                 "term " + table_.term.text() + ", last confirmed " + std::to_string(age.count()) +
                     " ms ago");
}

void cw_steward::on_heartbeat_answer(const cw_heartbeat_answer& event, cw_boot_time now) {
    is_heartbeat_busy_ = false;
    if (event.done) {
        on_store_era(event.era, now);
    }
    if (event.was_write || !event.done) {
        next_heartbeat_ = std::max(next_heartbeat_, now + options_.store_retry_delay);
        return;
    }
    failure_detector_.on_heartbeat(event.count, now);
    // A heartbeat of a later term shows that there is a steward that this host's table lacks.
    is_revision_known_ = is_revision_known_ && event.term <= table_.term;
}

// -- Follower

void cw_steward::run_as_follower(cw_boot_time now, commands& out) {
    if (!is_revision_known_) {
        read_table(now, out);
        return;
    }
    const bool is_vacant = table_.steward.host.empty() || table_.steward.host == self_.host;
    if (may_lack_moves(table_, now) && now < store_era_.seen_at() + options_.restore_grace) {
        return;
    }
    if (failure_detector_.may_claim(is_vacant, now)) {
        claim_stewardship(now, out);
    } else if (!is_vacant && failure_detector_.is_unresponsive(now) && !is_heartbeat_busy_ &&
               now >= next_heartbeat_) {
        is_heartbeat_busy_ = true;
        next_heartbeat_ = now + (is_reader_ ? options_.heartbeat_interval / 2
                                            : options_.follower_heartbeat_check_interval);
        out.emplace_back(cw_read_heartbeat{service_});
    }
}

void cw_steward::claim_stewardship(cw_boot_time now, commands& out) {
    if (!is_revision_current()) {
        read_table(now, out);
        return;
    }
    if (is_store_busy_ || now < next_store_call_) {
        return;
    }
    auto copy = table_;
    const auto& last = table_.steward;
    if (!last.host.empty() && !predecessors_.is_replaced(last)) {
        copy.predecessors.push_back(last);
    }
    succeeded_ = last;
    copy.steward = self_;
    copy.are_owners_uncertain = table_.are_owners_uncertain || may_lack_moves(table_, now);
    begin_term(copy, now);
    write_table(std::move(copy), out);
}

void cw_steward::begin_term(cw_key_table& table, cw_boot_time now) const {
    const bool lacks_moves = may_lack_moves(table, now);
    if (lacks_moves) {
        const auto& known = table.predecessors;
        if (std::find(known.begin(), known.end(), cw_steward_id::unknown()) == known.end()) {
            table.predecessors.push_back(cw_steward_id::unknown());
        }
    }
    const bool is_of_earlier_release = !table.names_era && table.term.era < store_era_.number();
    store_era_.skip_lost_fences(table);
    if ((lacks_moves && table.are_owners_uncertain) || is_of_earlier_release) {
        // An unknown steward may have moved any range away and back under higher fences. A steward
        // that goes on keeps its fences: owners that refuse them show that there was one. A table
        // of an earlier release does not tell whether it is of before the store's return.
        table.renew_fences();
    }
    table.term = {store_era_.number(), table.term.number + 1};
    table.names_era = true;
}

bool cw_steward::may_lack_moves(const cw_key_table& table, cw_boot_time now) const {
    return store_era_.may_lack_moves(table, now, predecessors_.max_unproved_wait(options_));
}

// -- Steward

void cw_steward::restore_table(cw_boot_time now, commands& out) {
    auto copy = table_;
    if (copy.term.era < store_era_.number()) {
        // A claim of an earlier era that the store did not confirm then may have been written over
        // the older copy: this host was not the steward of before.
        const bool was_confirmed = confirmed_at_ != cw_boot_time{};
        copy.are_owners_uncertain = copy.are_owners_uncertain || !was_confirmed;
        begin_term(copy, now);
    }
    record_event("steward writes a lost table again", self_.host, "term " + copy.term.text());
    write_table(std::move(copy), out);
}

bool cw_steward::may_unknown_steward_grant(cw_boot_time now) const {
    const auto& list = table_.predecessors;
    return now <= predecessors_.grants_end() &&
           std::find(list.begin(), list.end(), cw_steward_id::unknown()) != list.end();
}

bool cw_steward::are_owners_uncertain(cw_boot_time now) const {
    return table_.are_owners_uncertain && now <= predecessors_.grants_end();
}

void cw_steward::run_as_steward(cw_boot_time now, commands& out) {
    if (is_stopping_) {
        resign(now, out);
    }
    if (!is_heartbeat_busy_ && now >= next_heartbeat_) {
        is_heartbeat_busy_ = true;
        next_heartbeat_ = now + options_.heartbeat_interval;
        out.emplace_back(cw_write_heartbeat{service_, ++heartbeat_count_, table_.term});
    }
    if (!is_revision_current() || (now > confirmed_at_ + confirm_interval && !is_table_lost_)) {
        read_table(now, out);
    } else if (is_table_lost_ && !is_store_busy_ && now >= next_store_call_) {
        restore_table(now, out);
    } else {
        confirm_for_connections(now, out);
    }
    if (!may_grant(now)) {
        return;
    }
    drop_ended_predecessors(now);
    pending_commands_.discard_own_failures(upstreams_, now);
    for (const auto& predecessor : predecessors_.take_unnotified(table_.predecessors, now)) {
        out.emplace_back(
            cw_notify_predecessor{service_, predecessor, table_.term, table_.to_json()});
    }
    for (std::size_t index = 0; index < table_.ranges.size(); ++index) {
        send_commands_for_range(index, now, out);
    }
    probe_unresponsive(now, out);
    if (!is_stopping_ && !is_store_busy_ && is_revision_current() && !is_table_lost_ &&
        now >= next_store_call_) {
        if (are_owners_uncertain(now)) {
            write_acknowledged_owners(now, out);
        } else {
            plan_moves(now, out);
        }
    }
}

void cw_steward::confirm_for_connections(cw_boot_time now, commands& out) {
    if (is_steward() && !is_table_lost_ && confirmed_at_ < unconfirmed_at_ &&
        now >= next_confirmation_ && !is_store_busy_ && now >= next_store_call_) {
        next_confirmation_ = now + options_.confirmation_interval;
        read_table(now, out);
    }
}

void cw_steward::send_commands_for_upstream(const cw_key_owner& upstream, cw_boot_time now,
                                            commands& out) {
    if (!may_grant(now)) {
        return;
    }
    for (std::size_t index = 0; index < table_.ranges.size(); ++index) {
        const auto& holders = range_states_[index].holders;
        const bool is_affected =
            table_.ranges[index].owner == upstream ||
            std::any_of(holders.begin(), holders.end(),
                        [&](const auto& holder) { return holder.upstream == upstream; });
        if (is_affected) {
            send_commands_for_range(index, now, out);
        }
    }
}

void cw_steward::send_commands_for_range(std::size_t index, cw_boot_time now, commands& out) {
    const auto& range = table_.ranges[index];
    auto& state = range_states_[index];
    if (range.owner.id.empty() || are_owners_uncertain(now) || !release_holders(index, now, out) ||
        state.is_fenced || now < state.next_command ||
        pending_commands_.is_granting(range, range.owner) || has_ended(range.owner) ||
        pending_commands_.is_busy(range.owner)) {
        return;
    }
    cw_ownership_command command;
    command.type = cw_ownership_command::kind::grant;
    command.upstream = range.owner;
    command.first = range.first;
    command.last = range.last;
    command.fence = range.fence;
    command.lease = granted_lease();
    command.handover = state.is_confirmed ? std::string{} : state.handover;
    state.next_command = now + options_.renewal_interval;
    send_command(std::move(command), now, out);
}

void cw_steward::probe_unresponsive(cw_boot_time now, commands& out) {
    for (const auto& [id, entry] : upstreams_) {
        if (!pending_commands_.is_unresponsive(id, now)) {
            continue;
        }
        const cw_key_owner upstream{id, entry.incarnation, entry.address};
        const auto other_range =
            std::find_if(table_.ranges.begin(), table_.ranges.end(),
                         [&](const auto& range) { return range.owner.id != upstream.id; });
        const auto own_range =
            std::find_if(table_.ranges.begin(), table_.ranges.end(),
                         [&](const auto& range) { return range.owner == upstream; });
        // An owner needs no probe, since its grants show whether it answers.
        if (other_range == table_.ranges.end() || own_range != table_.ranges.end() ||
            !pending_commands_.start_probe(upstream, now)) {
            continue;
        }
        send_command(cw_ownership_command::probe(upstream, other_range->first), now, out);
    }
}

bool cw_steward::release_holders(std::size_t index, cw_boot_time now, commands& out) {
    const auto& range = table_.ranges[index];
    auto& state = range_states_[index];
    bool all_released = true;
    for (auto& holder : state.holders) {
        holder.is_released = holder.is_released || !can_hold(range, holder, now);
        if (holder.is_released) {
            // A grant that waits for a connection may reach a process which started again after
            // the release and does not know its fence.
            all_released = all_released && !pending_commands_.is_granting(range, holder.upstream);
            continue;
        }
        all_released = false;
        if (holder.release_fence != 0 || now < holder.next_release ||
            pending_commands_.is_busy(holder.upstream)) {
            continue;
        }
        holder.next_release = now + options_.release_retry_interval;
        holder.release_fence = range.fence;
        cw_ownership_command command;
        command.type = cw_ownership_command::kind::release;
        command.upstream = holder.upstream;
        command.first = range.first;
        command.last = range.last;
        command.fence = range.fence;
        send_command(std::move(command), now, out);
    }
    return all_released;
}

bool cw_steward::can_hold(const cw_key_range& range, const cw_key_holder& holder,
                          cw_boot_time now) const {
    // A later incarnation with the same id does not prove that the holder has no keys: until the
    // upstream's entry shows the new incarnation, renewals meant for the earlier one reach the new
    // one. It answers a release at once.
    if (pending_commands_.is_replaced(holder.upstream)) {
        return false;
    }
    if (holder.work_end != cw_boot_time{} && now > holder.work_end) {
        return false;
    }
    return now <= std::max(holder.lease_end, predecessors_.grants_end()) ||
           pending_commands_.is_granting(range, holder.upstream);
}

bool cw_steward::has_ended(const cw_key_owner& owner) const {
    const auto present = upstreams_.find(owner.id);
    const bool is_restarted =
        present != upstreams_.end() && present->second.incarnation > owner.incarnation;
    return is_restarted || pending_commands_.is_replaced(owner);
}

void cw_steward::send_command(cw_ownership_command command, cw_boot_time now, commands& out) {
    command.service = service_;
    command.decided_at = now;
    command.confirmed_at = confirmed_at_;
    command.send_by = now + options_.max_send_delay;
    pending_commands_.add(command, now);
    out.emplace_back(std::move(command));
}

void cw_steward::on_command_ended(const cw_ownership_command_ended& event, cw_boot_time now,
                                  commands& out) {
    const auto ended = pending_commands_.take_ended(event, now);
    if (!ended) {
        return;
    }
    const auto& command = *ended;
    if (event.result == cw_ownership_command_result::other_upstream) {
        record_event("owner has ended", command.upstream.id,
                     "another upstream answers at its address");
    }
    if (command.type == cw_ownership_command::kind::grant) {
        on_grant_ended(command, event, now);
    } else if (command.type == cw_ownership_command::kind::release) {
        on_release_ended(command, event);
    } else if (event.result == cw_ownership_command_result::done) {
        record_event("upstream answers again", command.upstream.id, "");
    }
    finish_moves(now);
    if (event.result == cw_ownership_command_result::unconfirmed) {
        confirm_for_connections(now, out);
        return;
    }
    const bool is_routine = command.type == cw_ownership_command::kind::grant &&
                            event.result == cw_ownership_command_result::done;
    if (is_routine) {
        send_commands_for_upstream(command.upstream, now, out);
    } else if (is_steward()) {
        run_as_steward(now, out);
    }
}

void cw_steward::on_grant_ended(const cw_ownership_command& command,
                                const cw_ownership_command_ended& event, cw_boot_time now) {
    const bool done = event.result == cw_ownership_command_result::done;
    const bool may_have_arrived = done || event.result == cw_ownership_command_result::unanswered;
    const auto lease_end = event.ended_at + options_.max_lease(command.lease);
    if (event.result == cw_ownership_command_result::unconfirmed) {
        unconfirmed_at_ = std::max(unconfirmed_at_, event.ended_at);
    }
    for (std::size_t index = 0; index < table_.ranges.size(); ++index) {
        const auto& range = table_.ranges[index];
        auto& state = range_states_[index];
        if (!cw_overlaps(range, command)) {
            continue;
        }
        for (auto& holder : state.holders) {
            if (may_have_arrived && holder.upstream == command.upstream) {
                holder.lease_end = std::max(holder.lease_end, lease_end);
            }
        }
        if (range.owner != command.upstream) {
            continue;
        }
        if (may_have_arrived) {
            state.lease_end = std::max(state.lease_end, lease_end);
        }
        if (range.fence == command.fence) {
            state.is_confirmed = state.is_confirmed || done;
            state.is_fenced = event.result == cw_ownership_command_result::fenced;
            if (done) {
                state.refused_fences = 0;
            } else if (state.is_fenced) {
                ++state.refused_fences;
            }
            if (!done) {
                state.next_command = now + options_.command_retry_delay;
            }
        }
    }
}

void cw_steward::on_holder_released(cw_key_holder& holder,
                                    const cw_ownership_command_ended& event) const {
    if (holder.has_earlier_release) {
        holder.work_end = event.ended_at + max_lease();
    } else {
        holder.is_released = true;
    }
}

void cw_steward::on_release_ended(const cw_ownership_command& command,
                                  const cw_ownership_command_ended& event) {
    for (std::size_t index = 0; index < table_.ranges.size(); ++index) {
        const auto& range = table_.ranges[index];
        if (range.first < command.first || range.last > command.last) {
            continue;
        }
        auto& state = range_states_[index];
        for (auto& holder : state.holders) {
            if (holder.upstream != command.upstream || holder.release_fence != command.fence) {
                continue;
            }
            if (event.result == cw_ownership_command_result::done) {
                on_holder_released(holder, event);
                state.handover = event.handover.empty() ? state.handover : event.handover;
            } else if (event.result == cw_ownership_command_result::not_sent ||
                       event.result == cw_ownership_command_result::late) {
                holder.release_fence = 0;
            }
        }
    }
}

void cw_steward::finish_moves(cw_boot_time now) {
    if (is_writing_table_ || !is_steward()) {
        return;
    }
    bool changed = false;
    for (std::size_t index = 0; index < table_.ranges.size(); ++index) {
        auto& range = table_.ranges[index];
        if (range.is_moving() && range_states_[index].is_confirmed) {
            range.previous_owners.clear();
            range_states_[index].holders.clear();
            changed = true;
            record_event("keys settled", range.owner.id,
                         range_text(range.first, range.last) + " fence " +
                             std::to_string(range.fence));
        }
    }
    if (changed) {
        ++table_.edition;
        if (unsaved_since_ == cw_boot_time{}) {
            unsaved_since_ = now;
        }
    }
}

void cw_steward::drop_ended_predecessors(cw_boot_time now) {
    if (is_steward() && table_.are_owners_uncertain && !are_owners_uncertain(now)) {
        table_.are_owners_uncertain = false;
        ++table_.edition;
        unsaved_since_ = now;
        record_event("owners are certain", self_.host, "earlier grants have ended");
    }
    if (is_steward() && predecessors_.drop_ended(table_.predecessors, now)) {
        record_event("earlier stewards have ended", self_.host, "");
    }
}

// -- Planning

std::vector<cw_key_candidate> cw_steward::candidates(cw_boot_time now) const {
    std::vector<cw_key_candidate> list;
    std::size_t unresponsive = 0;
    for (const auto& [id, entry] : upstreams_) {
        unresponsive += pending_commands_.is_unresponsive(id, now) ? 1 : 0;
    }
    // If more than half of the upstreams are unresponsive, a network failure of this host is more
    // likely than a failure of all of them.
    const bool can_trust_failures = unresponsive * 2 <= upstreams_.size();
    const double mean_speed = speeds_.mean_speed();
    for (const auto& [id, entry] : upstreams_) {
        const cw_key_owner owner{id, entry.incarnation, entry.address};
        if (entry.leaving || has_ended(owner) ||
            (can_trust_failures && pending_commands_.is_unresponsive(id, now))) {
            continue;
        }
        list.push_back({owner, entry.slots * speeds_.relative_speed(id, mean_speed),
                        now >= entry.warm_at, balance_.is_cooling_down(id, now)});
    }
    const auto is_warm = [](const cw_key_candidate& candidate) { return candidate.warm; };
    const auto warm = static_cast<std::size_t>(std::count_if(list.begin(), list.end(), is_warm));
    if (has_cold_limit_ && warm * 2 >= list.size()) {
        std::erase_if(list, [&](const auto& candidate) { return !is_warm(candidate); });
    }
    return list;
}

void cw_steward::plan_moves(cw_boot_time now, commands& out) {
    const bool is_first_plan =
        std::none_of(table_.ranges.begin(), table_.ranges.end(),
                     [](const auto& range) { return !range.owner.id.empty(); });
    if (upstreams_.empty() ||
        (is_first_plan && now < upstreams_grew_at_ + options_.initial_grant_delay)) {
        return;
    }
    const auto list = candidates(now);
    if (list.empty()) {
        return;
    }
    auto next = table_;
    // A higher fence may be that of an unknown steward, which granted the range to another owner.
    if (!may_unknown_steward_grant(now)) {
        if (const auto count = cw_raise_refused_fences(next, range_states_); count > 0) {
            record_event("owners have seen higher fences", self_.host,
                         std::to_string(count) + " ranges continue with fences up to " +
                             std::to_string(next.last_fence));
        }
    }
    // A new steward knows no speeds yet. Balancing without them would revert the moves that its
    // predecessor made with them.
    const bool knows_speeds =
        speeds_.has_enough_for(list.size()) || now > steward_since_ + options_.max_speed_wait;
    const auto moves = balance_.plan_moves(next, list, knows_speeds, now);
    for (const auto& move : moves) {
        record_event("keys move", move.to.id,
                     range_text(move.first, move.last) + " from " +
                         next.range_of(move.first).owner.id);
    }
    next.apply(moves);
    if (wanted_lease_ > std::max(options_.lease, next.longest_lease)) {
        next.longest_lease = wanted_lease_;
        record_event("leases get longer", self_.host,
                     std::to_string(wanted_lease_.count()) + " ms at most");
    }
    const bool should_save = unsaved_since_ != cw_boot_time{} && now > unsaved_since_ + save_delay;
    if (next.ranges != table_.ranges || next.longest_lease != table_.longest_lease || should_save) {
        write_table(std::move(next), out);
    }
}

void cw_steward::write_acknowledged_owners(cw_boot_time now, commands& out) {
    if (!succeeded_table_ || now <= owners_certain_at_) {
        return;
    }
    auto next = table_;
    // Nothing has been granted under the fences of this host's claim. The owners keep those of the
    // steward of before: one that refuses its fence shows that there was an unknown steward.
    next.ranges = succeeded_table_->ranges;
    next.last_fence = std::max(next.last_fence, succeeded_table_->last_fence);
    next.longest_lease = std::max(next.longest_lease, succeeded_table_->longest_lease);
    next.are_owners_uncertain = false;
    record_event("owners are certain", self_.host, "they are those of " + succeeded_.host);
    write_table(std::move(next), out);
}

// -- Key table

void cw_steward::adopt_table(const cw_key_table& table, cw_boot_time now) {
    const bool was_steward = is_steward();
    std::vector<cw_range_state> states;
    if (is_steward() || table.steward == self_) {
        states.reserve(table.ranges.size());
        for (const auto& range : table.ranges) {
            states.push_back(cw_next_range_state(range, table_, range_states_));
        }
    } else {
        // Followers need no state. A host that becomes steward later waits until all earlier
        // grants have expired, including its own.
        states.resize(table.ranges.size());
    }
    if (table.steward != table_.steward) {
        failure_detector_.reset(now);
    }
    if (was_steward && table.steward != self_) {
        ended_stewardship_ = {std::make_shared<const cw_key_table>(std::move(table_)), table.term};
    }
    table_ = table;
    note_lease(table_.longest_lease);
    range_states_ = std::move(states);
    if (is_steward() && !was_steward) {
        start_stewardship(now);
    } else if (was_steward && !is_steward()) {
        end_stewardship(now);
    }
}
