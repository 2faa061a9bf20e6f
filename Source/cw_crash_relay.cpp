#include "cw_crash_relay.h"

#include "cw_keeper_context.h"

#include <algorithm>

namespace {
using namespace std::chrono_literals;
constexpr std::uint32_t repeats = 2;
constexpr auto repeat_interval = 100ms;
constexpr auto cleaning_interval = 10s;
constexpr std::size_t most_taken = 1'024;
} // namespace

cw_crash_relay::cw_crash_relay(cw_keeper_context& context)
    : context_{context},
      ledger_{cw_crash_options{}} {}

void cw_crash_relay::on_report(const cw_crash_event& event, cw_time_point now) {
    // Numbers of an earlier run of this host must not be met again.
    const auto number = context_.self().incarnation + context_.next_id();
    const cw_crash_message mark{context_.self().host, number, event.fingerprint, event.address,
                                event.answered};
    if (take(mark, now)) {
        context_.send_to_firm(mark);
        repeats_.push_back({mark, repeats, now + repeat_interval});
    }
}

void cw_crash_relay::on_mark(const cw_crash_message& mark, cw_time_point now) {
    take(mark, now);
}

bool cw_crash_relay::take(const cw_crash_message& mark, cw_time_point now) {
    const auto id = std::pair{mark.reporter, mark.number};
    if (std::find(taken_.begin(), taken_.end(), id) != taken_.end()) {
        return false;
    }
    taken_.push_back(id);
    if (taken_.size() > most_taken) {
        taken_.pop_front();
    }
    const bool changed = mark.answered ? ledger_.on_answer(mark.fingerprint)
                                       : ledger_.on_crash(mark.fingerprint, mark.address, now);
    if (changed) {
        const auto subject = std::to_string(mark.fingerprint);
        if (mark.answered) {
            context_.record_event("request-cleared", subject, "answered by an upstream");
        } else {
            context_.record_event("request-crashed-upstream", subject,
                                  mark.address + ", " +
                                      std::to_string(ledger_.crashes(mark.fingerprint)) +
                                      " crashes");
        }
        context_.emit(cw_publish_command{});
    }
    return true;
}

void cw_crash_relay::on_tick(cw_time_point now) {
    for (auto& waiting : repeats_) {
        if (now >= waiting.due) {
            context_.send_to_firm(waiting.mark);
            waiting.due = now + repeat_interval;
            --waiting.left;
        }
    }
    std::erase_if(repeats_, [](const repeat& waiting) { return waiting.left == 0; });
    if (now >= next_cleaning_) {
        next_cleaning_ = now + cleaning_interval;
        ledger_.on_tick(now);
    }
}

cw_crash_marks cw_crash_relay::crashes() const {
    return ledger_.all();
}
