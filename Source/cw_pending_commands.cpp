#include "cw_pending_commands.h"

#include <algorithm>
#include <utility>

namespace {
/// Grants or probes in a row that must fail before an upstream counts as unresponsive.
constexpr std::uint32_t min_failures = 3;
/// Maximum number of pending commands to one upstream.
constexpr std::ptrdiff_t max_commands_per_upstream = 8;
} // namespace

void cw_pending_commands::add(cw_ownership_command& command) {
    command.number = next_number_++;
    commands_.emplace(command.number, command);
}

std::optional<cw_ownership_command>
cw_pending_commands::take_ended(const cw_ownership_command_ended& event, cw_boot_time now) {
    const auto found = commands_.find(event.number);
    if (found == commands_.end()) {
        return std::nullopt;
    }
    auto command = std::move(found->second);
    commands_.erase(found);
    if (event.result == cw_ownership_command_result::other_upstream) {
        auto& ended = ended_incarnations_[command.upstream.id];
        ended = std::max(ended, command.upstream.incarnation);
    }
    // An upstream answers a release only after its work on the keys has ended, so a missing answer
    // does not show that it is unresponsive.
    if (command.type != cw_ownership_command::kind::release) {
        auto& upstream = upstreams_[command.upstream.id];
        if (event.result == cw_ownership_command_result::done ||
            event.result == cw_ownership_command_result::fenced) {
            upstream.last_answer = now;
            upstream.failures = 0;
        } else {
            upstream.next_probe = now + probe_delay_;
            upstream.tried_incarnation =
                std::max(upstream.tried_incarnation, command.upstream.incarnation);
            ++upstream.failures;
        }
    }
    return command;
}

bool cw_pending_commands::is_granting(const cw_key_range& range, const cw_key_owner& owner) const {
    return std::any_of(commands_.begin(), commands_.end(), [&](const auto& item) {
        const auto& command = item.second;
        return command.type == cw_ownership_command::kind::grant && command.upstream == owner &&
               cw_overlaps(range, command);
    });
}

bool cw_pending_commands::is_busy(const cw_key_owner& upstream) const {
    return std::count_if(commands_.begin(), commands_.end(), [&](const auto& item) {
               return item.second.upstream == upstream;
           }) >= max_commands_per_upstream;
}

bool cw_pending_commands::is_unresponsive(const std::string& id, cw_boot_time now) const {
    const auto known = upstreams_.find(id);
    return known != upstreams_.end() && known->second.failures >= min_failures &&
           now > known->second.last_answer + unresponsive_after_;
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
