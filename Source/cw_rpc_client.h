#pragma once

#include <chrono>
#include <string>

/// A JSON-RPC 2.0 call over HTTP. This header names no type of the library behind it.
class cw_rpc_client {
public:
    /// `address` is "IP:port" of the server.
    cw_rpc_client(const std::string& address, std::chrono::milliseconds timeout);

    /// Calls a method with parameters as JSON text. Returns true and the result as JSON text, or
    /// false and the reason.
    bool call(const std::string& method, const std::string& params, std::string& result) const;

private:
    std::string url_;
    std::chrono::milliseconds timeout_;
};
