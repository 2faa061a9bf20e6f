#include "cw_crash_broadcaster.h"

#include "cw_keeper_context.h"

#include <algorithm>

namespace {
using namespace std::chrono_literals;
constexpr std::uint32_t repeat_count = 2;
constexpr auto repeat_interval = 100ms;
constexpr auto cleanup_interval = 10s;
constexpr std::size_t max_remembered_ids = 1'024;
} // namespace

cw_crash_broadcaster::cw_crash_broadcaster(cw_keeper_context& context)
    : context_{context},
      tracker_{cw_crash_options{}} {}

void cw_crash_broadcaster::on_local_report(const cw_crash_event& event, cw_time_point now) {
    // The incarnation makes the numbers differ from those of earlier processes of this host.
    const auto number = context_.self().incarnation + context_.next_id();
    const cw_crash_message report{context_.self().host, number, event.fingerprint, event.address,
                                  event.answered};
    if (apply_report(report, now)) {
        context_.send_to_firm(report);
        pending_repeats_.push_back({report, repeat_count, now + repeat_interval});
    }
}

void cw_crash_broadcaster::on_peer_report(const cw_crash_message& report, cw_time_point now) {
    apply_report(report, now);
}

bool cw_crash_broadcaster::apply_report(const cw_crash_message& report, cw_time_point now) {
    const auto id = std::pair{report.reporter, report.number};
    if (std::find(seen_ids_.begin(), seen_ids_.end(), id) != seen_ids_.end()) {
        return false;
    }
    seen_ids_.push_back(id);
    if (seen_ids_.size() > max_remembered_ids) {
        seen_ids_.pop_front();
    }
    const bool changed = report.answered
                             ? tracker_.on_answer(report.fingerprint)
                             : tracker_.on_crash(report.fingerprint, report.address, now);
    if (changed) {
        const auto fingerprint = std::to_string(report.fingerprint);
        if (report.answered) {
            context_.record_event("request-cleared", fingerprint, "answered by an upstream");
        } else {
            context_.record_event("request-crashed-upstream", fingerprint,
                                  report.address + ", " +
                                      std::to_string(tracker_.crash_count(report.fingerprint)) +
                                      " crashes");
        }
        context_.emit(cw_publish_command{});
    }
    return true;
}

void cw_crash_broadcaster::on_tick(cw_time_point now) {
    for (auto& pending : pending_repeats_) {
        if (now >= pending.next_send) {
            context_.send_to_firm(pending.report);
            pending.next_send = now + repeat_interval;
            --pending.remaining_sends;
        }
    }
    std::erase_if(pending_repeats_,
                  [](const pending_repeat& pending) { return pending.remaining_sends == 0; });
    if (now >= next_cleanup_) {
        next_cleanup_ = now + cleanup_interval;
        tracker_.remove_expired(now);
    }
}

cw_crash_counts cw_crash_broadcaster::counts() const {
    return tracker_.counts();
}
