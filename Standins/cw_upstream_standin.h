#pragma once

#include "cw_http_message.h"
#include "cw_http_server.h"
#include "cw_lease_holder.h"
#include "cw_time.h"
#include "cw_upstream_standin_options.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

/// Test stand-in for a server that owns keys. Its journal records the executed requests
/// independently of the router.
class cw_upstream_standin {
public:
    cw_upstream_standin(boost::asio::io_context& context, cw_upstream_standin_options options);
    void start() { server_.start(); }
    /// Announces that it will stop and accepts no new work for services without owners. The process
    /// may exit once is_drained() is true.
    void begin_drain();
    /// Whether no request is running and no slices are held.
    [[nodiscard]] bool is_drained() const;

private:
    /// One execution of a request; the journal lists it once it has ended.
    struct execution {
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

    boost::asio::awaitable<cw_http_response> handle_request(cw_http_request request);
    boost::asio::awaitable<cw_http_response> handle_lease(const cw_http_request& request);
    boost::asio::awaitable<cw_http_response> handle_work(cw_http_request request);
    /// Waits for requests of slices that are no longer owned; aborts those that take too long.
    boost::asio::awaitable<void> finish_or_abort_unowned();
    [[nodiscard]] bool can_execute(const cw_http_request& request, execution& entry) const;
    [[nodiscard]] cw_http_response make_answer(const cw_http_request& request,
                                               const execution& entry) const;
    [[nodiscard]] std::string journal_json() const;
    [[nodiscard]] std::chrono::milliseconds execution_time() const;

    boost::asio::io_context& context_;
    cw_upstream_standin_options options_;
    cw_http_server server_;
    cw_lease_holder holder_;
    cw_upstream_time started_at_;
    std::deque<execution> journal_;
    std::map<std::uint64_t, execution*> running_;
    std::map<std::string, std::string> answers_by_idempotency_key_;
    std::set<std::string> running_idempotency_keys_;
    std::uint64_t last_execution_id_ = 0;
    bool draining_ = false;
};
