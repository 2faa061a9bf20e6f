#include "cw_rpc_client.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>
#include <memory>

cw_rpc_client::cw_rpc_client(const std::string& address, std::chrono::milliseconds timeout)
    : url_{"http://" + address},
      timeout_{timeout} {}

bool cw_rpc_client::call(const std::string& method, const std::string& params,
                         std::string& result) const {
    try {
        jsonrpc::HttpClient connector{url_};
        connector.SetTimeout(static_cast<long>(timeout_.count()));
        jsonrpc::Client client{connector};
        Json::Value input;
        std::string errors;
        Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
        if (!reader->parse(params.data(), params.data() + params.size(), &input, &errors)) {
            result = errors;
            return false;
        }
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        result = Json::writeString(writer, client.CallMethod(method, input));
        return true;
    } catch (const jsonrpc::JsonRpcException& failure) {
        result = failure.GetMessage();
        return false;
    }
}
