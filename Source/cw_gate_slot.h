#pragma once

#include "cw_attempt.h"
#include "cw_time.h"
#include "cw_upstream_gate.h"
#include "cw_wait_queue.h"

#include <utility>

/// One request's place at an upstream, from before it is sent until its attempt has ended.
class cw_gate_slot {
public:
    cw_gate_slot() = default;
    cw_gate_slot(cw_upstream_gate& gate, cw_wait_queue& queue, cw_time_point now)
        : gate_{&gate},
          queue_{&queue},
          sent_{now} {
        gate.on_sent(now);
    }
    ~cw_gate_slot() { finish(cw_attempt_result::caller_left, sent_); }
    cw_gate_slot(const cw_gate_slot&) = delete;
    cw_gate_slot& operator=(const cw_gate_slot&) = delete;
    cw_gate_slot(cw_gate_slot&& other) noexcept
        : gate_{std::exchange(other.gate_, nullptr)},
          queue_{other.queue_},
          sent_{other.sent_} {}
    cw_gate_slot& operator=(cw_gate_slot&& other) noexcept {
        std::swap(gate_, other.gate_);
        std::swap(queue_, other.queue_);
        std::swap(sent_, other.sent_);
        return *this;
    }

    /// Gives the place up and lets the next in the queue look.
    void finish(cw_attempt_result result, cw_time_point now) {
        if (gate_ != nullptr) {
            gate_->on_result(result, now - sent_, now);
            gate_ = nullptr;
            queue_->wake();
        }
    }

private:
    cw_upstream_gate* gate_ = nullptr;
    cw_wait_queue* queue_ = nullptr;
    cw_time_point sent_{};
};
