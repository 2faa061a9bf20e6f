#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

/// Notices that the other side of a connection has gone while nothing is read from it.
///
/// Bytes that arrive meanwhile (a pipelined request) are left alone and end the watch.
class cw_disconnect_watch {
public:
    /// Calls `on_gone` at most once, from the socket's executor. No other operation that can be
    /// cancelled may wait on the socket while it is watched.
    cw_disconnect_watch(boost::asio::ip::tcp::socket& socket, std::function<void()> on_gone);
    ~cw_disconnect_watch() { stop(); }
    cw_disconnect_watch(const cw_disconnect_watch&) = delete;
    cw_disconnect_watch& operator=(const cw_disconnect_watch&) = delete;

    void stop();
    [[nodiscard]] bool is_gone() const { return state_->gone; }

private:
    struct state {
        bool active = true;
        bool gone = false;
        std::function<void()> on_gone;
    };

    boost::asio::ip::tcp::socket& socket_;
    std::shared_ptr<state> state_;
};
