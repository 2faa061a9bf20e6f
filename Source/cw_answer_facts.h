#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

/// Load of an upstream as it reports it.
struct cw_load_word {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
};

/// What an upstream's answer means.
struct cw_answer_facts {
    enum class kind {
        /// It ran the request and this is its answer, good or bad.
        answered,
        /// It did not run the request, for want of room.
        busy,
        /// It did not run the request, since it does not hold the key or is not the one meant.
        not_owner,
        /// The answer belongs to another request.
        foreign,
        /// The answer cannot be the upstream's own; the request may have run.
        spoilt
    };
    kind what = kind::answered;
    std::optional<cw_load_word> load;
    /// Time after which the upstream closes an idle connection.
    std::optional<std::chrono::seconds> idle_limit;
    /// Time for which the upstream wants no request.
    std::optional<std::chrono::milliseconds> pause;
    /// True when the upstream says that it will end.
    bool is_leaving = false;
};
