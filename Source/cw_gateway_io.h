#pragma once

#include "cw_async.h"
#include "cw_gateway_feed.h"
#include "cw_gateway_messages.h"
#include "cw_gateway_options.h"
#include "cw_gateway_port.h"
#include "cw_gateway_traffic.h"
#include "cw_host_exchange.h"
#include "cw_http_client.h"
#include "cw_kernel.h"
#include "cw_log.h"
#include "cw_spawn.h"
#include "cw_timeline.h"

#include <caf/send.hpp>
#include <set>

/// Carries out what the control state decides: calls to the store and to upstreams, the exchange
/// with other hosts, and publishing to traffic.
template <cw_gateway_port Port>
class cw_gateway_io {
public:
    cw_gateway_io(boost::asio::io_context& context, cw_kernel& kernel,
                  const cw_gateway_options& options, const cw_steward_id& self,
                  cw_gateway_traffic& traffic)
        : context_{context},
          kernel_{kernel},
          options_{options},
          traffic_{traffic},
          timeline_{options.host, options.domain, "control"},
          store_http_{context},
          order_http_{context},
          store_{
              store_http_, options.store,
              [this](const cw_error& error, std::uint64_t revision) { reject(error, revision); }},
          orders_{order_http_},
          feed_{context, options, store_, self.address,
                [this](cw_control_event event) { deliver(std::move(event)); }},
          exchange_{context,
                    options,
                    self,
                    traffic,
                    [this](cw_control_event event) { deliver(std::move(event)); },
                    [this](std::string target) { return feed_.serve(std::move(target)); }} {}

    void start() {
        traffic_.crashes().set_reporter(
            [this](std::uint64_t fingerprint, const std::string& address, bool answered) {
                deliver(cw_crash_note{fingerprint, address, answered});
            });
        traffic_.set_leaving_reporter([this](const cw_leaving_note& note) { deliver(note); });
        exchange_.start();
        feed_.start();
    }

    /// Takes what the control state decided; called on the I/O thread.
    void apply(const cw_control_output& output) {
        for (const auto& event : output.events) {
            timeline_.add(event, std::chrono::system_clock::now());
        }
        if (output.view != nullptr) {
            view_ = output.view;
            traffic_.publish(output.view);
            exchange_.on_view(output.view);
        }
        feed_.on_readers(output.readers);
        exchange_.on_stewards(output.stewards);
        exchange_.on_crashes(output.gathering_service, output.crashes);
        exchange_.on_leaving(output.leaving);
        for (const auto& command : output.commands) {
            std::visit([this](const auto& what) { this->carry_out(what); }, command);
        }
    }

    void deliver(cw_control_event event) {
        caf::anon_send(
            kernel_.find("control"),
            cw_control_event_ptr{std::make_shared<const cw_control_event>(std::move(event))});
    }

    [[nodiscard]] const std::shared_ptr<const cw_gateway_view>& view() const { return view_; }
    [[nodiscard]] std::uint64_t store_calls() const { return store_.calls(); }

private:
    using milliseconds = std::chrono::milliseconds;
    using nothing = boost::asio::awaitable<void>;

    static constexpr milliseconds table_timeout{800};
    static constexpr milliseconds grant_timeout{120};
    /// Releases are answered when the work that runs on the keys has ended.
    static constexpr milliseconds release_timeout{4'000};

    static cw_time_point after(milliseconds time) {
        return std::chrono::steady_clock::now() + time;
    }

    void spawn(nothing work) { cw_spawn(context_, std::move(work), log_); }

    void reject(const cw_error& error, std::uint64_t revision) {
        if (rejected_.insert(error.peer + "@" + std::to_string(revision)).second) {
            log_.warning("An object of the store is passed over.",
                         {{"name", error.peer},
                          {"revision", std::to_string(revision)},
                          {"reason", error.reason}});
        }
        if (rejected_.size() > most_rejected) {
            rejected_.clear();
        }
    }

    void carry_out(const cw_key_order& order) { spawn(send_order(order)); }
    void carry_out(const cw_read_table& command) { spawn(read_table(command)); }
    void carry_out(const cw_write_table& command) { spawn(write_table(command)); }
    void carry_out(const cw_write_beat& command) { spawn(write_beat(command)); }
    void carry_out(const cw_read_beat& command) { spawn(read_beat(command)); }
    void carry_out(const cw_tell_predecessor& command) { exchange_.tell(command); }

    nothing send_order(cw_key_order order) {
        // Only a release waits for work to end.
        const bool releases = order.what == cw_key_order::kind::release;
        const std::string what = cw_key_order::name_of(order.what);
        const auto ended =
            co_await orders_.send(order, after(releases ? release_timeout : grant_timeout));
        traffic_.metrics().increment(what + "s");
        if (ended.result != cw_order_result::done) {
            log_.info("An order was not carried out.",
                      {{"upstream", order.upstream.id},
                       {"what", what},
                       {"first", std::to_string(order.first)},
                       {"last", std::to_string(order.last)},
                       {"fence", std::to_string(order.fence)},
                       {"result", std::to_string(static_cast<int>(ended.result))}});
        }
        deliver(cw_ownership_event{order.service, ended});
    }

    nothing read_table(cw_read_table command) {
        auto answer = co_await store_.read_table(command.service, after(table_timeout));
        deliver(cw_ownership_event{command.service, std::move(answer)});
    }

    nothing write_table(cw_write_table command) {
        auto answer = co_await store_.write_table(command.service, command.text, command.revision,
                                                  after(table_timeout));
        deliver(cw_ownership_event{command.service, std::move(answer)});
    }

    nothing write_beat(cw_write_beat command) {
        const auto answer = co_await store_.write_beat(command.service, command.count, command.term,
                                                       after(table_timeout));
        deliver(cw_ownership_event{command.service, answer});
    }

    nothing read_beat(cw_read_beat command) {
        const auto answer = co_await store_.read_beat(command.service, after(table_timeout));
        deliver(cw_ownership_event{command.service, answer});
    }

    static constexpr std::size_t most_rejected = 1'000;

    boost::asio::io_context& context_;
    cw_kernel& kernel_;
    const cw_gateway_options& options_;
    cw_gateway_traffic& traffic_;
    cw_log log_{"control"};
    cw_timeline timeline_;
    cw_http_client store_http_;
    cw_http_client order_http_;
    typename Port::store store_;
    typename Port::orders orders_;
    std::shared_ptr<const cw_gateway_view> view_;
    std::set<std::string> rejected_;
    cw_gateway_feed<Port> feed_;
    cw_host_exchange exchange_;
};
