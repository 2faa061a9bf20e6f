#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

/// Pauses between failed tries: each about twice the one before, spread so that many processes that
/// failed together do not return together.
class cw_backoff {
public:
    cw_backoff(std::chrono::milliseconds first, std::chrono::milliseconds most, std::uint64_t seed)
        : first_{first},
          most_{most},
          next_{first},
          engine_{static_cast<std::minstd_rand::result_type>(seed)} {}

    /// The next pause: between half and all of the present length.
    [[nodiscard]] std::chrono::milliseconds next() {
        const auto half = next_ / 2;
        next_ = std::min(next_ * 2, most_);
        const auto spread = engine_() % static_cast<std::uint64_t>(half.count() + 1);
        return half + std::chrono::milliseconds{spread};
    }
    /// A try succeeded.
    void reset() { next_ = first_; }

private:
    std::chrono::milliseconds first_;
    std::chrono::milliseconds most_;
    std::chrono::milliseconds next_;
    std::minstd_rand engine_;
};
