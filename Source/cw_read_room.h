#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

/// Room, in bytes, for a read of a large message between processes of this product or the
/// platform's.
inline constexpr std::size_t cw_control_read_room = 65'536;
/// Room, in bytes, for a read of a message that is forwarded. There may be thousands at once.
inline constexpr std::size_t cw_traffic_read_room = 16'384;
/// Room, in bytes, that a connection keeps between two messages.
inline constexpr std::size_t cw_idle_read_room = 4'096;

/// Makes room in a buffer for the next read of a body: for as much as its length if that is known,
/// else for twice as much as before, up to `max_room`. Does nothing while the head is incomplete or
/// when the message is complete. A buffer that keeps its first size
/// takes 512 bytes a read, and each read is a turn of a thread that has other work in between.
template <bool IsRequest>
void cw_make_read_room(boost::beast::flat_buffer& buffer,
                       const boost::beast::http::basic_parser<IsRequest>& parser,
                       std::size_t max_room) {
    if (!parser.is_header_done() || parser.is_done()) {
        return;
    }
    const auto length = parser.content_length();
    const auto wanted = length ? *length : std::uint64_t{buffer.capacity()} * 2;
    const auto room = static_cast<std::size_t>(std::min<std::uint64_t>(wanted, max_room));
    buffer.reserve(std::min(room, buffer.max_size()));
}

/// Gives back the room for a large message, which an idle connection does not need.
inline void cw_release_read_room(boost::beast::flat_buffer& buffer) {
    if (buffer.size() == 0 && buffer.capacity() > cw_idle_read_room) {
        buffer.shrink_to_fit();
    }
}
