#include "cw_pending_commands.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace {
/// Grants or probes in a row that must fail before an upstream counts as unresponsive.
constexpr std::uint32_t min_failures = 3;
/// Maximum number of pending commands to one upstream.
constexpr std::ptrdiff_t max_commands_per_upstream = 8;
} // namespace

void cw_pending_commands::add(cw_ownership_command& command, cw_boot_time now) {
    command.number = next_number_++;
    commands_.emplace(command.number, pending_command{command, now});
    if (command.type != cw_ownership_command::kind::release) {
        upstreams_[command.upstream.id].asked_at = now;
    }
}

std::optional<cw_ownership_command>
cw_pending_commands::take_ended(const cw_ownership_command_ended& event, cw_boot_time now) {
    const auto found = commands_.find(event.number);
    if (found == commands_.end()) {
        return std::nullopt;
    }
    auto [command, sent_at] = std::move(found->second);
    commands_.erase(found);
    if (event.result == cw_ownership_command_result::other_upstream) {
        auto& ended = ended_incarnations_[command.upstream.id];
        ended = std::max(ended, command.upstream.incarnation);
    }
    // An upstream answers a release only after its work on the keys has ended, so a missing answer
    // does not show that it is unresponsive.
    if (command.type != cw_ownership_command::kind::release) {
        auto& upstream = upstreams_[command.upstream.id];
        const bool is_unconfirmed = event.result == cw_ownership_command_result::unconfirmed;
        const bool is_late = event.result == cw_ownership_command_result::late;
        if (event.result == cw_ownership_command_result::done ||
            event.result == cw_ownership_command_result::fenced ||
            (is_unconfirmed && event.opened_connection)) {
            upstream.last_answer = now;
            upstream.failures = 0;
            upstream.is_failing = false;
        } else if (!is_unconfirmed && !is_late) {
            upstream.next_probe = now + probe_delay_;
            upstream.tried_incarnation =
                std::max(upstream.tried_incarnation, command.upstream.incarnation);
            if (sent_at >= upstream.discarded_at) {
                upstream.failing_since = upstream.failures == 0 ? now : upstream.failing_since;
                ++upstream.failures;
            }
            upstream.is_failing = true;
        }
    }
    return command;
}

bool cw_pending_commands::is_granting(const cw_key_range& range, const cw_key_owner& owner) const {
    return std::any_of(commands_.begin(), commands_.end(), [&](const auto& item) {
        const auto& command = item.second.command;
        return command.type == cw_ownership_command::kind::grant && command.upstream == owner &&
               cw_overlaps(range, command);
    });
}

bool cw_pending_commands::is_busy(const cw_key_owner& upstream) const {
    return std::count_if(commands_.begin(), commands_.end(), [&](const auto& item) {
               return item.second.command.upstream == upstream;
           }) >= max_commands_per_upstream;
}

bool cw_pending_commands::is_unresponsive(const std::string& id, cw_boot_time now) const {
    const auto known = upstreams_.find(id);
    return known != upstreams_.end() && is_unresponsive(known->second, now) &&
           !(unanswered_since_ && known->second.failing_since >= *unanswered_since_);
}

bool cw_pending_commands::is_unresponsive(const upstream_state& upstream, cw_boot_time now) const {
    return upstream.failures >= min_failures &&
           now > std::max(upstream.last_answer, upstream.discarded_at) + unresponsive_after_;
}

template <class Condition>
std::optional<cw_boot_time> cw_pending_commands::majority_silent_since(
    const std::map<std::string, cw_upstream_entry>& upstreams, Condition is_silent) const {
    std::vector<cw_boot_time> last_answers;
    std::size_t staying = 0;
    for (const auto& [id, entry] : upstreams) {
        // One that leaves is no longer asked, so its last failure says nothing of this host.
        if (entry.leaving) {
            continue;
        }
        ++staying;
        const auto known = upstreams_.find(id);
        if (known != upstreams_.end() && is_silent(known->second)) {
            last_answers.push_back(known->second.last_answer);
        }
    }
    const auto half = staying / 2;
    if (last_answers.size() <= half) {
        return std::nullopt;
    }
    const auto last_of_majority = last_answers.begin() + static_cast<std::ptrdiff_t>(half);
    std::nth_element(last_answers.begin(), last_of_majority, last_answers.end());
    return *last_of_majority;
}

void cw_pending_commands::discard_own_failures(
    const std::map<std::string, cw_upstream_entry>& upstreams, cw_boot_time now) {
    unanswered_since_ = majority_silent_since(upstreams, [](const auto& upstream) {
        return upstream.asked_at != cw_boot_time{} && upstream.asked_at >= upstream.last_answer;
    });
    const auto cut = majority_silent_since(upstreams, [&](const auto& upstream) {
        return upstream.is_failing && now > upstream.last_answer + renewal_interval_;
    });
    // The failures until now still count for nothing when the cut has just ended.
    const auto since = cut ? cut : cut_off_since_;
    cut_off_since_ = cut;
    if (!since) {
        return;
    }
    for (auto& [id, upstream] : upstreams_) {
        if (upstream.is_failing && !is_unresponsive(upstream, *since)) {
            upstream.failures = 0;
            upstream.discarded_at = now;
        }
    }
}

bool cw_pending_commands::start_probe(const cw_key_owner& upstream, cw_boot_time now) {
    if (!is_unresponsive(upstream.id, now)) {
        return false;
    }
    auto& state = upstreams_[upstream.id];
    const bool is_restarted = upstream.incarnation > state.tried_incarnation;
    if (now < state.next_probe && !is_restarted) {
        return false;
    }
    state.next_probe = now + probe_delay_;
    state.tried_incarnation = upstream.incarnation;
    return true;
}

bool cw_pending_commands::is_replaced(const cw_key_owner& upstream) const {
    const auto ended = ended_incarnations_.find(upstream.id);
    return ended != ended_incarnations_.end() && ended->second >= upstream.incarnation;
}
