#include "cw_membership.h"

#include "cw_keeper_context.h"
#include "cw_key_hash.h"
#include "cw_store_key.h"

#include <algorithm>

namespace {
/// All deputies must send promises, so each adds messages; the second covers the loss of the first.
constexpr std::size_t max_deputies = 2;
/// Keepers of other domains that are not deputies send only load reports, every five seconds.
constexpr std::chrono::seconds candidate_timeout{11};
} // namespace

cw_membership::cw_membership(cw_keeper_context& context)
    : context_{context},
      tenure_{context.timings().tenure_duration} {}

bool cw_membership::is_member() const {
    return ring_ && ring_->has_member(context_.self());
}

std::vector<cw_ring_member> cw_membership::ring_peers() const {
    std::vector<cw_ring_member> peers;
    for (const auto& member : ring_->members) {
        // A member that announced that it leaves removes no other member afterwards.
        if (member != context_.self() && !left_members_.contains(member)) {
            peers.push_back(member);
        }
    }
    return peers;
}

bool cw_membership::may_grant(cw_partition_policy policy, cw_time_point now) const {
    if (!is_member() || retired_) {
        return false;
    }
    auto superseders = ring_peers();
    if (policy == cw_partition_policy::release) {
        superseders.insert(superseders.end(), ring_->deputies.begin(), ring_->deputies.end());
    }
    return tenure_.is_valid(superseders, now);
}

bool cw_membership::is_alive(const std::string& host, cw_time_point now) const {
    if (host == context_.self().host) {
        return !retired_;
    }
    const auto known = incarnations_.find(host);
    if (known != incarnations_.end() && left_members_.contains(known->second)) {
        return false;
    }
    const auto last_message = last_message_times_.find(host);
    return last_message != last_message_times_.end() &&
           now < last_message->second + context_.timings().suspicion_timeout;
}

bool cw_membership::is_alive(const cw_ring_member& member, cw_time_point now) const {
    if (member == context_.self()) {
        return !retired_;
    }
    const auto known = incarnations_.find(member.host);
    return known != incarnations_.end() && known->second == member && is_alive(member.host, now);
}

std::optional<cw_time_point> cw_membership::last_message_time(const std::string& host) const {
    const auto last_message = last_message_times_.find(host);
    return last_message == last_message_times_.end() ? std::nullopt
                                                     : std::optional{last_message->second};
}

std::vector<std::string> cw_membership::alive_members(cw_time_point now) const {
    std::vector<std::string> alive;
    std::vector<std::string> up_to_date;
    if (ring_) {
        for (const auto& member : ring_->members) {
            if (!is_alive(member.host, now)) {
                continue;
            }
            alive.push_back(member.host);
            if (!is_behind(member.host, now)) {
                up_to_date.push_back(member.host);
            }
        }
    }
    return up_to_date.empty() ? alive : up_to_date;
}

std::uint64_t cw_membership::table_epochs() const {
    std::uint64_t sum = 0;
    for (const auto& [service, stored] : context_.tables()) {
        sum += stored.read_epoch;
    }
    return sum;
}

void cw_membership::compare_tables(cw_time_point now) {
    reported_epochs_[context_.self().host] = table_epochs();
    std::uint64_t newest = 0;
    for (const auto& member : ring_->members) {
        newest = std::max(newest, reported_epochs_[member.host]);
    }
    for (const auto& member : ring_->members) {
        if (reported_epochs_[member.host] < newest) {
            behind_since_.try_emplace(member.host, now);
        } else {
            behind_since_.erase(member.host);
        }
    }
}

bool cw_membership::is_behind(const std::string& host, cw_time_point now) const {
    // A new table reaches all members within milliseconds, and their next promise requests, which
    // report it, follow within one request interval.
    const auto found = behind_since_.find(host);
    return found != behind_since_.end() &&
           now >= found->second + 2 * context_.timings().suspicion_timeout;
}

bool cw_membership::is_primary(const std::string& upstream, cw_time_point now) const {
    if (!is_member()) {
        return false;
    }
    const auto own_weight = cw_rendezvous_weight(upstream, context_.self().host);
    const auto alive = alive_members(now);
    return std::none_of(alive.begin(), alive.end(), [&](const std::string& host) {
        return cw_rendezvous_weight(upstream, host) > own_weight;
    });
}

bool cw_membership::is_first_alive(cw_time_point now) const {
    const auto alive = alive_members(now);
    return is_member() && !alive.empty() && alive.front() == context_.self().host;
}

bool cw_membership::depends_on_this_keeper(const cw_ring_member& member,
                                           std::uint64_t epoch) const {
    const auto found = promise_requesters_.find(member.host);
    return found != promise_requesters_.end() && found->second.member == member &&
           found->second.ring_epoch >= epoch;
}

std::uint64_t cw_membership::joined_epoch() const {
    return is_member() ? ring_->joined_epochs.at(context_.self().host) : 0;
}

void cw_membership::withhold_promises(const std::string& domain, std::uint64_t ring_epoch) {
    withheld_epochs_[domain] = std::max(withheld_epochs_[domain], ring_epoch);
}

void cw_membership::on_message(const cw_ring_member& from, cw_time_point now) {
    auto& known = incarnations_[from.host];
    if (from.incarnation < known.incarnation) {
        return;
    }
    known = from;
    last_message_times_[from.host] = now;
}

void cw_membership::on_promise_request(const cw_ring_member& from,
                                       const cw_promise_request_message& request,
                                       cw_time_point /*now*/) {
    promise_requesters_[from.host] = {from, request.ring_epoch};
    if (request.domain == context_.domain()) {
        reported_epochs_[from.host] = request.table_epochs;
    }
    if (retired_) {
        return;
    }
    // No promise is sent while a write of this ring is pending or if a newer record is known,
    // because that record may remove the requester.
    const bool own_domain = request.domain == context_.domain();
    const bool writing = own_domain && pending_.has_value();
    const auto withheld = withheld_epochs_.find(request.domain);
    const bool stopped =
        withheld != withheld_epochs_.end() && request.ring_epoch <= withheld->second;
    const auto known = known_epochs_.find(request.domain);
    const bool outdated = known != known_epochs_.end() && request.ring_epoch < known->second;
    if (!writing && !stopped && !outdated) {
        context_.send(from.host, cw_promise_message{request.sequence});
    }
}

void cw_membership::on_promise(const cw_ring_member& from, const cw_promise_message& promise) {
    tenure_.on_promise(from, promise.sequence);
}

void cw_membership::on_leave(const cw_ring_member& from) {
    left_members_.insert(from);
}

void cw_membership::on_ring(const cw_ring_event& event, cw_time_point now) {
    auto& known_epoch = known_epochs_[event.ring.domain];
    known_epoch = std::max(known_epoch, event.ring.epoch);
    if (event.ring.domain != context_.domain()) {
        return;
    }
    if (ring_known_ && event.store_version < ring_version_) {
        return;
    }
    const bool is_first = !ring_known_;
    const bool is_new = is_first || event.store_version > ring_version_;
    bool removal = is_first;
    if (ring_) {
        for (const auto& member : ring_->members) {
            if (!event.ring.has_member(member)) {
                removal = true;
                context_.record_event("member-removed", member.host);
            }
        }
    }
    track_deputies(event.ring, now);
    ring_ = event.ring;
    ring_version_ = event.store_version;
    ring_known_ = true;
    ring_read_sent_ = std::max(ring_read_sent_, event.sent);
    if (is_new) {
        if (removal) {
            removed_leases_end_ = now + context_.timings().settle_time();
        }
        // A pending write is complete once a later record is seen: either it produced that record
        // or it failed with a conflict.
        pending_.reset();
        short_removal_timeout_ = false;
        context_.record_event("ring", context_.domain(),
                              "epoch " + std::to_string(ring_->epoch) + ", " +
                                  std::to_string(ring_->members.size()) + " members");
    }
    if (is_member()) {
        tenure_.on_store_confirmation(event.sent);
    } else {
        tenure_.on_removal();
    }
}

void cw_membership::track_deputies(const cw_ring& next, cw_time_point now) {
    if (ring_ && next.deputies_epoch == ring_->deputies_epoch) {
        return;
    }
    deputies_changed_at_ = now;
    if (!ring_) {
        return;
    }
    for (const auto& member : ring_->deputies) {
        if (!next.is_deputy(member)) {
            dismissed_deputies_[member.host] = now;
        }
    }
}

void cw_membership::on_write(const cw_write_event& event) {
    if (!pending_ || event.writer != pending_->command.writer) {
        return;
    }
    if (event.outcome != cw_write_outcome::unknown) {
        // The record has changed after both a success and a conflict; reads it to find out how.
        context_.emit(cw_read_command{cw_ring_key(context_.domain())});
        if (event.outcome == cw_write_outcome::conflict) {
            pending_->resend_at = cw_time_point::max();
        }
    }
}

void cw_membership::read_ring(cw_time_point now) {
    if (now < next_read_) {
        return;
    }
    context_.emit(cw_read_command{cw_ring_key(context_.domain())});
    next_read_ = now + context_.timings().promise_request_interval;
}

bool cw_membership::confirm_store(cw_time_point now) {
    if (now < ring_read_sent_ + context_.timings().max_store_read_age) {
        return true;
    }
    read_ring(now);
    return false;
}

void cw_membership::retire(cw_time_point now) {
    if (retired_) {
        return;
    }
    retired_ = true;
    // A pending write may still remove a member, so in that case the peers must continue to count
    // this keeper as one that can remove them.
    announces_leave_ = !pending_.has_value();
    pending_.reset();
    send_leave();
    if (is_member()) {
        auto next = *ring_;
        ++next.epoch;
        next.remove(context_.self());
        write_ring(std::move(next), now);
    }
}

void cw_membership::send_leave() {
    if (!ring_ || !announces_leave_) {
        return;
    }
    for (const auto& peer : ring_peers()) {
        context_.send(peer.host, cw_leave_message{});
    }
}

void cw_membership::on_tick(cw_time_point now) {
    if (started_ == cw_time_point{}) {
        started_ = now;
    }
    resend_write(now);
    if (!ring_known_) {
        read_ring(now);
        return;
    }
    if (retired_) {
        send_leave();
        return;
    }
    compare_tables(now);
    send_promise_requests(now);
    maintain_ring(now);
}

void cw_membership::send_promise_requests(cw_time_point now) {
    if (now < next_promise_request_ || !is_member()) {
        return;
    }
    next_promise_request_ = now + context_.timings().promise_request_interval;
    auto peers = ring_peers();
    if (owns_release_service()) {
        peers.insert(peers.end(), ring_->deputies.begin(), ring_->deputies.end());
    }
    for (const auto& peer : peers) {
        const auto sequence = context_.next_id();
        tenure_.on_request_sent(peer, sequence, now);
        context_.send(peer.host, cw_promise_request_message{sequence, context_.domain(),
                                                            ring_->epoch, table_epochs()});
    }
}

void cw_membership::maintain_ring(cw_time_point now) {
    // Reads the ring record, which also confirms the tenure, if the promises of the peers expire
    // within one request interval.
    const auto margin = now + context_.timings().promise_request_interval;
    const auto strictest =
        owns_release_service() ? cw_partition_policy::release : cw_partition_policy::hold;
    if (is_member() && !may_grant(strictest, margin)) {
        read_ring(now);
    }
    if (pending_) {
        read_ring(now);
        return;
    }
    if (!is_member()) {
        join(now);
        return;
    }
    remove_unresponsive(now);
    update_deputies(now);
}

void cw_membership::join(cw_time_point now) {
    if (context_.config() == nullptr || context_.host(context_.self().host) == nullptr) {
        return;
    }
    if (!confirm_store(now)) {
        return;
    }
    auto next = *ring_;
    next.domain = context_.domain();
    ++next.epoch;
    next.add(context_.self());
    write_ring(std::move(next), now);
}

bool cw_membership::may_remove(const cw_ring_member& member, cw_time_point now) const {
    const auto known = incarnations_.find(member.host);
    const bool replaced =
        known != incarnations_.end() && known->second.incarnation > member.incarnation;
    return replaced || left_members_.contains(member) || context_.is_host_gone(member.host, now) ||
           depends_on_this_keeper(member, joined_epoch());
}

void cw_membership::remove_unresponsive(cw_time_point now) {
    if (pending_) {
        return;
    }
    const auto timeout = short_removal_timeout_ ? context_.timings().suspicion_timeout
                                                : context_.timings().removal_timeout;
    auto next = *ring_;
    for (const auto& member : ring_->members) {
        if (member == context_.self()) {
            continue;
        }
        const auto last_message = last_message_times_.find(member.host);
        const auto last_seen =
            last_message == last_message_times_.end() ? started_ : last_message->second;
        const bool unresponsive = now >= last_seen + timeout || left_members_.contains(member);
        if (unresponsive && may_remove(member, now)) {
            next.remove(member);
        }
    }
    if (next.members != ring_->members && confirm_store(now)) {
        ++next.epoch;
        write_ring(std::move(next), now);
    }
}

bool cw_membership::owns_release_service() const {
    const auto* config = context_.config();
    if (config == nullptr) {
        return false;
    }
    return std::any_of(config->services.begin(), config->services.end(), [&](const auto& service) {
        if (!service.keyed || service.partition_policy != cw_partition_policy::release) {
            return false;
        }
        const auto* domain = config->domain(context_.domain());
        return domain != nullptr && domain->firm == service.firm;
    });
}

std::vector<cw_ring_member> cw_membership::wanted_deputies(cw_time_point now) const {
    const auto* config = context_.config();
    if (config == nullptr || !owns_release_service()) {
        return {};
    }
    const auto* deputy = config->deputy_of(context_.domain());
    if (deputy == nullptr) {
        return {};
    }
    const auto is_present = [&](const cw_ring_member& member) {
        const auto known = incarnations_.find(member.host);
        return (known == incarnations_.end() || known->second == member) &&
               context_.host(member.host) != nullptr;
    };
    // Drops an unresponsive deputy, because the domain would then depend on the store for every
    // tenure. A deputy that was added recently is kept until it has had time to answer its first
    // request.
    std::vector<cw_ring_member> wanted;
    for (const auto& member : ring_->deputies) {
        const auto counted_from =
            std::max(last_message_time(member.host).value_or(started_), deputies_changed_at_);
        if (is_present(member) && now < counted_from + context_.timings().removal_timeout) {
            wanted.push_back(member);
        }
    }
    for (const auto& host : context_.entry_hosts(deputy->name)) {
        const auto known = incarnations_.find(host);
        if (wanted.size() < max_deputies && known != incarnations_.end() &&
            !ring_->is_deputy(known->second) && is_deputy_candidate(host, now)) {
            wanted.push_back(known->second);
        }
    }
    std::sort(wanted.begin(), wanted.end());
    return wanted;
}

bool cw_membership::is_deputy_candidate(const std::string& host, cw_time_point now) const {
    const auto last_message = last_message_time(host);
    const auto dismissed = dismissed_deputies_.find(host);
    // A deputy that was removed as unresponsive becomes a candidate again after it has sent a new
    // message.
    return last_message && now < *last_message + candidate_timeout &&
           (dismissed == dismissed_deputies_.end() || *last_message > dismissed->second);
}

void cw_membership::update_deputies(cw_time_point now) {
    if (pending_ || !is_first_alive(now)) {
        return;
    }
    auto wanted = wanted_deputies(now);
    if (wanted != ring_->deputies && confirm_store(now)) {
        auto next = *ring_;
        ++next.epoch;
        next.deputies = std::move(wanted);
        next.deputies_epoch = next.epoch;
        write_ring(std::move(next), now);
    }
}

void cw_membership::write_ring(cw_ring next, cw_time_point now) {
    next.writer = context_.next_writer();
    const cw_write_command command{cw_ring_key(context_.domain()), next.to_json(), ring_version_,
                                   next.writer};
    pending_ = pending_write{command, now + context_.timings().store_retry_interval};
    context_.emit(command);
}

void cw_membership::resend_write(cw_time_point now) {
    // Repeating a conditional write is safe because at most one of the copies can succeed.
    if (pending_ && now >= pending_->resend_at) {
        pending_->resend_at = now + context_.timings().store_retry_interval;
        context_.emit(pending_->command);
    }
}
