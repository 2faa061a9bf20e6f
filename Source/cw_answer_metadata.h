#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// Load that an upstream reports in an answer: running and waiting requests, and its slots.
struct cw_reported_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// Time that work takes on the upstream's machine at this moment, relative to the usual time.
    double slowdown = 1.0;
    /// True if the upstream stated the slowdown, so that it shares its machine with others.
    bool states_slowdown = false;
};

/// Metadata of an upstream's answer in addition to its content, independent of the platform's
/// headers.
struct cw_answer_metadata {
    enum class kind {
        /// The upstream ran the request; this is its answer, whatever its status.
        answered,
        /// The upstream did not run the request because it has no capacity left.
        busy,
        /// The upstream did not run the request because it does not own the key, or the request was
        /// meant for another upstream.
        not_owner,
        /// The answer belongs to another request.
        mismatched,
        /// The answer does not come from the upstream or was altered; the request may have run.
        invalid
    };
    kind outcome = kind::answered;
    /// True when the answer names the request that it belongs to.
    bool names_request = false;
    /// Load that the upstream reported; none when it did not or it is invalid.
    std::optional<cw_reported_load> load;
    /// The header field of a load that is invalid, for the log; empty when there is none.
    std::string invalid_load;
    /// Time after which the upstream closes an idle connection.
    std::optional<std::chrono::seconds> idle_timeout;
    /// Time for which the upstream requests not to be sent requests (Retry-After).
    std::optional<std::chrono::milliseconds> retry_after;
    /// Requests per second that the upstream takes from all hosts together; none if it names no
    /// limit.
    std::optional<double> rate_limit;
    /// True when the upstream announced its shutdown.
    bool is_leaving = false;
};
