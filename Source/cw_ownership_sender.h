#pragma once

#include "cw_boot_clock.h"
#include "cw_connection_choice.h"
#include "cw_gateway_port.h"
#include "cw_steward_command.h"
#include "cw_steward_event.h"
#include "cw_time.h"
#include "cw_upstream_continuity.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

/// Sends a steward's commands to upstreams in such a way that a grant is executed when it arrives
/// or never, and only by an upstream's process that was running when the store last confirmed the
/// steward (see cw_upstream_continuity).
///
/// An upstream that is busy may take a new connection long after its operating system established
/// it, together with a grant that was sent on it and given up meanwhile. A reset does not prevent
/// that: it may be lost, and does not withdraw what has arrived. The lease would then begin after
/// its steward has stopped counting on it. So a grant is sent only on a connection on which the
/// upstream has answered, which on a new one is a probe.
template <cw_gateway_command_sender CommandSender>
class cw_ownership_sender {
public:
    explicit cw_ownership_sender(CommandSender& sender)
        : sender_{sender} {}

    /// Sends the command and waits for the answer until the deadline.
    boost::asio::awaitable<cw_ownership_command_ended> send(cw_ownership_command command,
                                                            cw_time_point deadline) {
        // A second release would be answered at once, while requests for which the first one waits
        // still run. So it is sent on a new connection, which cannot have broken before.
        if (command.type != cw_ownership_command::kind::grant) {
            const cw_send_conditions conditions{cw_connection_choice::only_new, cw_boot_time::max(),
                                                command.send_by};
            co_return co_await sender_.send(std::move(command), deadline, conditions);
        }
        auto ended = co_await send_grant(command, deadline, cw_connection_choice::only_idle);
        if (ended.result == result::done) {
            co_await open_spare_connection(command);
        } else if (ended.result == result::not_sent) {
            ended = co_await send_on_unused(command, deadline);
            if (ended.result == result::not_sent) {
                ended = co_await send_on_new(std::move(command), deadline);
                ended.opened_connection = true;
            }
        }
        co_return ended;
    }

private:
    using result = cw_ownership_command_result;

    /// Interval at which a spare connection to an upstream is opened if it does not last.
    static constexpr std::chrono::milliseconds spare_interval{1'000};
    static constexpr std::chrono::milliseconds spare_timeout{500};
    /// Limit of the upstreams that are remembered, which bounds the memory.
    static constexpr std::size_t max_upstreams = 16'384;

    boost::asio::awaitable<cw_ownership_command_ended>
    send_grant(cw_ownership_command grant, cw_time_point deadline, cw_connection_choice choice) {
        const auto sent_at = cw_boot_clock::now();
        // An upstream may take an unused connection late. The lease is shorter than its steward
        // counts on, by the time that this may take.
        if (choice == cw_connection_choice::only_unused) {
            grant.lease /= 2;
        }
        const cw_send_conditions conditions{choice, continuity_.established_by(grant),
                                            grant.send_by};
        auto ended = co_await sender_.send(grant, deadline, conditions);
        if (ended.result == result::done) {
            continuity_.on_answer(grant, sent_at);
        }
        co_return ended;
    }

    /// Sends the grant to an upstream that keeps no connection open, for example because it is
    /// leaving. The next connection is opened before, so that the answer shows to which process it
    /// leads.
    boost::asio::awaitable<cw_ownership_command_ended>
    send_on_unused(const cw_ownership_command& grant, cw_time_point deadline) {
        if (!closing_.contains(grant.upstream.address)) {
            cw_ownership_command_ended ended;
            ended.number = grant.number;
            ended.result = result::not_sent;
            co_return ended;
        }
        co_await sender_.open(grant.upstream.address, deadline);
        co_return co_await send_grant(grant, deadline, cw_connection_choice::only_unused);
    }

    boost::asio::awaitable<cw_ownership_command_ended> send_on_new(cw_ownership_command grant,
                                                                   cw_time_point deadline) {
        auto opened = co_await open_connection(grant, deadline);
        if (opened.result != result::done) {
            co_return opened;
        }
        auto ended = co_await send_grant(grant, deadline, cw_connection_choice::only_idle);
        if (ended.result != result::not_sent) {
            closing_.erase(grant.upstream.address);
            co_return ended;
        }
        if (closing_.size() >= max_upstreams) {
            closing_.clear();
        }
        closing_.insert(grant.upstream.address);
        co_await sender_.open(grant.upstream.address, deadline);
        co_return co_await send_grant(std::move(grant), deadline,
                                      cw_connection_choice::only_unused);
    }

    /// Keeps a second connection to an upstream, so that one of them shows to which process the
    /// other leads when that one is closed and the store is away. Does not wait for it: an upstream
    /// that is full may take it late.
    boost::asio::awaitable<void> open_spare_connection(const cw_ownership_command& grant) {
        const auto& address = grant.upstream.address;
        const auto now = cw_boot_clock::now();
        if (next_spare_.size() >= max_upstreams) {
            next_spare_.clear();
        }
        // None at first: a steward that takes over has enough connections to open.
        const auto next = next_spare_.try_emplace(address, now + spare_interval).first;
        if (now < next->second || sender_.idle_connections(address) > 1) {
            co_return;
        }
        next->second = now + spare_interval;
        auto open = [](cw_ownership_sender& sender,
                       cw_ownership_command command) -> boost::asio::awaitable<void> {
            const auto deadline = std::chrono::steady_clock::now() + spare_timeout;
            static_cast<void>(co_await sender.open_connection(command, deadline));
        };
        boost::asio::co_spawn(co_await boost::asio::this_coro::executor, open(*this, grant),
                              boost::asio::detached);
    }

    /// Sends a probe on a new connection, which then becomes idle. The result is `done` if the
    /// upstream has answered it, and else that of a grant which was not sent.
    boost::asio::awaitable<cw_ownership_command_ended>
    open_connection(const cw_ownership_command& grant, cw_time_point deadline) {
        // A key beside the granted ones, if there is one: a release waits for requests that run.
        const auto key = grant.last < cw_last_key ? grant.last + 1 : 0;
        auto opened = co_await sender_.send(cw_ownership_command::probe(grant.upstream, key),
                                            deadline, {cw_connection_choice::only_new});
        opened.number = grant.number;
        if (opened.result == result::unanswered) {
            opened.result = result::not_sent;
        }
        co_return opened;
    }

    CommandSender& sender_;
    cw_upstream_continuity continuity_;
    /// Addresses of upstreams that closed the last connection which was opened to them.
    std::set<std::string> closing_;
    /// When the next spare connection may be opened, by address.
    std::map<std::string, cw_boot_time> next_spare_;
};
