#include "lovagegate/wire/codec.hpp"

#include "lovagegate/wire/internal/fields.hpp"
#include "lovagegate/wire/internal/notification.hpp"
#include "lovagegate/wire/internal/notification_reader.hpp"

#include <array>
#include <utility>

namespace lovagegate::wire {

namespace {

constexpr std::size_t type_count = std::variant_size_v<protocol::message>;

/// Method names, in the order of the alternatives of protocol::message.
constexpr std::array<const char*, type_count> method_names{
    "lease_request",         "lease_grant",    "lease_refusal",
    "lease_queued",          "lease_release",  "lease_renewal",
    "lease_cancel",          "pool_handover",  "permit_request",
    "permit_grant",          "permit_return",  "ticket_push",
    "ticket_digest",         "ticket_pull",    "claim_request",
    "claim_answer",          "claim_result",   "claim_transfer",
    "claim_transfer_answer", "suspicion_push", "heartbeat"};

constexpr const char* hello_method = "hello";

template <typename T>
T read_fields(const Json::Value& parameters)
{
    T result;
    internal::reader r(parameters);
    fields(r, result);
    return result;
}

template <std::size_t Index = 0>
protocol::message read_message(std::size_t type, const Json::Value& parameters)
{
    if constexpr (Index < type_count) {
        if (type != Index)
            return read_message<Index + 1>(type, parameters);
        return read_fields<
            std::variant_alternative_t<Index, protocol::message>>(parameters);
    } else {
        throw decode_error(decode_failure::not_json_rpc, "method");
    }
}

std::vector<std::string> all_methods()
{
    std::vector<std::string> result(method_names.begin(), method_names.end());
    result.emplace_back(hello_method);
    return result;
}

internal::notification read_notification(std::string_view text)
{
    if (text.size() > max_message_bytes)
        throw decode_error(decode_failure::too_large, "");
    // The reader is stateful, so each thread has its own.
    thread_local internal::notification_reader reader(all_methods());
    return reader.read(text);
}

} // namespace

decode_error::decode_error(decode_failure failure, std::string_view field)
    : error("message field '" + std::string(field) +
            "': " + std::string(to_string(failure))),
      failure_(failure)
{
}

std::string_view to_string(decode_failure f) noexcept
{
    switch (f) {
    case decode_failure::too_large:
        return "too_large";
    case decode_failure::not_json_rpc:
        return "not_json_rpc";
    case decode_failure::wrong_type:
        return "wrong_type";
    case decode_failure::bad_value:
        return "bad_value";
    }
    return "invalid";
}

std::string encode(const protocol::message& m)
{
    Json::Value parameters(Json::objectValue);
    internal::writer w(parameters);
    // fields() also serves decoding and therefore needs a mutable message.
    protocol::message copy = m;
    std::visit([&](auto& body) { fields(w, body); }, copy);
    return internal::make_notification(method_names.at(m.index()), parameters);
}

std::string encode(const hello& h)
{
    Json::Value parameters(Json::objectValue);
    internal::writer w(parameters);
    hello copy = h;
    fields(w, copy);
    return internal::make_notification(hello_method, parameters);
}

std::optional<protocol::message> decode(std::string_view text)
{
    const internal::notification n = read_notification(text);
    for (std::size_t i = 0; i < type_count; ++i)
        if (n.method == method_names[i])
            return read_message(i, n.parameters);
    return std::nullopt;
}

hello decode_hello(std::string_view text)
{
    const internal::notification n = read_notification(text);
    if (n.method != hello_method)
        throw decode_error(decode_failure::not_json_rpc, "method");
    return read_fields<hello>(n.parameters);
}

} // namespace lovagegate::wire
