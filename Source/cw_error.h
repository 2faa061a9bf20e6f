#pragma once

#include <string>
#include <tl/expected.hpp>

/// An error with the step that failed and the peer that was involved.
struct cw_error {
    /// The step that failed, such as "store read".
    std::string step;
    /// The process, host or file on the other side; empty when there was none.
    std::string peer;
    /// What went wrong, in one short sentence.
    std::string reason;
    /// True if the peer answered, and refused. Another connection to it would not help.
    bool is_refusal = false;

    /// One line for logs and command-line output.
    [[nodiscard]] std::string text() const {
        return step + (peer.empty() ? "" : " with " + peer) + ": " + reason;
    }
};

/// A value, or the error for which there is none.
template <typename T>
using cw_result = tl::expected<T, cw_error>;
