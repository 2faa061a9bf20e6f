#pragma once

#include "cw_async.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <concepts>
#include <cstddef>

/// A parser whose body is handed over in pieces.
template <typename Parser>
concept cw_piecewise_parser = requires(Parser& parser) {
    { parser.is_done() } -> std::convertible_to<bool>;
    parser.get().body().data;
    parser.get().body().size;
};

/// Bytes that a streamed body holds in memory.
inline constexpr std::size_t cw_stream_chunk = 65'536;

/// Result of a relayed body: which side failed, if any.
struct cw_body_relay_result {
    boost::system::error_code source;
    boost::system::error_code sink;

    [[nodiscard]] bool is_whole() const { return !source && !sink; }
};

/// Passes the body of a parsed message on, piece by piece. The message's head must have been
/// written.
///
/// `before_read` and `before_write` are called before each piece, to move deadlines.
template <typename Stream, cw_piecewise_parser Parser, typename Message, typename Serializer,
          std::invocable BeforeRead, std::invocable BeforeWrite>
boost::asio::awaitable<cw_body_relay_result>
cw_relay_body(Stream& source, boost::beast::flat_buffer& buffer, Parser& parser, Stream& sink,
              Message& message, Serializer& serializer, BeforeRead before_read,
              BeforeWrite before_write) {
    namespace http = boost::beast::http;
    cw_body_relay_result result;
    std::array<char, cw_stream_chunk> chunk{};
    while (result.is_whole() && !serializer.is_done()) {
        message.body().data = nullptr;
        message.body().size = 0;
        if (!parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            before_read();
            co_await http::async_read(source, buffer, parser, cw_redirect_error(result.source));
            // A full buffer is a piece, not a failure.
            if (result.source == http::error::need_buffer) {
                result.source = {};
            }
            if (result.source) {
                break;
            }
            message.body().data = chunk.data();
            message.body().size = chunk.size() - parser.get().body().size;
        }
        message.body().more = !parser.is_done();
        before_write();
        co_await http::async_write(sink, serializer, cw_redirect_error(result.sink));
        if (result.sink == http::error::need_buffer) {
            result.sink = {};
        }
    }
    co_return result;
}
