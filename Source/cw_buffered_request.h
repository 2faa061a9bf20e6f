#pragma once

#include "cw_caller_limits.h"
#include "cw_http_message.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

/// The next request of a connection, as far as it has been received.
struct cw_buffered_request {
    enum class state {
        /// All of the request has arrived.
        complete,
        /// The rest has not arrived yet.
        incomplete,
        /// The request is invalid, or its caller waits for an interim answer before it sends the
        /// body. It has to be read when no answer is due before its own.
        not_ahead
    };

    state arrived = state::incomplete;
    /// Empty unless the request is complete.
    cw_http_request request;
    /// Length of the complete request in the buffer, in bytes.
    std::size_t bytes = 0;
};

/// Parses the request at the beginning of the buffer, without removing it.
[[nodiscard]] cw_buffered_request cw_parse_buffered_request(const boost::beast::flat_buffer& buffer,
                                                            const cw_caller_limits& limits);
