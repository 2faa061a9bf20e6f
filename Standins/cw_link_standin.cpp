#include "cw_link_standin.h"

#include "cw_async.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace net = boost::asio;

namespace {
constexpr std::size_t chunk_size = 16'384;
} // namespace

cw_link_standin::cw_link_standin(net::io_context& context, const cw_address& listen,
                                 const cw_address& target)
    : context_{context},
      acceptor_{context, listen.tcp()},
      target_{target},
      restored_{context} {}

void cw_link_standin::start() {
    net::co_spawn(context_, accept_connections(), net::detached);
}

void cw_link_standin::set_partitioned(bool is_partitioned) {
    is_partitioned_ = is_partitioned;
    restored_.notify_all();
}

net::awaitable<void> cw_link_standin::accept_connections() {
    while (true) {
        auto caller = std::make_shared<net::ip::tcp::socket>(context_);
        boost::system::error_code failure;
        co_await acceptor_.async_accept(*caller, cw_redirect_error(failure));
        if (!failure) {
            net::co_spawn(context_, forward_connection(std::move(caller)), net::detached);
        }
    }
}

net::awaitable<void> cw_link_standin::wait_until_restored() {
    while (is_partitioned_) {
        co_await restored_.wait(cw_time_point::max());
    }
}

net::awaitable<void> cw_link_standin::forward_connection(socket_ptr caller) {
    const auto accepted_in = silent_before_;
    co_await wait_until_restored();
    auto target = std::make_shared<net::ip::tcp::socket>(context_);
    boost::system::error_code failure;
    co_await target->async_connect(target_.tcp(), cw_redirect_error(failure));
    if (failure) {
        co_return;
    }
    net::co_spawn(context_, forward_data(caller, target, accepted_in, direction::to_target),
                  net::detached);
    co_await forward_data(target, caller, accepted_in, direction::to_caller);
}

net::awaitable<void> cw_link_standin::carry(std::size_t bytes) {
    delivered_bytes_ += bytes;
    if (rate_ != 0) {
        const std::chrono::duration<double> time{static_cast<double>(bytes) /
                                                 static_cast<double>(rate_)};
        free_at_ = std::max(free_at_, std::chrono::steady_clock::now()) +
                   std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
        net::steady_timer timer{context_, free_at_};
        boost::system::error_code ignored;
        co_await timer.async_wait(cw_redirect_error(ignored));
    }
}

net::awaitable<void> cw_link_standin::forward_data(socket_ptr from, socket_ptr to,
                                                   std::uint64_t accepted_in, direction way) {
    std::array<char, chunk_size> chunk{};
    boost::system::error_code failure;
    while (!failure) {
        const auto size =
            co_await from->async_read_some(net::buffer(chunk), cw_redirect_error(failure));
        co_await wait_until_restored();
        if (!failure && way == direction::to_caller) {
            co_await carry(size);
        }
        if (!failure && accepted_in == silent_before_) {
            co_await net::async_write(*to, net::buffer(chunk.data(), size),
                                      cw_redirect_error(failure));
        }
    }
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
}
