#pragma once

#include "cw_async.h"
#include "cw_read_room.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <concepts>
#include <cstddef>

/// A parser that delivers the body incrementally into a supplied buffer.
template <typename Parser>
concept cw_incremental_parser = requires(Parser& parser) {
    { parser.is_done() } -> std::convertible_to<bool>;
    parser.get().body().data;
    parser.get().body().size;
};

/// Size in bytes of the buffer through which a body is streamed.
inline constexpr std::size_t cw_relay_block_bytes = 65'536;

/// Result of relaying a body: the error of the side that failed, if any.
struct cw_body_relay_result {
    boost::system::error_code source_error;
    boost::system::error_code sink_error;

    [[nodiscard]] bool ok() const { return !source_error && !sink_error; }
};

/// Copies the body of a message from `source` to `sink` in blocks of bounded size. The message's
/// header must have been parsed and written already.
///
/// `before_read` and `before_write` are called before each read and each write, for example to
/// extend deadlines.
template <typename Stream, cw_incremental_parser Parser, typename Message, typename Serializer,
          std::invocable BeforeRead, std::invocable BeforeWrite>
boost::asio::awaitable<cw_body_relay_result>
cw_relay_body(Stream& source, boost::beast::flat_buffer& buffer, Parser& parser, Stream& sink,
              Message& message, Serializer& serializer, BeforeRead before_read,
              BeforeWrite before_write) {
    namespace http = boost::beast::http;
    cw_body_relay_result result;
    std::array<char, cw_relay_block_bytes> block{};
    buffer.reserve(cw_traffic_read_room);
    while (result.ok() && !serializer.is_done()) {
        message.body().data = nullptr;
        message.body().size = 0;
        if (!parser.is_done()) {
            parser.get().body().data = block.data();
            parser.get().body().size = block.size();
            before_read();
            co_await http::async_read(source, buffer, parser,
                                      cw_redirect_error(result.source_error));
            // need_buffer means that the block is full; it is not a failure.
            if (result.source_error == http::error::need_buffer) {
                result.source_error = {};
            }
            if (result.source_error) {
                break;
            }
            message.body().data = block.data();
            message.body().size = block.size() - parser.get().body().size;
        }
        message.body().more = !parser.is_done();
        before_write();
        co_await http::async_write(sink, serializer, cw_redirect_error(result.sink_error));
        if (result.sink_error == http::error::need_buffer) {
            result.sink_error = {};
        }
    }
    co_return result;
}
