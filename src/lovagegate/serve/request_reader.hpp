#ifndef LOVAGEGATE_SERVE_REQUEST_READER_HPP
#define LOVAGEGATE_SERVE_REQUEST_READER_HPP

#include "lovagegate/net/http_types.hpp"
#include "lovagegate/node/inputs.hpp"
#include "lovagegate/openai/completion_request.hpp"

#include <optional>
#include <string>
#include <variant>

namespace lovagegate::serve {

/// A checked request of a caller.
struct checked_request
{
    node::caller_request core_request; ///< without its id
    std::optional<openai::completion_request> completion;
    std::string target_path; ///< of a plain call, with its query, encoded
    std::string content_type;
    std::string body; ///< of a plain call
};

/// Why a request was refused before any decision.
struct request_fault
{
    refusal reason = refusal::malformed_request;
    std::string message;
    std::string param; ///< header or field at fault
};

/// A path without its service prefix: /s/SERVICE/REST.
struct service_path
{
    service_id service; ///< empty without a prefix and header
    std::string path;
};

/// @return whom the request is for, by its prefix or X-Lovagegate-Service
[[nodiscard]] service_path parse_service_path(const net::http_request& request);

/// Pure: the same request gives the same result.
[[nodiscard]] std::variant<checked_request, request_fault>
read_request(const net::http_request& request);

} // namespace lovagegate::serve

#endif
