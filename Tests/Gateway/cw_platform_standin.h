#pragma once

#include "cw_async_condition.h"
#include "cw_http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

/// A simulated object store of the platform with revisions, conditional writes, paged lists,
/// watches and a bounded history. It can be down, be slow, lose the answers to writes, or come back
/// from an older copy of itself.
class cw_platform_standin {
private:
    struct change {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json event;
    };

public:
    /// All that the store holds at one moment.
    struct copy {
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
        std::deque<change> history;
        std::uint64_t last_dropped_revision = 0;
        std::uint64_t revision = 1;
    };

    cw_platform_standin(boost::asio::io_context& context, const cw_address& address);
    void start() { server_.start(); }

    /// Writes an object as an operator or an upstream would.
    void put(const std::string& kind, const std::string& name, nlohmann::json spec);
    void remove(const std::string& kind, const std::string& name);
    /// Writes an object whose spec is the given bytes, valid JSON or not.
    void put_raw(const std::string& kind, const std::string& name, const std::string& spec);
    /// The spec of an object; null if there is none.
    [[nodiscard]] nlohmann::json spec(const std::string& kind, const std::string& name) const;
    /// Calls that arrive while the store is down, and watches that are pending then, get no answer
    /// for 30 s, even when the store is up again.
    void set_down(bool down) {
        down_ = down;
        outages_ += down ? 1 : 0;
    }
    /// Sets the delay of each answer.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
    /// Sets an additional delay of answers that concern a kind.
    void set_delay_of(const std::string& kind, std::chrono::milliseconds delay) {
        kind_delays_[kind] = delay;
    }
    /// Sets the share (0 to 1) of the writes that are applied but not answered.
    void set_lost_answers(double share) { lost_answers_ = share; }
    /// Sets the number of changes that are kept for watches.
    void set_history(std::size_t changes) { max_history_ = changes; }
    /// Drops the history, so that every watch is answered with status 410 and needs a new list.
    void forget_history();
    [[nodiscard]] copy take_copy() const {
        return {objects_, history_, last_dropped_revision_, revision_};
    }
    /// Loses everything that was written since the copy was taken. Revisions are given out again,
    /// the era rises by one, and watches that are pending get no answer.
    void come_back_from(copy older);
    /// Number of calls received.
    [[nodiscard]] std::size_t calls() const { return calls_; }
    /// Number of calls received that concern a kind.
    [[nodiscard]] std::size_t calls_of(const std::string& kind) const {
        const auto found = calls_by_kind_.find(kind);
        return found == calls_by_kind_.end() ? 0 : found->second;
    }

private:
    boost::asio::awaitable<cw_http_response> serve(cw_http_request request);
    boost::asio::awaitable<cw_http_response> serve_call(cw_http_request request);
    cw_http_response list_objects(const std::string& kind, std::string_view target) const;
    boost::asio::awaitable<cw_http_response> watch_objects(std::string kind, std::string target);
    cw_http_response handle_write(const std::string& kind, const std::string& name,
                                  const cw_http_request& request);
    nlohmann::json& write_object(const std::string& kind, const std::string& name,
                                 nlohmann::json spec);
    void append_event(const std::string& kind, nlohmann::json event);

    boost::asio::io_context& context_;
    cw_http_server server_;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
    std::deque<change> history_;
    std::size_t max_history_ = 500;
    std::uint64_t last_dropped_revision_ = 0;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 1;
    /// Bytes that replace the placeholders of raw specs in answers.
    std::map<std::string, std::string> raw_specs_;
    /// Notified of each change and of each loss of history.
    cw_async_condition changed_;
    bool down_ = false;
    std::size_t outages_ = 0;
    std::chrono::milliseconds delay_{0};
    double lost_answers_ = 0.0;
    std::size_t calls_ = 0;
    std::map<std::string, std::size_t> calls_by_kind_;
    std::map<std::string, std::chrono::milliseconds> kind_delays_;
    std::minstd_rand engine_{7};
};
