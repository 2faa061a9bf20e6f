#include "cw_steward.h"

#include <algorithm>
#include <utility>

namespace {

using namespace std::chrono_literals;

/// Age of the last confirmation from which the steward asks the store again.
constexpr auto confirm_interval = 1'500ms;
/// Time for which settled moves may be missing from the store's copy.
constexpr auto save_delay = 1'000ms;
/// Below every fence that moves keys, so that a probe which arrives late takes nothing away.
constexpr std::uint64_t lowest_fence = 1;
/// Fences that are skipped when an owner has seen a higher one.
constexpr std::uint64_t fence_skip = 64;

std::string span_of(std::uint32_t first, std::uint32_t last) {
    return std::to_string(first) + "-" + std::to_string(last);
}

} // namespace

cw_steward::cw_steward(std::string service, cw_steward_id self, cw_steward_options options,
                       std::uint64_t seed)
    : service_{std::move(service)},
      self_{std::move(self)},
      options_{options},
      suspicion_{options_, seed},
      orders_{options_},
      predecessors_{options_, self_.host},
      balance_{options_} {}

bool cw_steward::is_steward() const {
    return table_.steward == self_;
}

bool cw_steward::may_grant(cw_boot_time now) const {
    // One that resigns goes on until the store has taken its resignation: nobody else can begin
    // before.
    return is_steward() && now < confirmed_ + options_.tenure;
}

std::vector<cw_timeline_event> cw_steward::take_events() {
    return std::exchange(events_, {});
}

void cw_steward::note(std::string what, std::string subject, std::string detail) {
    events_.push_back({std::move(what), service_ + "/" + std::move(subject), std::move(detail)});
}

void cw_steward::on_tick(cw_boot_time now, commands& out) {
    if (!is_started_) {
        is_started_ = true;
        suspicion_.reset(now);
        suspicion_.wait_for_others(now);
    }
    if (is_steward()) {
        lead(now, out);
    } else if (!stopping_) {
        follow(now, out);
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
    speeds_.keep(upstreams_);
    if (upstreams_.size() > most_upstreams_) {
        most_upstreams_ = upstreams_.size();
        upstreams_grew_ = now;
    }
}

void cw_steward::on_load(const std::vector<cw_key_count>& counts, cw_boot_time now) {
    balance_.on_load(counts, now);
}

void cw_steward::on_speeds(const std::vector<cw_speed_note>& notes) {
    for (const auto& note : notes) {
        speeds_.on_note(note);
    }
}

void cw_steward::on_copy(const cw_key_table& table, cw_boot_time now) {
    // A steward learns of a successor from the store only, which also tells it the revision.
    if (table.is_newer_than(table_) && !is_steward()) {
        adopt(table, now);
    }
}

void cw_steward::on_contact(cw_contact contact, cw_boot_time now) {
    suspicion_.on_contact(contact, now);
}

void cw_steward::on_member(const std::string& host, std::uint64_t incarnation, cw_boot_time now) {
    predecessors_.on_process(host, incarnation);
    check_predecessors(now);
}

void cw_steward::on_succession(const cw_key_table& table, cw_boot_time now) {
    if (table.term <= table_.term) {
        return;
    }
    const bool was_steward = is_steward();
    adopt(table, now);
    // The revision that was read is no longer the latest.
    is_read_ = false;
    if (was_steward) {
        suspicion_.on_succeeded(now);
        note("steward is succeeded", table_.steward.host,
             "term " + std::to_string(table_.term) + ", by its own word");
    }
}

void cw_steward::on_gave_way(const cw_gave_way& event, cw_boot_time now) {
    if (event.term != table_.term) {
        return;
    }
    predecessors_.on_gave_way(event.who);
    check_predecessors(now);
}

bool cw_steward::seeks_successor(cw_boot_time now) const {
    return is_steward() && now > confirmed_ + options_.most_unconfirmed;
}

void cw_steward::set_tenure(std::chrono::milliseconds tenure) {
    // A successor that relies on a shorter tenure than its predecessor had would not wait for its
    // last grants, so a bound only grows within the life of a process.
    options_.tenure = std::max(options_.tenure, tenure);
}

void cw_steward::set_reader(bool is_reader) {
    is_reader_ = is_reader;
    suspicion_.set_reader(is_reader);
}

void cw_steward::on_stop(cw_boot_time now, commands& out) {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    if (is_steward()) {
        note("steward resigns", self_.host, "the process stops");
        resign(now, out);
    }
}

void cw_steward::resign(cw_boot_time now, commands& out) {
    if (!is_read_) {
        read(now, out);
    } else if (!store_busy_ && now >= next_store_call_) {
        auto copy = table_;
        copy.steward = {};
        write(std::move(copy), out);
    }
}

// -- the store

void cw_steward::read(cw_boot_time now, commands& out) {
    if (!store_busy_ && now >= next_store_call_) {
        store_busy_ = true;
        out.emplace_back(cw_read_table{service_});
    }
}

void cw_steward::write(cw_key_table table, commands& out) {
    store_busy_ = true;
    writing_ = true;
    table.edition = table_.edition + 1;
    unsaved_since_ = {};
    out.emplace_back(cw_write_table{service_, table.to_text(), revision_});
}

void cw_steward::on_table_answer(const cw_table_answer& event, cw_boot_time now, commands& out) {
    store_busy_ = false;
    writing_ = false;
    is_read_ = event.result != cw_table_result::unknown;
    if (!is_read_) {
        next_store_call_ = now + options_.store_retry;
        return;
    }
    revision_ = event.revision;
    const bool was_steward = is_steward();
    if (event.table) {
        // The store's copy decides who the steward is, also when this host's own copy is ahead.
        const bool is_stale = event.table->term < table_.term;
        if (!is_stale &&
            (event.table->is_newer_than(table_) || event.table->steward != table_.steward)) {
            adopt(*event.table, now);
        }
        if (!is_stale && event.table->steward == self_) {
            confirmed_ = event.sent;
        }
    }
    if (is_steward() && !was_steward) {
        begin_office(now);
    }
    if (was_steward && !is_steward()) {
        suspicion_.on_succeeded(now);
        note("steward is succeeded", table_.steward.host, "term " + std::to_string(table_.term));
    }
    settle(now);
    on_tick(now, out);
}

void cw_steward::begin_office(cw_boot_time now) {
    const auto wait = predecessors_.begin(table_.predecessors, options_, now);
    orders_.forget_upstreams();
    balance_.start_measuring(now);
    leads_since_ = now;
    for (auto& state : states_) {
        for (auto& who : state.holders) {
            who.released_before = true;
        }
    }
    note("steward takes over", self_.host,
         "term " + std::to_string(table_.term) + ", earlier grants end within " +
             std::to_string(wait.count()) + " ms");
    check_predecessors(now);
}

void cw_steward::on_beat_answer(const cw_beat_answer& event, cw_boot_time now) {
    beat_busy_ = false;
    if (event.was_write || !event.done) {
        next_beat_ = std::max(next_beat_, now + options_.store_retry);
        return;
    }
    suspicion_.on_beat(event.count, now);
    // Beats of a later term: another steward is in office, and this host has not heard of it.
    is_read_ = is_read_ && event.term <= table_.term;
}

// -- following

void cw_steward::follow(cw_boot_time now, commands& out) {
    if (!is_read_) {
        read(now, out);
        return;
    }
    const bool is_vacant = table_.steward.host.empty() || table_.steward.host == self_.host;
    if (suspicion_.may_claim(is_vacant, now)) {
        claim(now, out);
    } else if (!is_vacant && suspicion_.is_silent(now) && !beat_busy_ && now >= next_beat_) {
        beat_busy_ = true;
        next_beat_ = now + (is_reader_ ? options_.beat / 2 : options_.follower_beat_look);
        out.emplace_back(cw_read_beat{service_});
    }
}

void cw_steward::claim(cw_boot_time now, commands& out) {
    if (store_busy_ || now < next_store_call_) {
        return;
    }
    auto copy = table_;
    const auto& last = table_.steward;
    if (!last.host.empty() && !predecessors_.is_replaced(last)) {
        copy.predecessors.push_back(last);
    }
    copy.steward = self_;
    ++copy.term;
    write(std::move(copy), out);
}

// -- leading

void cw_steward::lead(cw_boot_time now, commands& out) {
    if (stopping_) {
        resign(now, out);
    }
    if (!beat_busy_ && now >= next_beat_) {
        beat_busy_ = true;
        next_beat_ = now + options_.beat;
        out.emplace_back(cw_write_beat{service_, ++beat_, table_.term});
    }
    if (!is_read_ || now > confirmed_ + confirm_interval) {
        read(now, out);
    }
    if (!may_grant(now)) {
        return;
    }
    check_predecessors(now);
    for (const auto& earlier : predecessors_.take_untold(table_.predecessors, now)) {
        out.emplace_back(cw_tell_predecessor{service_, earlier, table_.term, table_.to_text()});
    }
    for (std::size_t place = 0; place < table_.ranges.size(); ++place) {
        order_range(place, now, out);
    }
    probe_silent(now, out);
    if (!stopping_ && !store_busy_ && is_read_ && now >= next_store_call_) {
        plan(now, out);
    }
}

void cw_steward::order_ranges_of(const cw_key_owner& upstream, cw_boot_time now, commands& out) {
    if (!may_grant(now)) {
        return;
    }
    for (std::size_t place = 0; place < table_.ranges.size(); ++place) {
        const auto& holders = states_[place].holders;
        const bool concerned = table_.ranges[place].owner == upstream ||
                               std::any_of(holders.begin(), holders.end(),
                                           [&](const auto& held) { return held.who == upstream; });
        if (concerned) {
            order_range(place, now, out);
        }
    }
}

void cw_steward::order_range(std::size_t place, cw_boot_time now, commands& out) {
    const auto& range = table_.ranges[place];
    auto& state = states_[place];
    if (range.owner.id.empty() || !free_holders(place, now, out) || now < state.next_order ||
        orders_.is_granting(range, range.owner) || has_ended(range.owner) ||
        orders_.is_busy(range.owner)) {
        return;
    }
    cw_key_order order;
    order.what = cw_key_order::kind::grant;
    order.upstream = range.owner;
    order.first = range.first;
    order.last = range.last;
    order.fence = range.fence;
    order.lease = options_.lease;
    order.handover = state.confirmed ? std::string{} : state.handover;
    state.next_order = now + options_.renewal;
    send(std::move(order), out);
}

void cw_steward::probe_silent(cw_boot_time now, commands& out) {
    for (const auto& [id, entry] : upstreams_) {
        if (!orders_.is_silent(id, now)) {
            continue;
        }
        const cw_key_owner upstream{id, entry.incarnation, entry.address};
        const auto other =
            std::find_if(table_.ranges.begin(), table_.ranges.end(),
                         [&](const auto& range) { return range.owner.id != upstream.id; });
        const auto own = std::find_if(table_.ranges.begin(), table_.ranges.end(),
                                      [&](const auto& range) { return range.owner == upstream; });
        // An owner is asked by its grants.
        if (other == table_.ranges.end() || own != table_.ranges.end() ||
            !orders_.take_probe(upstream, now)) {
            continue;
        }
        cw_key_order order;
        order.what = cw_key_order::kind::probe;
        order.upstream = upstream;
        order.first = other->first;
        order.last = other->first;
        order.fence = lowest_fence;
        send(std::move(order), out);
    }
}

bool cw_steward::free_holders(std::size_t place, cw_boot_time now, commands& out) {
    const auto& range = table_.ranges[place];
    auto& state = states_[place];
    bool all_free = true;
    for (auto& who : state.holders) {
        who.is_free = who.is_free || !can_hold(range, who, now);
        if (who.is_free) {
            continue;
        }
        all_free = false;
        if (who.release_fence != 0 || now < who.next_release || orders_.is_busy(who.who)) {
            continue;
        }
        who.next_release = now + options_.release_retry;
        who.release_fence = range.fence;
        cw_key_order order;
        order.what = cw_key_order::kind::release;
        order.upstream = who.who;
        order.first = range.first;
        order.last = range.last;
        order.fence = range.fence;
        send(std::move(order), out);
    }
    return all_free;
}

bool cw_steward::can_hold(const cw_key_range& range, const cw_key_holder& who,
                          cw_boot_time now) const {
    // A later life under the same id proves nothing: until its entry told of it, the renewals meant
    // for the earlier life have reached it. It answers a release at once.
    if (orders_.is_replaced(who.who)) {
        return false;
    }
    if (who.work_end != cw_boot_time{} && now > who.work_end) {
        return false;
    }
    return now <= std::max(who.hold_end, predecessors_.end()) ||
           orders_.is_granting(range, who.who);
}

bool cw_steward::has_ended(const cw_key_owner& owner) const {
    const auto present = upstreams_.find(owner.id);
    const bool is_reborn =
        present != upstreams_.end() && present->second.incarnation > owner.incarnation;
    return is_reborn || orders_.is_replaced(owner);
}

void cw_steward::send(cw_key_order order, commands& out) {
    order.service = service_;
    orders_.add(order);
    out.emplace_back(std::move(order));
}

void cw_steward::on_order_ended(const cw_order_ended& event, cw_boot_time now, commands& out) {
    const auto ended = orders_.end(event, now);
    if (!ended) {
        return;
    }
    const auto& order = *ended;
    if (event.result == cw_order_result::other_upstream) {
        note("owner has ended", order.upstream.id, "another upstream answers at its address");
    }
    if (order.what == cw_key_order::kind::grant) {
        on_grant_ended(order, event, now);
    } else if (order.what == cw_key_order::kind::release) {
        on_release_ended(order, event);
    } else if (event.result == cw_order_result::done) {
        note("upstream answers again", order.upstream.id, "");
    }
    settle(now);
    const bool is_routine =
        order.what == cw_key_order::kind::grant && event.result == cw_order_result::done;
    if (is_routine) {
        order_ranges_of(order.upstream, now, out);
    } else if (is_steward()) {
        lead(now, out);
    }
}

void cw_steward::on_grant_ended(const cw_key_order& order, const cw_order_ended& event,
                                cw_boot_time now) {
    const bool done = event.result == cw_order_result::done;
    const bool arrived = done || event.result == cw_order_result::unanswered;
    const auto end = event.ended + options_.longest_hold();
    for (std::size_t place = 0; place < table_.ranges.size(); ++place) {
        const auto& range = table_.ranges[place];
        auto& state = states_[place];
        if (!cw_overlap(range, order)) {
            continue;
        }
        for (auto& who : state.holders) {
            if (arrived && who.who == order.upstream) {
                who.hold_end = std::max(who.hold_end, end);
            }
        }
        if (range.owner != order.upstream) {
            continue;
        }
        if (arrived) {
            state.hold_end = std::max(state.hold_end, end);
        }
        if (range.fence == order.fence) {
            state.confirmed = state.confirmed || done;
            state.fenced = event.result == cw_order_result::fenced;
            if (!done) {
                state.next_order = now + options_.order_retry;
            }
        }
    }
}

void cw_steward::on_released(cw_key_holder& who, const cw_order_ended& event) const {
    if (who.released_before) {
        who.work_end = event.ended + options_.longest_hold();
    } else {
        who.is_free = true;
    }
}

void cw_steward::on_release_ended(const cw_key_order& order, const cw_order_ended& event) {
    for (std::size_t place = 0; place < table_.ranges.size(); ++place) {
        const auto& range = table_.ranges[place];
        if (range.first < order.first || range.last > order.last) {
            continue;
        }
        auto& state = states_[place];
        for (auto& who : state.holders) {
            if (who.who != order.upstream || who.release_fence != order.fence) {
                continue;
            }
            if (event.result == cw_order_result::done) {
                on_released(who, event);
                state.handover = event.handover.empty() ? state.handover : event.handover;
            } else if (event.result == cw_order_result::not_sent) {
                who.release_fence = 0;
            }
        }
    }
}

void cw_steward::settle(cw_boot_time now) {
    if (writing_ || !is_steward()) {
        return;
    }
    bool changed = false;
    for (std::size_t place = 0; place < table_.ranges.size(); ++place) {
        auto& range = table_.ranges[place];
        if (range.is_moving() && states_[place].confirmed) {
            range.previous_owners.clear();
            states_[place].holders.clear();
            changed = true;
            note("keys settled", range.owner.id,
                 span_of(range.first, range.last) + " fence " + std::to_string(range.fence));
        }
    }
    if (changed) {
        ++table_.edition;
        if (unsaved_since_ == cw_boot_time{}) {
            unsaved_since_ = now;
        }
    }
}

void cw_steward::check_predecessors(cw_boot_time now) {
    if (is_steward() && predecessors_.drop_ended(table_.predecessors, now)) {
        note("earlier stewards have ended", self_.host, "");
    }
}

// -- planning

std::vector<cw_key_candidate> cw_steward::candidates(cw_boot_time now) const {
    std::vector<cw_key_candidate> list;
    std::size_t silent = 0;
    for (const auto& [id, entry] : upstreams_) {
        silent += orders_.is_silent(id, now) ? 1 : 0;
    }
    // When most are silent, this host is more likely to be cut off than all of them to be lost.
    const bool trust_silence = silent * 2 <= upstreams_.size();
    const double mean_speed = speeds_.mean_speed();
    for (const auto& [id, entry] : upstreams_) {
        const cw_key_owner owner{id, entry.incarnation, entry.address};
        if (entry.leaving || has_ended(owner) || (trust_silence && orders_.is_silent(id, now))) {
            continue;
        }
        list.push_back({owner, entry.slots * speeds_.factor(id, mean_speed), now >= entry.warm_at,
                        balance_.is_cooling_down(id, now)});
    }
    return list;
}

void cw_steward::raise_fence(cw_key_table& table) {
    for (std::size_t place = 0; place < states_.size(); ++place) {
        if (states_[place].fenced) {
            table.last_fence += fence_skip;
            table.ranges[place].fence = ++table.last_fence;
            note("owner has seen a higher fence", table.ranges[place].owner.id,
                 "goes on with " + std::to_string(table.ranges[place].fence));
            return;
        }
    }
}

void cw_steward::plan(cw_boot_time now, commands& out) {
    const bool first = table_.last_fence == 0;
    if (upstreams_.empty() || (first && now < upstreams_grew_ + options_.gather)) {
        return;
    }
    const auto list = candidates(now);
    if (list.empty()) {
        return;
    }
    auto next = table_;
    raise_fence(next);
    // A successor knows no speeds yet; levelling without them would undo what was levelled by them.
    const bool knows_speeds =
        speeds_.covers(list.size()) || now > leads_since_ + options_.speed_patience;
    const auto moves = balance_.plan_moves(next, list, knows_speeds, now);
    for (const auto& move : moves) {
        note("keys move", move.to.id,
             span_of(move.first, move.last) + " from " + next.range_of(move.first).owner.id);
    }
    next.apply(moves);
    const bool save = unsaved_since_ != cw_boot_time{} && now > unsaved_since_ + save_delay;
    if (next.ranges != table_.ranges || save) {
        write(std::move(next), out);
    }
}

// -- the table

void cw_steward::adopt(const cw_key_table& table, cw_boot_time now) {
    std::vector<cw_range_state> states;
    if (is_steward() || table.steward == self_) {
        states.reserve(table.ranges.size());
        for (const auto& range : table.ranges) {
            states.push_back(cw_carry_over(range, table_, states_));
        }
    } else {
        // Others need none. One that comes into office later waits for the end of all that was
        // granted before, its own earlier grants included.
        states.resize(table.ranges.size());
    }
    if (table.steward != table_.steward) {
        suspicion_.reset(now);
    }
    table_ = table;
    states_ = std::move(states);
}
