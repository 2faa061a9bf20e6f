#pragma once

#include "cw_http_message.h"
#include "cw_http_server.h"
#include "cw_lease_holder.h"
#include "cw_time.h"
#include "cw_upstream_options.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

/// A small fake of a server that holds keys. Its journal tells, from outside the router, what ran.
class cw_upstream_standin {
public:
    cw_upstream_standin(boost::asio::io_context& context, cw_upstream_options options);
    void start() { server_.start(); }
    /// Announces that it will stop; the process may end once nothing runs and no slices are held.
    void begin_drain();
    [[nodiscard]] bool is_drained() const;

private:
    /// One run of a request, as the journal shows it.
    struct run {
        std::string request_id;
        std::string idempotency_key;
        std::string key;
        std::uint64_t hash = 0;
        std::uint64_t generation = 0;
        cw_upstream_time start{};
        cw_upstream_time end{};
        bool committed = false;
        bool aborted = false;
    };

    boost::asio::awaitable<cw_http_response> serve(cw_http_request request);
    boost::asio::awaitable<cw_http_response> serve_lease(const cw_http_request& request);
    boost::asio::awaitable<cw_http_response> serve_work(cw_http_request request);
    boost::asio::awaitable<void> finish_foreign_runs();
    [[nodiscard]] bool may_run(const cw_http_request& request, run& entry) const;
    [[nodiscard]] cw_http_response answer(const cw_http_request& request, const run& entry) const;
    [[nodiscard]] std::string journal() const;
    [[nodiscard]] std::chrono::milliseconds work_time() const;

    boost::asio::io_context& context_;
    cw_upstream_options options_;
    cw_http_server server_;
    cw_lease_holder holder_;
    cw_upstream_time started_;
    std::deque<run> journal_;
    std::map<std::uint64_t, run*> running_;
    std::map<std::string, std::string> answered_keys_;
    std::set<std::string> running_keys_;
    std::uint64_t next_run_ = 0;
    bool draining_ = false;
};
