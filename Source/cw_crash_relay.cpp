#include "cw_crash_relay.h"

#include "cw_keeper_context.h"

#include <algorithm>

namespace {
using namespace std::chrono_literals;
constexpr std::uint32_t repeat_count = 2;
constexpr auto repeat_interval = 100ms;
constexpr auto cleanup_interval = 10s;
constexpr std::size_t max_remembered_ids = 1'024;
} // namespace

cw_crash_relay::cw_crash_relay(cw_keeper_context& context)
    : context_{context},
      ledger_{cw_crash_options{}} {}

void cw_crash_relay::on_report(const cw_crash_event& event, cw_time_point now) {
    // Numbers of an earlier run of this host must not be met again.
    const auto number = context_.self().incarnation + context_.next_number();
    const cw_crash_message mark{context_.self().host, number, event.fingerprint, event.address,
                                event.answered};
    if (accept(mark, now)) {
        context_.send_to_firm(mark);
        pending_repeats_.push_back({mark, repeat_count, now + repeat_interval});
    }
}

void cw_crash_relay::on_mark(const cw_crash_message& mark, cw_time_point now) {
    accept(mark, now);
}

bool cw_crash_relay::accept(const cw_crash_message& mark, cw_time_point now) {
    const auto id = std::pair{mark.reporter, mark.number};
    if (std::find(seen_ids_.begin(), seen_ids_.end(), id) != seen_ids_.end()) {
        return false;
    }
    seen_ids_.push_back(id);
    if (seen_ids_.size() > max_remembered_ids) {
        seen_ids_.pop_front();
    }
    const bool changed = mark.answered ? ledger_.on_answer(mark.fingerprint)
                                       : ledger_.on_crash(mark.fingerprint, mark.address, now);
    if (changed) {
        const auto subject = std::to_string(mark.fingerprint);
        if (mark.answered) {
            context_.note("request-cleared", subject, "answered by an upstream");
        } else {
            context_.note("request-crashed-upstream", subject,
                          mark.address + ", " + std::to_string(ledger_.crashes(mark.fingerprint)) +
                              " crashes");
        }
        context_.emit(cw_publish_command{});
    }
    return true;
}

void cw_crash_relay::on_tick(cw_time_point now) {
    for (auto& pending : pending_repeats_) {
        if (now >= pending.next_send) {
            context_.send_to_firm(pending.mark);
            pending.next_send = now + repeat_interval;
            --pending.remaining;
        }
    }
    std::erase_if(pending_repeats_,
                  [](const pending_repeat& pending) { return pending.remaining == 0; });
    if (now >= next_cleanup_) {
        next_cleanup_ = now + cleanup_interval;
        ledger_.on_tick(now);
    }
}

cw_crash_marks cw_crash_relay::crashes() const {
    return ledger_.all();
}
