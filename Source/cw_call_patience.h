#pragma once

#include <algorithm>
#include <chrono>

/// How long a caller waits for a service that may have fallen silent.
///
/// A call that reaches a silent service is never answered, also once the service is back. After a
/// failure calls are therefore given little time, so that the return shows soon, and more with each
/// further failure, since the service may answer slowly.
class cw_call_patience {
public:
    using milliseconds = std::chrono::milliseconds;

    /// `full` is the time that an answer may take in ordinary times; `least` that after a failure.
    cw_call_patience(milliseconds full, milliseconds least)
        : full_{full},
          least_{least},
          time_{full} {}

    void on_answer() {
        time_ = full_;
        is_disturbed_ = false;
    }

    void on_failure() {
        time_ = is_disturbed_ ? std::min(time_ * 2, full_) : least_;
        is_disturbed_ = true;
    }

    /// Time that the next answer may take.
    [[nodiscard]] milliseconds time() const { return time_; }
    /// True while the last call has failed.
    [[nodiscard]] bool is_disturbed() const { return is_disturbed_; }

private:
    milliseconds full_;
    milliseconds least_;
    milliseconds time_;
    bool is_disturbed_ = false;
};
