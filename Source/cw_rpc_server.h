#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

/// A JSON-RPC 2.0 server over HTTP. This header uses no type of the underlying library, because the
/// library is compiled with an older language standard than the other code.
class cw_rpc_server {
public:
    /// Takes the parameters and returns the result, both as JSON text. Called from the server's
    /// threads.
    using method = std::function<std::string(const std::string&)>;

    /// Starts the server. Throws std::runtime_error when the port cannot be bound.
    cw_rpc_server(int port, std::map<std::string, method> methods);
    ~cw_rpc_server();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};
