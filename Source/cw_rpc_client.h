#pragma once

#include <chrono>
#include <string>

/// A JSON-RPC 2.0 client over HTTP. This header uses no type of the underlying library.
class cw_rpc_client {
public:
    /// `address` is "IP:port" of the server.
    cw_rpc_client(const std::string& address, std::chrono::milliseconds timeout);

    /// Calls a method with parameters as JSON text. Returns true and sets `result` to the result as
    /// JSON text, or returns false and sets it to the error message.
    bool call(const std::string& method, const std::string& params, std::string& result) const;

private:
    std::string url_;
    std::chrono::milliseconds timeout_;
};
