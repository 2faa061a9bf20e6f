#pragma once

#include "cw_http_server.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// An instance of the platform, small: it runs requests, holds keys under fences and leases, and
/// keeps a journal of what it ran.
class cw_instance_standin {
public:
    /// One run of a request.
    struct execution {
        std::string id;
        std::uint32_t key = 0;
        std::chrono::steady_clock::time_point begin;
    };

    cw_instance_standin(boost::asio::io_context& context, std::string id, const cw_address& address,
                        bool is_keyed);

    void start() { server_->start(); }
    /// Ends this life: nothing listens any more and nothing is held.
    void crash();
    /// Begins a new life at the same address.
    void restart();
    void set_work_time(std::chrono::milliseconds time) { work_time_ = time; }

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const cw_address& address() const { return address_; }
    [[nodiscard]] std::uint64_t started_ms() const { return started_ms_; }
    [[nodiscard]] bool is_up() const { return server_ != nullptr; }
    [[nodiscard]] const std::vector<execution>& executions() const { return executions_; }
    /// True while it holds the key.
    [[nodiscard]] bool holds(std::uint32_t key) const;
    [[nodiscard]] bool is_keyed() const { return is_keyed_; }

private:
    struct held_range {
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        std::chrono::steady_clock::time_point until;
    };

    void listen();
    /// Serves a request of the given life; one of an earlier life gets no sensible answer.
    boost::asio::awaitable<cw_http_response> serve(cw_http_request request,
                                                   std::uint64_t incarnation);
    boost::asio::awaitable<cw_http_response> handle_call(cw_http_request request);
    cw_http_response apply_command(const cw_http_request& request, bool grants);

    boost::asio::io_context& context_;
    std::string id_;
    cw_address address_;
    bool is_keyed_;
    std::uint64_t started_ms_ = 0;
    std::chrono::milliseconds work_time_{20};
    std::uint32_t running_ = 0;
    /// Ranges by their first key.
    std::map<std::uint32_t, held_range> held_ranges_;
    std::vector<std::uint64_t> seen_fences_;
    std::vector<execution> executions_;
    std::unique_ptr<cw_http_server> server_;
    /// Servers of earlier lives; their connections may still be open.
    std::vector<std::unique_ptr<cw_http_server>> earlier_servers_;
    std::uint64_t incarnation_ = 0;
};
