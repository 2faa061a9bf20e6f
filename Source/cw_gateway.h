#pragma once

#include "cw_control_service.h"
#include "cw_gateway_io.h"
#include "cw_gateway_session.h"
#include "cw_query.h"
#include "cw_settings_file.h"

#include <boost/asio/signal_set.hpp>
#include <caf/event_based_actor.hpp>
#include <csignal>
#include <optional>
#include <thread>

/// The gateway process, with one thread each for control state, control I/O and traffic.
template <cw_gateway_port Port>
class cw_gateway {
public:
    /// Binds all addresses; throws boost::system::system_error if one is in use.
    cw_gateway(cw_gateway_options options, cw_settings_file file)
        : options_{std::move(options)},
          file_{std::move(file)},
          self_{options_.host, new_incarnation(), address_text(options_.peer_address)},
          traffic_{options_, metrics_},
          acceptor_{traffic_.context()},
          admin_{context_, options_.admin_address,
                 [this](cw_http_request request) { return serve_admin(std::move(request)); }},
          io_{context_, kernel_, options_, self_, traffic_} {
        if (options_.metrics_port != 0) {
            metrics_server_.emplace(
                context_, cw_address{options_.listen_address.ip, options_.metrics_port},
                [this](cw_http_request request) { return serve_admin(std::move(request)); });
        }
        acceptor_.open(options_.listen_address.tcp().protocol());
        acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address{true});
        acceptor_.bind(options_.listen_address.tcp());
        acceptor_.listen();
    }

    /// Runs until SIGTERM or SIGINT. The readiness check then fails first, requests in flight may
    /// finish until the grace period ends, and the process exits with success. SIGHUP reloads the
    /// settings.
    void run() {
        start_services();
        admin_.start();
        if (metrics_server_) {
            metrics_server_->start();
        }
        io_.start();
        boost::asio::co_spawn(context_, poll_settings_file(), boost::asio::detached);
        boost::asio::co_spawn(traffic_.context(), accept_connections(), boost::asio::detached);
        std::jthread traffic{[this] { traffic_.context().run(); }};
        boost::asio::signal_set stop_signals{context_, SIGTERM, SIGINT};
        stop_signals.async_wait([this](const boost::system::error_code& failure, int) {
            if (!failure) {
                boost::asio::co_spawn(context_, shut_down_gracefully(), boost::asio::detached);
            }
        });
        boost::asio::signal_set reload_signals{context_, SIGHUP};
        wait_for_reload_signal(reload_signals);
        log_.info("Started.", {{"host", options_.host},
                               {"domain", options_.domain},
                               {"incarnation", std::to_string(self_.incarnation)}});
        context_.run();
        kernel_.stop();
        log_.info("Stopped.", {{"requests_cut", std::to_string(traffic_.open_requests.load())}});
        // Coroutines that are still running refer to this object, so the process exits without
        // destroying it.
        std::fflush(stdout);
        std::_Exit(EXIT_SUCCESS);
    }

private:
    using milliseconds = std::chrono::milliseconds;

    /// Time until the load balancer in front of the hosts has detected that this one is not ready.
    static constexpr milliseconds deregistration_delay{2'300};
    /// Part of the grace period that is reserved for the exit of the process.
    static constexpr milliseconds exit_reserve{500};
    /// Part of the grace period before that in which the last answers are written.
    static constexpr milliseconds answer_reserve{100};
    /// Interval at which a stopping process checks for open requests.
    static constexpr milliseconds stop_poll_interval{20};
    static constexpr milliseconds settings_poll_interval{1'000};

    /// Number that increases with each start of the process: microseconds since the Unix epoch.
    static std::uint64_t new_incarnation() {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                              std::chrono::system_clock::now().time_since_epoch())
                                              .count());
    }

    static std::string address_text(const cw_address& address) {
        return address.ip.to_string() + ":" + std::to_string(address.port);
    }

    void start_services() {
        const auto io = kernel_.system().spawn([this](caf::event_based_actor*) -> caf::behavior {
            return {[this](const cw_control_output_ptr& output) {
                boost::asio::post(context_, [this, output] { io_.apply(*output); });
            }};
        });
        kernel_.add("io", io);
        kernel_.add("control", cw_start_control_service(
                                   kernel_, cw_gateway_control{self_,
                                                               {options_.domain, self_.address,
                                                                options_.cpu_capacity()},
                                                               options_.ownership,
                                                               options_.entry_return_time,
                                                               self_.incarnation,
                                                               options_.evacuation_bound}));
    }

    boost::asio::awaitable<void> accept_connections() {
        while (acceptor_.is_open()) {
            boost::system::error_code failure;
            auto socket = co_await acceptor_.async_accept(cw_redirect_error(failure));
            if (failure) {
                continue;
            }
            start_session(std::move(socket));
        }
    }

    void start_session(boost::asio::ip::tcp::socket socket) {
        boost::system::error_code failure;
        socket.set_option(boost::asio::ip::tcp::no_delay{true}, failure);
        auto session = std::make_unique<cw_gateway_session<typename Port::dialect>>(
            traffic_, std::move(socket));
        boost::asio::co_spawn(traffic_.context(),
                              cw_gateway_session<typename Port::dialect>::run(std::move(session)),
                              boost::asio::detached);
    }

    void wait_for_reload_signal(boost::asio::signal_set& reload_signals) {
        reload_signals.async_wait(
            [this, &reload_signals](const boost::system::error_code& failure, int) {
                if (!failure) {
                    log_.info("Reloading the settings on SIGHUP.", {{"host", options_.host}});
                    reload_settings();
                    wait_for_reload_signal(reload_signals);
                }
            });
    }

    /// Reloads the settings when the file has changed without a signal.
    boost::asio::awaitable<void> poll_settings_file() {
        while (true) {
            co_await cw_pause(context_, settings_poll_interval);
            if (file_.has_changed()) {
                reload_settings();
            }
        }
    }

    void reload_settings() {
        const auto read = file_.read();
        if (!read) {
            for (const auto& mistake : read.error()) {
                log_.warning("The settings are invalid and are not applied.",
                             {{"mistake", mistake}});
            }
            return;
        }
        options_.stop_grace = read->stop_grace;
        traffic_.set_retry_budget(read->retry_share, read->retry_slack);
        io_.deliver(cw_ownership_limits{read->ownership.tenure});
        log_.info("The settings have been reloaded.",
                  {{"stop_grace_ms", std::to_string(read->stop_grace.count())},
                   {"retry_share", std::to_string(read->retry_share)},
                   {"retry_slack", std::to_string(read->retry_slack)},
                   {"tenure_ms", std::to_string(read->ownership.tenure.count())}});
    }

    boost::asio::awaitable<void> shut_down_gracefully() {
        const auto until = std::chrono::steady_clock::now() + options_.stop_grace - exit_reserve;
        stopping_ = true;
        traffic_.set_answers_until(until - answer_reserve);
        log_.info("Stopping.", {{"host", options_.host},
                                {"grace_ms", std::to_string(options_.stop_grace.count())}});
        io_.deliver(cw_stop_requested{});
        co_await cw_pause(context_, deregistration_delay);
        boost::asio::post(traffic_.context(), [this] { stop_accepting(); });
        do {
            co_await cw_pause(context_, stop_poll_interval);
        } while (std::chrono::steady_clock::now() < until && traffic_.open_requests != 0);
        context_.stop();
    }

    void stop_accepting() {
        // Closing the socket would reset the connections in the operating system's accept queue and
        // lose their requests, so they are accepted first.
        boost::system::error_code failure;
        acceptor_.cancel(failure);
        acceptor_.non_blocking(true, failure);
        while (!failure) {
            boost::asio::ip::tcp::socket socket{traffic_.context()};
            acceptor_.accept(socket, failure);
            if (!failure) {
                start_session(std::move(socket));
            }
        }
        acceptor_.close(failure);
        for (auto* socket : traffic_.idle_connections) {
            boost::system::error_code ignored;
            socket->cancel(ignored);
        }
    }

    [[nodiscard]] bool is_ready() const {
        const auto& view = io_.view();
        return !stopping_ && view != nullptr && view->config != nullptr;
    }

    boost::asio::awaitable<cw_http_response> serve_admin(cw_http_request request) {
        namespace http = boost::beast::http;
        const auto path = cw_target_path({request.target().data(), request.target().size()});
        if (path == "/readyz") {
            const bool ready = is_ready();
            co_return cw_make_response(ready ? http::status::ok : http::status::service_unavailable,
                                       ready ? "ready\n" : "not ready\n", "text/plain");
        }
        if (path == "/metrics") {
            io_.update_metrics();
            co_return cw_make_response(http::status::ok, metrics_.exposition(),
                                       "text/plain; version=0.0.4");
        }
        co_return cw_make_response(http::status::not_found, "no such page\n", "text/plain");
    }

    cw_gateway_options options_;
    cw_settings_file file_;
    cw_steward_id self_;
    cw_log log_{"gateway"};
    cw_gateway_metrics metrics_;
    boost::asio::io_context context_{1};
    cw_kernel kernel_;
    cw_gateway_traffic traffic_;
    boost::asio::ip::tcp::acceptor acceptor_;
    cw_http_server admin_;
    std::optional<cw_http_server> metrics_server_;
    cw_gateway_io<Port> io_;
    bool stopping_ = false;
};
