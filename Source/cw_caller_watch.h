#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <list>
#include <memory>

class cw_call_watch;

/// Watches a caller's connection while requests of it are in progress. Reads the bytes that the
/// caller sends meanwhile, and ends the calls of all these requests when the caller leaves.
///
/// Up to `cw_max_pipelined_bytes` are read ahead of the requests that are in progress. While the
/// buffer is full, the caller's disconnect is detected only when an answer is written.
///
/// Shared with the calls that it watches, which may end later than the session.
class cw_caller_watch : public std::enable_shared_from_this<cw_caller_watch> {
public:
    /// The socket and the buffer must outlive the watch or its stop(). Until then no other
    /// operation may wait on the socket for input or use the buffer's memory.
    cw_caller_watch(boost::asio::ip::tcp::socket& caller, boost::beast::flat_buffer& buffer);

    /// Starts to wait for input. `on_input` is called after bytes were added to the buffer.
    void start(std::function<void()> on_input);
    /// Waits for input again if the buffer was full and has room now.
    void resume();
    /// Ends the watch: cancels the operations of the socket, and calls `on_input` no more.
    void stop();
    /// Ends all calls, because their answers cannot be delivered.
    void cancel_calls();

    /// Reads what has arrived; true when the calls have ended. When this host is overloaded, a
    /// disconnect may have arrived before its event is handled.
    [[nodiscard]] bool poll();
    /// True when the caller's disconnect has been detected.
    [[nodiscard]] bool has_caller_left() const { return has_caller_left_; }
    /// True when the caller has left or the calls were cancelled.
    [[nodiscard]] bool has_ended() const { return has_caller_left_ || is_cancelled_; }

private:
    friend class cw_call_watch;

    void wait_for_input();
    void end_calls();

    boost::asio::ip::tcp::socket& caller_;
    boost::beast::flat_buffer& buffer_;
    std::function<void()> on_input_;
    std::list<cw_call_watch*> calls_;
    bool is_waiting_ = false;
    bool is_stopped_ = false;
    bool is_cancelled_ = false;
    bool has_caller_left_ = false;
};
