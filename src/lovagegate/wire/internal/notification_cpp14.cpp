// Compiled as C++14: the headers of the libjsonrpccpp client use dynamic
// exception specifications, which C++17 removed.
#include "lovagegate/wire/internal/notification.hpp"

#include <jsonrpccpp/client.h>

namespace lovagegate {
namespace wire {
namespace internal {

namespace {

/// Captures the text that the client would send.
class capturing_connector : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(
        const std::string& message,
        std::string& /*result*/) throw(jsonrpc::JsonRpcException) override
    {
        text = message;
    }

    std::string text;
};

} // namespace

std::string make_notification(const std::string& method,
                              const Json::Value& parameters)
{
    capturing_connector connector;
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallNotification(method, parameters);
    // The library appends a line feed, which a frame does not need.
    if (!connector.text.empty() && connector.text.back() == '\n')
        connector.text.pop_back();
    return std::move(connector.text);
}

} // namespace internal
} // namespace wire
} // namespace lovagegate
