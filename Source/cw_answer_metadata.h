#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

/// Load of an upstream as it reports it.
struct cw_reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
};

/// What an upstream's answer means.
struct cw_answer_metadata {
    enum class kind {
        /// It ran the request and this is its answer, good or bad.
        answered,
        /// It did not run the request, for want of room.
        busy,
        /// It did not run the request, since it does not hold the key or is not the one meant.
        not_owner,
        /// The answer belongs to another request.
        mismatched,
        /// The answer cannot be the upstream's own; the request may have run.
        invalid
    };
    kind outcome = kind::answered;
    std::optional<cw_reported_load> load;
    /// Time after which the upstream closes an idle connection.
    std::optional<std::chrono::seconds> idle_timeout;
    /// Time for which the upstream wants no request.
    std::optional<std::chrono::milliseconds> retry_after;
    /// True when the upstream says that it will end.
    bool is_leaving = false;
};
