#pragma once

#include <string>
#include <tl/expected.hpp>

/// An error with the step at which it arose and the peer that took part in it.
struct cw_error {
    /// The step that failed, such as "store read".
    std::string step;
    /// The process, host or file on the other side; empty when there was none.
    std::string peer;
    /// What went wrong, in one short sentence.
    std::string reason;

    /// One line for logs and command-line output.
    [[nodiscard]] std::string text() const {
        return step + (peer.empty() ? "" : " with " + peer) + ": " + reason;
    }
};

template <typename T>
using cw_result = tl::expected<T, cw_error>;
