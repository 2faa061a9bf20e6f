#include "cw_rpc_server.h"

#include <json/json.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/connectors/httpserver.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <stdexcept>

namespace {
// There are few callers: the router of the same host and the operators.
const int server_threads = 4;

Json::Value parse(const std::string& text) {
    Json::Value value;
    Json::CharReaderBuilder builder;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, errors);
    }
    return value;
}
} // namespace

class cw_rpc_server::implementation : public jsonrpc::IProcedureInvokationHandler {
public:
    implementation(int port, std::map<std::string, method> methods)
        : methods_{std::move(methods)},
          server_{port, "", "", server_threads},
          handler_{jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                         *this)} {
        for (const auto& entry : methods_) {
            jsonrpc::Procedure procedure{entry.first, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                         NULL};
            handler_->AddProcedure(procedure);
        }
        server_.SetHandler(handler_.get());
        if (!server_.StartListening()) {
            throw std::runtime_error("port " + std::to_string(port) + " cannot be bound");
        }
    }

    ~implementation() override { server_.StopListening(); }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override {
        Json::StreamWriterBuilder writer;
        try {
            output =
                parse(methods_.at(procedure.GetProcedureName())(Json::writeString(writer, input)));
        } catch (const jsonrpc::JsonRpcException&) {
            throw;
        } catch (const std::exception& failure) {
            // The library does not catch other exceptions; they would terminate the process.
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                            failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                                const Json::Value& /*input*/) override {}

private:
    std::map<std::string, method> methods_;
    jsonrpc::HttpServer server_;
    std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
};

cw_rpc_server::cw_rpc_server(int port, std::map<std::string, method> methods)
    : implementation_{new implementation{port, std::move(methods)}} {}

cw_rpc_server::~cw_rpc_server() = default;
