#include "cw_rpc_client.h"
#include "cw_rpc_server.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace std::chrono_literals;

namespace {

constexpr int port = 25'901;

/// A server with one method that succeeds and one that throws on its parameters.
struct running_server {
    cw_rpc_server server{port,
                         {{"echo", [](const std::string& text) { return text; }},
                          {"broken", [](const std::string&) -> std::string {
                               throw std::invalid_argument("no field named loads");
                           }}}};
    cw_rpc_client client{"127.0.0.1:" + std::to_string(port), 2s};
    std::string result;
};

} // namespace

TEST_CASE_FIXTURE(running_server, "call_with_invalid_parameters_gets_the_reason") {
    CHECK_FALSE(client.call("broken", "{}", result));
    CHECK(result.find("no field named loads") != std::string::npos);
}

TEST_CASE_FIXTURE(running_server, "server_keeps_answering_after_an_invalid_call") {
    CHECK_FALSE(client.call("broken", "{}", result));
    CHECK(client.call("echo", R"({"a":1})", result));
    CHECK(result == R"({"a":1})");
}
