#include "lovagegate/wire/internal/notification_reader.hpp"

#include "lovagegate/wire/codec.hpp"

#include <json/reader.h>
#include <jsonrpccpp/common/errors.h>

namespace lovagegate::wire::internal {

namespace {

/// @return the error code of a JSON-RPC response; 0 if it has none
int error_code(const std::string& answer)
{
    Json::Value value;
    Json::Reader reader;
    if (!reader.parse(answer, value) || !value.isObject() ||
        !value["error"].isObject() || !value["error"]["code"].isInt())
        return 0;
    return value["error"]["code"].asInt();
}

} // namespace

notification_reader::notification_reader(
    const std::vector<std::string>& methods)
    : handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
          jsonrpc::JSONRPC_SERVER_V2, *this))
{
    for (const std::string& m : methods) {
        jsonrpc::Procedure p;
        p.SetProcedureName(m);
        p.SetProcedureType(jsonrpc::RPC_NOTIFICATION);
        p.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
        handler_->AddProcedure(p);
    }
}

notification notification_reader::read(std::string_view text)
{
    notifications_.clear();
    std::string answer;
    try {
        handler_->HandleRequest(std::string(text), answer);
    } catch (const std::exception&) { // JSON library: nested too deeply
        throw decode_error(decode_failure::not_json_rpc, "");
    }
    if (notifications_.size() == 1)
        return std::move(notifications_.front());
    if (notifications_.empty() &&
        error_code(answer) == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND)
        return {};
    throw decode_error(decode_failure::not_json_rpc, "");
}

void notification_reader::HandleMethodCall(jsonrpc::Procedure& /*procedure*/,
                                           const Json::Value& /*input*/,
                                           Json::Value& /*output*/)
{
}

void notification_reader::HandleNotificationCall(jsonrpc::Procedure& procedure,
                                                 const Json::Value& input)
{
    notifications_.push_back({procedure.GetProcedureName(), input});
}

} // namespace lovagegate::wire::internal
