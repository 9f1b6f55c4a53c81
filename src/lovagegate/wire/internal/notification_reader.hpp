#ifndef LOVAGEGATE_WIRE_INTERNAL_NOTIFICATION_READER_HPP
#define LOVAGEGATE_WIRE_INTERNAL_NOTIFICATION_READER_HPP

#include <json/value.h>
#include <jsonrpccpp/server.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::wire::internal {

struct notification
{
    std::string method; ///< empty if the method is unknown
    Json::Value parameters;
};

/// Parses JSON-RPC 2.0 notifications with libjsonrpccpp's protocol handler.
class notification_reader : private jsonrpc::IProcedureInvokationHandler
{
public:
    /// @param methods names of the known methods
    explicit notification_reader(const std::vector<std::string>& methods);

    /// Parses one notification.
    /// @return the notification; empty if its method is unknown
    /// @throws decode_error unless the text is exactly one notification
    [[nodiscard]] notification read(std::string_view text);

private:
    void HandleMethodCall(jsonrpc::Procedure& procedure,
                          const Json::Value& input,
                          Json::Value& output) override;
    void HandleNotificationCall(jsonrpc::Procedure& procedure,
                                const Json::Value& input) override;

    std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
    std::vector<notification> notifications_;
};

} // namespace lovagegate::wire::internal

#endif
