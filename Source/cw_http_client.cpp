#include "cw_http_client.h"

#include "cw_address.h"
#include "cw_async.h"
#include "cw_read_room.h"
#include "cw_socket_state.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {
/// As many as a steward has commands to one upstream.
constexpr std::size_t max_idle_connections = 8;
constexpr std::size_t max_unused_connections = 2;
/// Size of a response, in bytes, from which its transfer is logged.
constexpr std::uint64_t large_response = 65'536;
/// Error steps of a failed connect. step_reconnect means that the request had already been sent on
/// a pooled connection, so the peer may have received it.
constexpr const char* step_connect = "connect";
constexpr const char* step_reconnect = "connect again";
/// Error steps of a response of which nothing, or only a part, has arrived.
constexpr const char* step_receive = "receive";
constexpr const char* step_receive_rest = "receive the rest";
/// Error step of a request for which no connection was idle.
constexpr const char* step_take_idle = "take an idle connection";
/// Error step of a request for which all idle connections were established too late.
constexpr const char* step_take_early = "take a connection of before";
/// Error step of a request that was not written, since it was too late.
constexpr const char* step_begin = "begin to send";

tl::unexpected<cw_error> failed(const char* step, const std::string& peer,
                                const boost::system::error_code& failure) {
    return tl::unexpected(cw_error{step, peer, failure.message()});
}

/// True if the connection is open and has no unread bytes.
bool is_usable(boost::beast::tcp_stream& channel) {
    return cw_peek_socket(channel.socket()) == cw_socket_state::no_data;
}

/// True if the rest of the response is known to fit one read.
bool fits_one_read(const http::response_parser<http::string_body>& parser) {
    const auto length = parser.is_header_done() ? parser.content_length() : boost::none;
    return length && *length - parser.get().body().size() <= cw_control_read_room;
}

std::string milliseconds_between(cw_time_point from, cw_time_point until) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(until - from).count());
}
} // namespace

bool cw_is_connection_refused(const cw_error& error) {
    return (error.step == step_connect || error.step == step_reconnect) &&
           error.reason == boost::system::error_code{net::error::connection_refused}.message();
}

bool cw_was_never_sent(const cw_error& error) {
    return error.step == step_connect || error.step == step_take_idle ||
           error.step == step_take_early || error.step == step_begin;
}

bool cw_was_sender_late(const cw_error& error) {
    return error.step == step_begin;
}

bool cw_was_established_late(const cw_error& error) {
    return error.step == step_take_early;
}

bool cw_was_response_cut(const cw_error& error) {
    return error.step == step_receive_rest;
}

bool cw_is_response_too_large(const cw_error& error) {
    return (error.step == step_receive || error.step == step_receive_rest) &&
           error.reason == http::make_error_code(http::error::body_limit).message();
}

cw_http_client::connection cw_http_client::take_idle_connection(const std::string& address) {
    auto& idle = idle_[address];
    while (!idle.empty()) {
        auto taken = std::move(idle.back());
        idle.pop_back();
        // Unread bytes, such as a duplicate of the last response, belong to no request. Such a
        // connection is closed.
        if (is_usable(*taken.channel)) {
            return taken;
        }
    }
    return {};
}

cw_result<cw_http_client::connection>
cw_http_client::take_connection(const std::string& address, const cw_send_conditions& conditions) {
    const bool is_unused = conditions.choice == cw_connection_choice::only_unused;
    auto& candidates = is_unused ? unused_[address] : idle_[address];
    std::erase_if(candidates, [](auto& item) { return !is_usable(*item.channel); });
    const auto found =
        std::find_if(candidates.begin(), candidates.end(), [&](const connection& item) {
            return item.established_at <= conditions.established_by;
        });
    if (found != candidates.end()) {
        auto taken = std::move(*found);
        candidates.erase(found);
        return taken;
    }
    if (candidates.empty()) {
        return tl::unexpected(cw_error{step_take_idle, address, "none is idle"});
    }
    return tl::unexpected(cw_error{step_take_early, address, "all were established later"});
}

std::size_t cw_http_client::idle_connections(const std::string& address) const {
    const auto found = idle_.find(address);
    return found == idle_.end() ? 0 : found->second.size();
}

void cw_http_client::close_idle_after_timeout(const std::string& address,
                                              const boost::system::error_code& failure,
                                              std::size_t kept) {
    if (failure != boost::beast::error::timeout) {
        return;
    }
    auto& idle = idle_[address];
    if (idle.size() > kept) {
        idle.erase(idle.begin(), idle.end() - static_cast<std::ptrdiff_t>(kept));
    }
}

void cw_http_client::return_to_pool(const std::string& address, connection returned) {
    auto& idle = idle_[address];
    if (idle.size() < max_idle_connections) {
        returned.channel->expires_never();
        idle.push_back(std::move(returned));
    }
}

net::awaitable<void> cw_http_client::open(std::string address, cw_time_point deadline) {
    auto opened = co_await connect(address, deadline);
    auto& unused = unused_[address];
    if (opened && unused.size() < max_unused_connections) {
        opened->channel->expires_never();
        unused.push_back(std::move(*opened));
    }
}

void cw_http_client::log_large_response(const std::string& address, const call_limits& limits,
                                        std::uint64_t bytes, std::uint64_t reads,
                                        cw_time_point sent_at, cw_time_point begun_at) {
    if (bytes < large_response) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    log_.info("A large response has been received.",
              {{"peer", address},
               {"bytes", std::to_string(bytes)},
               {"reads", std::to_string(reads)},
               {"first_byte_ms", milliseconds_between(sent_at, begun_at)},
               {"ms", milliseconds_between(sent_at, now)},
               {"time_left_ms", milliseconds_between(now, limits.deadlines.complete)}});
}

net::awaitable<cw_result<cw_http_response>> cw_http_client::request(std::string address,
                                                                    cw_http_request message,
                                                                    cw_time_point deadline,
                                                                    cw_send_conditions conditions) {
    return request_within(std::move(address), std::move(message),
                          {{deadline, deadline}, max_bytes_, conditions.send_by}, conditions);
}

net::awaitable<cw_result<cw_http_response>>
cw_http_client::request(std::string address, cw_http_request message, cw_call_deadlines deadlines) {
    return request(std::move(address), std::move(message), deadlines, max_bytes_);
}

net::awaitable<cw_result<cw_http_response>> cw_http_client::request(std::string address,
                                                                    cw_http_request message,
                                                                    cw_call_deadlines deadlines,
                                                                    std::uint64_t max_bytes) {
    return request_within(std::move(address), std::move(message), {deadlines, max_bytes}, {});
}

net::awaitable<cw_result<cw_http_client::connection>>
cw_http_client::connect(const std::string& address, cw_time_point deadline) {
    const auto endpoint = cw_address::parse(address);
    if (!endpoint) {
        co_return tl::unexpected(cw_error{step_connect, address, "not an IP:port"});
    }
    connection opened{std::make_unique<stream>(context_)};
    opened.channel->expires_at(deadline);
    boost::system::error_code failure;
    co_await opened.channel->async_connect(endpoint->tcp(), cw_redirect_error(failure));
    if (failure) {
        co_return failed(step_connect, address, failure);
    }
    opened.established_at = cw_boot_clock::now();
    opened.channel->socket().set_option(net::ip::tcp::no_delay{true}, failure);
    // An abandoned request must not arrive later: a linger time of 0 discards unsent data when the
    // socket is closed. It is set in advance because the stream closes its socket by itself when a
    // deadline passes.
    opened.channel->socket().set_option(net::socket_base::linger{true, 0}, failure);
    co_return opened;
}

net::awaitable<cw_result<cw_http_response>>
cw_http_client::request_within(std::string address, cw_http_request message, call_limits limits,
                               cw_send_conditions conditions) {
    const auto& deadlines = limits.deadlines;
    const auto first_byte_on_new =
        deadlines.is_first_byte_final ? deadlines.first_byte : deadlines.complete;
    if (cw_boot_clock::now() > limits.send_by) {
        co_return failed(step_begin, address, net::error::timed_out);
    }
    message.prepare_payload();
    if (conditions.choice == cw_connection_choice::only_idle ||
        conditions.choice == cw_connection_choice::only_unused) {
        auto taken = take_connection(address, conditions);
        if (!taken) {
            co_return tl::unexpected(taken.error());
        }
        // Of two connections, the other one shows whether this one alone has gone silent.
        limits.kept_after_timeout = 1;
        co_return co_await try_once(*taken, address, message, limits);
    }
    connection idle;
    if (conditions.choice == cw_connection_choice::only_new) {
        // A new connection that is not answered tells nothing of the others.
        limits.kept_after_timeout = max_idle_connections;
    } else {
        idle = take_idle_connection(address);
    }
    const bool was_sent = idle.channel != nullptr;
    if (was_sent) {
        auto response = co_await try_once(idle, address, message, limits);
        // The peer may have closed the idle connection. Only a new connection shows whether the
        // peer is reachable.
        if (response || cw_is_response_too_large(response.error()) ||
            std::chrono::steady_clock::now() >= first_byte_on_new) {
            co_return response;
        }
        idle.channel.reset();
    }
    auto opened = co_await connect(address, first_byte_on_new);
    if (!opened) {
        auto error = opened.error();
        error.step = was_sent ? step_reconnect : step_connect;
        co_return tl::unexpected(std::move(error));
    }
    limits.deadlines.first_byte = first_byte_on_new;
    co_return co_await try_once(*opened, address, message, limits);
}

net::awaitable<cw_result<cw_http_response>> cw_http_client::try_once(connection& used,
                                                                     const std::string& address,
                                                                     const cw_http_request& message,
                                                                     call_limits limits) {
    const auto& deadlines = limits.deadlines;
    auto& channel = *used.channel;
    boost::system::error_code failure;
    if (cw_boot_clock::now() > limits.send_by) {
        co_return failed(step_begin, address, net::error::timed_out);
    }
    channel.expires_at(deadlines.first_byte);
    bytes_ += co_await http::async_write(channel, message, cw_redirect_error(failure));
    if (failure) {
        close_idle_after_timeout(address, failure, limits.kept_after_timeout);
        co_return failed("send", address, failure);
    }
    boost::beast::flat_buffer buffer{cw_max_read_buffer};
    http::response_parser<http::string_body> parser;
    parser.body_limit(limits.max_bytes);
    const auto sent_at = std::chrono::steady_clock::now();
    std::uint64_t received =
        co_await http::async_read_some(channel, buffer, parser, cw_redirect_error(failure));
    std::uint64_t reads = 1;
    bool is_late = false;
    const auto begun_at = std::chrono::steady_clock::now();
    const bool has_begun = !failure;
    while (!failure && !parser.is_done()) {
        channel.expires_at(
            std::min(deadlines.complete,
                     cw_time_point{std::chrono::steady_clock::now() + deadlines.longest_pause}));
        cw_make_read_room(buffer, parser, cw_control_read_room);
        received +=
            co_await http::async_read_some(channel, buffer, parser, cw_redirect_error(failure));
        ++reads;
        // The stream's timer ends a wait. A read whose bytes are there already does not wait.
        const bool was_late =
            std::exchange(is_late, std::chrono::steady_clock::now() >= deadlines.complete);
        if (!failure && !parser.is_done() && is_late && (was_late || !fits_one_read(parser))) {
            failure = net::error::timed_out;
        }
    }
    bytes_ += received;
    log_large_response(address, limits, received, reads, sent_at, begun_at);
    if (failure) {
        close_idle_after_timeout(address, failure, limits.kept_after_timeout);
        co_return failed(has_begun ? step_receive_rest : step_receive, address, failure);
    }
    if (parser.get().keep_alive() && !parser.get().need_eof() && buffer.size() == 0) {
        return_to_pool(address, std::move(used));
    }
    co_return parser.release();
}
