#ifndef LOVAGEGATE_SERVE_REQUEST_READER_HPP
#define LOVAGEGATE_SERVE_REQUEST_READER_HPP

#include "lovagegate/net/http_types.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/openai/completion_request.hpp"

#include <optional>
#include <string>
#include <variant>

namespace lovagegate::serve {

/// A caller's request after its headers and body have been checked.
struct checked_request
{
    node::caller_request
        core_request; ///< input of the decision core, without id
    std::optional<openai::completion_request> completion;
    std::string target_path; ///< plain services: encoded, with query
    std::string content_type;
    std::string body; ///< plain services only
};

/// Why a request was refused before it reached the decision core.
struct request_fault
{
    refusal reason = refusal::malformed_request;
    std::string message;
    std::string param; ///< invalid header or field
};

/// A path of the form /s/SERVICE/REST, split at its service prefix.
struct service_path
{
    service_id service; ///< empty if there is no prefix or header
    std::string path;
};

/// @return the service, from the path prefix or X-Lovagegate-Service, and the
///         rest of the path
[[nodiscard]] service_path parse_service_path(const net::http_request& request);

/// Checks a request. The result depends on the request alone.
[[nodiscard]] std::variant<checked_request, request_fault>
read_request(const net::http_request& request);

} // namespace lovagegate::serve

#endif
