#include "cw_gateway_fixture.h"
#include "cw_raw_caller.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

using namespace std::chrono_literals;

namespace {

const std::string signature = "X-Cuminwinch-Response-Signature: s\r\n";
/// Longest wait for something that has to happen; far above what it takes on an idle machine.
constexpr auto max_wait = 5s;

/// Text of a request whose caller waits for 1.9 s.
std::string request_text(const std::string& id, const std::string& path,
                         const std::string& fields = {}, const std::string& method = "GET") {
    return method + " " + path +
           " HTTP/1.1\r\nHost: shop.example\r\nX-Cuminwinch-Request-Timeout-Ms: 1900\r\n"
           "X-Cuminwinch-Attempt-Id: " +
           id + "\r\n" + fields + "\r\n";
}

std::string id_of(const std::string& message) {
    return cw_header_value(message, "X-Cuminwinch-Attempt-Id");
}

/// Waits for the condition; false if it does not hold in time.
template <typename Condition>
bool wait_until(Condition holds) {
    const auto until = std::chrono::steady_clock::now() + max_wait;
    while (!holds() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(2ms);
    }
    return holds();
}

/// Answers of upstreams that a test releases, by the ids of their requests.
class gated_upstreams {
public:
    ~gated_upstreams() { release_all(); }
    gated_upstreams() = default;
    gated_upstreams(const gated_upstreams&) = delete;
    gated_upstreams& operator=(const gated_upstreams&) = delete;

    /// Answers with "for ID;" when the request is released, or at once if its path begins with
    /// "/safe/fast".
    cw_raw_upstream::script script(const std::string& fields = {}) {
        return [this, fields](const std::string& request) {
            const auto id = id_of(request);
            std::unique_lock lock{mutex_};
            arrived_.push_back(id);
            texts_ += request;
            ++running_;
            most_running_ = std::max(most_running_, running_);
            released_changed_.wait_for(lock, max_wait, [&] {
                return is_open_ || released_.contains(id) ||
                       request.find(" /safe/fast") != std::string::npos;
            });
            --running_;
            return cw_raw_upstream::reply{
                cw_upstream_answer(request, "200 OK", signature + fields,
                                   std::string(body_size_, 'b') + "for " + id + ";")};
        };
    }
    void release(const std::string& id) {
        const std::scoped_lock lock{mutex_};
        released_.insert(id);
        released_changed_.notify_all();
    }
    void release_all() {
        const std::scoped_lock lock{mutex_};
        is_open_ = true;
        released_changed_.notify_all();
    }
    void set_body_size(std::size_t size) { body_size_ = size; }
    /// Ids of the requests that have arrived.
    std::vector<std::string> arrived() {
        const std::scoped_lock lock{mutex_};
        return arrived_;
    }
    /// Texts of the requests that have arrived.
    std::string texts() {
        const std::scoped_lock lock{mutex_};
        return texts_;
    }
    bool wait_for(std::size_t count) {
        return wait_until([&] { return arrived().size() >= count; });
    }
    /// Highest number of requests that ran at the same time.
    std::size_t most_running() {
        const std::scoped_lock lock{mutex_};
        return most_running_;
    }

private:
    std::mutex mutex_;
    std::condition_variable released_changed_;
    std::vector<std::string> arrived_;
    std::string texts_;
    std::set<std::string> released_;
    bool is_open_ = false;
    std::atomic<std::size_t> body_size_ = 0;
    std::size_t running_ = 0;
    std::size_t most_running_ = 0;
};

/// One response that a caller has received.
struct response {
    int status = 0;
    std::string id;
    std::string connection;
    std::string body;
};

/// A caller that sends several requests on one connection.
class pipelining_caller {
public:
    explicit pipelining_caller(std::uint16_t port) {
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
        const timeval receive_timeout{0, 20'000};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
                     sizeof receive_timeout);
    }
    void send(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }
    void end_sending() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    void close() { socket_.close(); }

    /// Reads until `count` complete responses have arrived or the connection has ended.
    std::vector<response> read(std::size_t count) {
        wait_until([&] { return parse().size() >= count || !receive(); });
        return parse();
    }
    /// Reads until the connection is closed; false if it stays open.
    bool is_closed() {
        return wait_until([&] { return !receive(); });
    }
    /// Bytes received behind the last complete response.
    [[nodiscard]] std::string rest() const {
        std::string rest;
        static_cast<void>(parse(&rest));
        return rest;
    }

private:
    /// Receives what has arrived; false when the connection has ended.
    bool receive() {
        std::vector<char> bytes(65'536);
        const auto count = ::recv(socket_.native_handle(), bytes.data(), bytes.size(), 0);
        if (count > 0) {
            received_.append(bytes.data(), static_cast<std::size_t>(count));
        }
        is_ended_ = is_ended_ || count == 0 || (count < 0 && errno != EAGAIN);
        return !is_ended_;
    }
    std::vector<response> parse(std::string* rest = nullptr) const {
        std::vector<response> list;
        std::size_t at = 0;
        while (true) {
            const auto end = received_.find("\r\n\r\n", at);
            if (end == std::string::npos) {
                break;
            }
            const auto head = received_.substr(at, end + 2 - at);
            const auto length = cw_header_value(head, "Content-Length");
            const auto size = length.empty() ? 0 : std::stoul(length);
            if (received_.size() < end + 4 + size) {
                break;
            }
            list.push_back({cw_status_of(head), id_of(head), cw_header_value(head, "Connection"),
                            received_.substr(end + 4, size)});
            at = end + 4 + size;
        }
        if (rest != nullptr) {
            *rest = received_.substr(at);
        }
        return list;
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
    std::string received_;
    bool is_ended_ = false;
};

/// Checks for responses with status 200 to the requests p1, p2 and so on, in this order.
void check_in_order(const std::vector<response>& responses, std::size_t count) {
    REQUIRE(responses.size() == count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto id = "p" + std::to_string(i + 1);
        CHECK(responses[i].status == 200);
        CHECK(responses[i].id == id);
        CHECK(responses[i].body.ends_with("for " + id + ";"));
    }
}

/// Requests p1, p2 and so on with the same path.
std::string requests_text(std::size_t count, const std::string& path = "/safe/a",
                          const std::string& fields = {}) {
    std::string text;
    for (std::size_t i = 1; i <= count; ++i) {
        text += request_text("p" + std::to_string(i), path, fields);
    }
    return text;
}

/// A gateway in front of two upstreams whose answers the test releases.
struct pipelining_gateway {
    gated_upstreams upstreams;
    cw_gateway_fixture gateway{{upstreams.script(), upstreams.script()}};
    pipelining_caller caller{gateway.port()};

    bool has_metric(const std::string& line) {
        return gateway.metrics().exposition().find("cuminwinch_" + line + "\n") !=
               std::string::npos;
    }
    std::size_t cancelled() {
        return gateway.upstream(0).cancelled() + gateway.upstream(1).cancelled();
    }
    /// True once no request is in progress.
    bool is_idle() {
        return wait_until([&] { return gateway.open_requests() == 0; });
    }
};

} // namespace

// Guards against requests that wait behind those before them until these are answered.
TEST_CASE("pipelined_idempotent_requests_run_at_the_same_time_and_are_answered_in_order") {
    for (const std::size_t count : {2, 8}) {
        CAPTURE(count);
        pipelining_gateway host;
        host.caller.send(requests_text(count));
        // None is released before all run.
        CHECK(host.upstreams.wait_for(count));
        CHECK(host.upstreams.most_running() == count);
        // The last one first, so that all others wait for their turn.
        for (std::size_t i = count; i >= 1; --i) {
            host.upstreams.release("p" + std::to_string(i));
            std::this_thread::sleep_for(10ms);
        }
        check_in_order(host.caller.read(count), count);
        CHECK(host.is_idle());
        CHECK(host.has_metric("pipelined_requests_total " + std::to_string(count - 1)));
        CHECK(host.has_metric("answered_requests_total " + std::to_string(count)));
    }
}

TEST_CASE_FIXTURE(pipelining_gateway, "pipelined_request_behind_a_slow_one_starts_at_once") {
    caller.send(request_text("p1", "/safe/slow"));
    REQUIRE(upstreams.wait_for(1));
    caller.send(request_text("p2", "/safe/fast"));
    CHECK(upstreams.wait_for(2));
    std::this_thread::sleep_for(50ms);
    CHECK(caller.read(0).empty());
    upstreams.release("p1");
    check_in_order(caller.read(2), 2);
}

// Guards against a change of events for callers that send one request after the other.
TEST_CASE_FIXTURE(pipelining_gateway, "requests_one_at_a_time_are_not_counted_as_pipelined") {
    upstreams.release_all();
    for (std::size_t i = 1; i <= 4; ++i) {
        caller.send(request_text("p" + std::to_string(i), "/safe/a"));
        check_in_order(caller.read(i), i);
    }
    CHECK(gateway.metrics().exposition().find("pipelined_requests") == std::string::npos);
    CHECK(gateway.metrics().exposition().find("cancelled_requests") == std::string::npos);
}

// Guards against an order that runs at the same time as another request of its connection, or
// before or behind its place.
TEST_CASE_FIXTURE(pipelining_gateway, "pipelined_request_that_is_not_idempotent_runs_alone") {
    caller.send(request_text("p1", "/safe/a") + request_text("p2", "/safe/a") +
                request_text("p3", "/order/a") + request_text("p4", "/safe/a") +
                request_text("p5", "/safe/a"));
    REQUIRE(upstreams.wait_for(2));
    std::this_thread::sleep_for(100ms);
    CHECK(upstreams.arrived().size() == 2);
    upstreams.release("p2");
    upstreams.release("p1");
    REQUIRE(upstreams.wait_for(3));
    CHECK(upstreams.arrived().back() == "p3");
    std::this_thread::sleep_for(100ms);
    CHECK(upstreams.arrived().size() == 3);
    upstreams.release("p3");
    CHECK(upstreams.wait_for(5));
    upstreams.release_all();
    check_in_order(caller.read(5), 5);
    CHECK(has_metric("pipelined_requests_total 2"));
}

TEST_CASE_FIXTURE(pipelining_gateway, "pipelined_ninth_request_waits_until_the_first_is_answered") {
    caller.send(requests_text(10));
    REQUIRE(upstreams.wait_for(8));
    std::this_thread::sleep_for(200ms);
    CHECK(upstreams.arrived().size() == 8);
    // An answer that waits for its turn counts as in progress.
    upstreams.release("p2");
    std::this_thread::sleep_for(100ms);
    CHECK(upstreams.arrived().size() == 8);
    upstreams.release("p1");
    CHECK(upstreams.wait_for(10));
    CHECK(upstreams.most_running() == 8);
    upstreams.release_all();
    check_in_order(caller.read(10), 10);
}

// Guards against requests that go on at the upstreams when nobody waits for them.
TEST_CASE("caller_that_leaves_with_several_requests_in_progress_has_all_cancelled") {
    for (const bool is_half_closed : {false, true}) {
        CAPTURE(is_half_closed);
        pipelining_gateway host;
        host.caller.send(request_text("p1", "/safe/a") + request_text("p2", "/safe/fast") +
                         request_text("p3", "/safe/a") + request_text("p4", "/safe/a"));
        REQUIRE(host.upstreams.wait_for(4));
        if (is_half_closed) {
            host.caller.end_sending();
            CHECK(host.caller.is_closed());
            CHECK(host.caller.read(0).empty());
        } else {
            host.caller.close();
        }
        CHECK(host.is_idle());
        CHECK(host.has_metric("abandoned_requests_total 4"));
        CHECK(host.gateway.metrics().exposition().find("answered_requests") == std::string::npos);
        // Released only now, so that the upstreams see who is still connected.
        host.upstreams.release_all();
        const auto sent = host.upstreams.arrived().size();
        CHECK(sent == 4);
    }
}

TEST_CASE("upstreams_see_that_the_requests_of_a_caller_that_left_are_cancelled") {
    const auto slow = [](const std::string& request) {
        return cw_raw_upstream::reply{cw_upstream_answer(request, "200 OK", signature, "late"),
                                      false, 4s};
    };
    cw_gateway_fixture gateway{{slow, slow}};
    const auto sent = [&] {
        return gateway.upstream(0).requests() + gateway.upstream(1).requests();
    };
    const auto cancelled = [&] {
        return gateway.upstream(0).cancelled() + gateway.upstream(1).cancelled();
    };
    pipelining_caller caller{gateway.port()};
    caller.send(requests_text(8));
    REQUIRE(wait_until([&] { return sent() == 8; }));
    caller.end_sending();
    CHECK(wait_until([&] { return cancelled() == 8; }));
    CHECK(wait_until([&] { return gateway.open_requests() == 0; }));
}

// Guards against requests that are lost at a planned stop, and against one that is begun then.
TEST_CASE_FIXTURE(pipelining_gateway, "pipelined_requests_in_progress_at_the_stop_are_answered") {
    caller.send(requests_text(3));
    REQUIRE(upstreams.wait_for(3));
    gateway.stop_after(5s);
    std::this_thread::sleep_for(50ms);
    caller.send(request_text("p4", "/safe/fast"));
    std::this_thread::sleep_for(50ms);
    upstreams.release("p3");
    upstreams.release("p1");
    upstreams.release("p2");
    const auto responses = caller.read(4);
    check_in_order(responses, 3);
    CHECK(responses[0].connection != "close");
    CHECK(responses[1].connection != "close");
    CHECK(responses[2].connection == "close");
    CHECK(caller.is_closed());
    CHECK(upstreams.arrived().size() == 3);
    CHECK(is_idle());
}

// Guards against a request that runs although the connection closes before its turn.
TEST_CASE_FIXTURE(pipelining_gateway, "pipelined_request_behind_one_that_closes_is_not_started") {
    caller.send(request_text("p1", "/safe/a") +
                request_text("p2", "/safe/a", "Connection: close\r\n") +
                request_text("p3", "/safe/a"));
    REQUIRE(upstreams.wait_for(2));
    std::this_thread::sleep_for(100ms);
    upstreams.release("p2");
    upstreams.release("p1");
    check_in_order(caller.read(3), 2);
    CHECK(caller.is_closed());
    CHECK(upstreams.arrived().size() == 2);
    CHECK(is_idle());
}

TEST_CASE_FIXTURE(pipelining_gateway, "pipelined_request_behind_an_upgrade_waits_for_its_answer") {
    caller.send(request_text("p1", "/safe/a") +
                request_text("p2", "/safe/a", "Connection: upgrade\r\nUpgrade: h2c\r\n") +
                request_text("p3", "/safe/a"));
    REQUIRE(upstreams.wait_for(1));
    std::this_thread::sleep_for(50ms);
    CHECK(upstreams.arrived().size() == 1);
    upstreams.release("p1");
    REQUIRE(upstreams.wait_for(2));
    std::this_thread::sleep_for(50ms);
    CHECK(upstreams.arrived().size() == 2);
    upstreams.release_all();
    check_in_order(caller.read(3), 3);
}

// Guards against an upstream's Connection header that ends the caller's connection.
TEST_CASE("pipelined_answer_of_an_upstream_that_closes_its_connection_ends_no_other") {
    gated_upstreams upstreams;
    cw_gateway_fixture gateway{{upstreams.script("Connection: close\r\n")}};
    pipelining_caller caller{gateway.port()};
    caller.send(requests_text(4));
    CHECK(upstreams.wait_for(4));
    upstreams.release_all();
    check_in_order(caller.read(4), 4);
}

// Guards against promised answers that are lost to a malformed request behind them.
TEST_CASE("pipelined_malformed_request_is_rejected_in_its_turn") {
    const std::vector<std::pair<std::string, int>> malformed{
        {"BAD\r\n\r\n", 400},
        {"GET /safe/a HTTP/1.1\r\n\r\n", 400},
        {"GET /safe/a HTTP/1.1\r\nHost: shop.example\r\nX-Long: " + std::string(5'000, 'a') +
             "\r\n\r\n",
         431},
        {"POST /safe/a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 20000\r\n\r\n", 413}};
    for (const auto& [text, status] : malformed) {
        CAPTURE(status);
        pipelining_gateway host;
        host.caller.send(requests_text(2) + text + request_text("p4", "/safe/a"));
        REQUIRE(host.upstreams.wait_for(2));
        std::this_thread::sleep_for(50ms);
        CHECK(host.caller.read(0).empty());
        host.upstreams.release("p2");
        host.upstreams.release("p1");
        auto responses = host.caller.read(3);
        REQUIRE(responses.size() == 3);
        CHECK(responses.back().status == status);
        CHECK(responses.back().connection == "close");
        responses.pop_back();
        check_in_order(responses, 2);
        CHECK(host.caller.is_closed());
        CHECK(host.upstreams.arrived().size() == 2);
        CHECK(host.is_idle());
    }
}

TEST_CASE_FIXTURE(pipelining_gateway,
                  "pipelined_request_with_a_body_runs_when_all_of_it_is_there") {
    const auto text = request_text("p2", "/safe/a", "Content-Length: 4\r\n", "POST") + "body";
    caller.send(request_text("p1", "/safe/a") + text.substr(0, text.size() - 2));
    REQUIRE(upstreams.wait_for(1));
    std::this_thread::sleep_for(50ms);
    CHECK(upstreams.arrived().size() == 1);
    caller.send(text.substr(text.size() - 2, 1));
    std::this_thread::sleep_for(50ms);
    CHECK(upstreams.arrived().size() == 1);
    caller.send(text.substr(text.size() - 1) + request_text("p3", "/safe/a"));
    CHECK(upstreams.wait_for(3));
    CHECK(upstreams.texts().find("\r\n\r\nbody") != std::string::npos);
    upstreams.release_all();
    check_in_order(caller.read(3), 3);
}

// Guards against a request that is never read, since it does not fit in the bytes read ahead.
TEST_CASE_FIXTURE(pipelining_gateway,
                  "pipelined_request_that_is_too_long_to_be_read_ahead_is_run") {
    const std::string body(9'000, 'b');
    const auto post = [&](const std::string& id) {
        return request_text(id, "/safe/a", "Content-Length: 9000\r\n", "POST") + body;
    };
    caller.send(request_text("p1", "/safe/a") + post("p2") + post("p3") +
                request_text("p4", "/safe/a"));
    REQUIRE(upstreams.wait_for(2));
    upstreams.release_all();
    check_in_order(caller.read(4), 4);
}

TEST_CASE_FIXTURE(pipelining_gateway, "pipelined_request_whose_rest_does_not_come_costs_no_other") {
    const auto text = request_text("p2", "/safe/a");
    caller.send(request_text("p1", "/safe/a") + text.substr(0, text.size() - 10));
    REQUIRE(upstreams.wait_for(1));
    // Longer than the time for a header, which begins with the turn of the request.
    std::this_thread::sleep_for(500ms);
    upstreams.release("p1");
    const auto responses = caller.read(2);
    REQUIRE(responses.size() == 2);
    CHECK(responses[0].status == 200);
    CHECK(responses[1].status == 408);
    CHECK(caller.is_closed());
    CHECK(upstreams.arrived().size() == 1);
}

// Guards against deadlines that begin when the answers before are written.
TEST_CASE("pipelined_requests_without_an_answer_reach_their_time_limits_together") {
    pipelining_gateway host;
    std::string text;
    for (const char* id : {"p1", "p2", "p3", "p4"}) {
        text += "GET /safe/a HTTP/1.1\r\nHost: shop.example\r\nX-Cuminwinch-Request-Timeout-Ms: "
                "700\r\nX-Cuminwinch-Attempt-Id: " +
                std::string{id} + "\r\n\r\n";
    }
    const auto begin = std::chrono::steady_clock::now();
    host.caller.send(text);
    const auto responses = host.caller.read(4);
    CHECK(std::chrono::steady_clock::now() - begin < 1'400ms);
    REQUIRE(responses.size() == 4);
    for (const auto& each : responses) {
        CHECK(each.status == 504);
    }
}

// Guards against a request that runs by a route that was removed before it starts.
TEST_CASE_FIXTURE(pipelining_gateway,
                  "pipelined_request_runs_on_the_routes_in_force_at_its_start") {
    caller.send(requests_text(8) + request_text("p9", "/safe/a"));
    REQUIRE(upstreams.wait_for(8));
    gateway.remove_route("safe", 2);
    std::this_thread::sleep_for(50ms);
    upstreams.release_all();
    auto responses = caller.read(9);
    REQUIRE(responses.size() == 9);
    CHECK(responses.back().status == 404);
    responses.pop_back();
    check_in_order(responses, 8);
    CHECK(upstreams.arrived().size() == 8);
}

// Guards against answers that wait for their turn and count for nothing.
TEST_CASE_FIXTURE(pipelining_gateway,
                  "pipelined_answers_that_wait_for_their_turn_count_in_memory") {
    constexpr std::size_t size = 100'000;
    upstreams.set_body_size(size);
    caller.send(request_text("p1", "/safe/a") + request_text("p2", "/safe/fast") +
                request_text("p3", "/safe/fast"));
    REQUIRE(upstreams.wait_for(3));
    CHECK(wait_until([&] { return gateway.answer_bytes() >= 2 * size; }));
    std::this_thread::sleep_for(50ms);
    CHECK(gateway.answer_bytes() >= 2 * size);
    upstreams.release("p1");
    check_in_order(caller.read(3), 3);
    CHECK(is_idle());
    CHECK(gateway.answer_bytes() == 0);
}

// Guards against an incomplete answer that is written as a complete one, and against answers
// behind one that is missing.
TEST_CASE("pipelined_answer_evicted_while_it_waits_closes_the_connection_in_its_turn") {
    constexpr std::size_t mebibyte = 1'024 * 1'024;
    cw_gateway_options options;
    options.memory_limit = 20 * mebibyte;
    gated_upstreams upstreams;
    const auto sized = [&](std::size_t size) {
        return [&upstreams, size](const std::string& request) {
            auto reply = upstreams.script()(request);
            if (id_of(request) == "p2" || id_of(request) == "other") {
                reply.bytes =
                    cw_upstream_answer(request, "200 OK", signature, std::string(size, 'b'));
            }
            return reply;
        };
    };
    cw_gateway_fixture gateway{{sized(3 * mebibyte), sized(2 * mebibyte)}, options};
    const std::string key = "X-Cuminwinch-Shard-Key: 7\r\n";
    pipelining_caller caller{gateway.port()};
    upstreams.release("p2");
    const auto begin = std::chrono::steady_clock::now();
    caller.send(request_text("p1", "/key/a", key) + request_text("p2", "/key/a", key) +
                request_text("p3", "/key/a", key));
    REQUIRE(upstreams.wait_for(3));
    REQUIRE(wait_until([&] { return gateway.answer_bytes() >= 3 * mebibyte; }));
    std::this_thread::sleep_for(100ms);
    gateway.set_key_owner(1, false);
    // Together with this answer there are more bytes than the limit, and most of them wait.
    pipelining_caller other{gateway.port()};
    upstreams.release("other");
    other.send(request_text("other", "/key/a", key));
    CHECK(other.read(1).size() == 1);
    CHECK(gateway.take_peak_answer_bytes() <= options.answer_buffer_limit());
    caller.send(request_text("p4", "/key/a", key));
    std::this_thread::sleep_for(50ms);
    CHECK(upstreams.arrived().size() == 4);
    upstreams.release("p1");
    check_in_order(caller.read(3), 1);
    CHECK(caller.is_closed());
    CHECK(caller.rest().empty());
    CHECK(wait_until([&] { return gateway.open_requests() == 0; }));
    // Before the time limit of the request that was in progress behind the evicted answer.
    CHECK(std::chrono::steady_clock::now() - begin < 1'700ms);
}

// Guards against requests read ahead that take the memory of all others.
TEST_CASE("pipelined_requests_are_read_ahead_within_half_the_memory_for_requests") {
    cw_gateway_options options;
    options.memory_limit = 300'000;
    gated_upstreams upstreams;
    cw_gateway_fixture gateway{{upstreams.script(), upstreams.script(), upstreams.script()},
                               options};
    constexpr std::size_t size = 3'500;
    const auto fields = "X-Long: " + std::string(size, 'a') + "\r\n";
    std::vector<std::unique_ptr<pipelining_caller>> callers;
    for (std::size_t i = 1; i <= 3; ++i) {
        callers.push_back(std::make_unique<pipelining_caller>(gateway.port()));
        callers.back()->send(request_text("p1", "/safe/a", fields));
        REQUIRE(upstreams.wait_for(i));
    }
    for (auto& caller : callers) {
        for (int i = 2; i <= 8; ++i) {
            caller->send(request_text("p" + std::to_string(i), "/safe/a", fields));
        }
    }
    std::this_thread::sleep_for(300ms);
    const auto read_ahead = upstreams.arrived().size() - callers.size();
    CHECK(read_ahead >= 1);
    CHECK(read_ahead * size <= options.request_buffer_limit() / 2);
    upstreams.release_all();
    for (auto& caller : callers) {
        check_in_order(caller->read(8), 8);
    }
}
