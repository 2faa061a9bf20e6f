#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Decides which requests of one connection run at the same time, and the order of their answers.
///
/// Requests are started in the order in which the caller sent them. Answers are written in the same
/// order, whichever request ends first.
class cw_pipeline_order {
public:
    /// Number of a request of the connection; increases with each request that starts.
    using number = std::uint64_t;

    /// What may run at the same time as a request.
    enum class mode {
        /// Other concurrent requests.
        concurrent,
        /// Requests before it, but none behind it: the connection closes after its answer.
        last,
        /// No other request of the connection.
        alone
    };

    /// Maximum number of requests of one connection that are in progress.
    static constexpr std::size_t max_in_progress = 8;

    /// True if a further request may be read while others are in progress.
    [[nodiscard]] bool may_read_ahead() const;
    /// True if the next request may start now.
    [[nodiscard]] bool may_start(mode next) const;
    /// Starts the next request. Requires may_start().
    number start(mode next);
    /// Nothing more is read until all requests in progress are answered, because the next one has
    /// to run alone, is invalid or has not arrived in a form in which it can be read ahead.
    void hold_next() { is_held_ = true; }
    /// A request has ended and its answer waits for its turn.
    void finish(number finished);
    /// The request whose answer is to be written next: the oldest one in progress, once it has
    /// ended.
    [[nodiscard]] std::optional<number> next_answer() const;
    /// The answer of the oldest request has been written.
    void on_answered();
    /// No request starts any more.
    void close() { is_closed_ = true; }

    [[nodiscard]] bool is_closed() const { return is_closed_; }
    /// Requests that have started and whose answers have not been written.
    [[nodiscard]] std::size_t in_progress() const { return requests_.size(); }

private:
    struct request {
        number id;
        bool is_finished;
    };

    std::vector<request> requests_;
    number last_ = 0;
    bool is_held_ = false;
    bool is_closed_ = false;
};
