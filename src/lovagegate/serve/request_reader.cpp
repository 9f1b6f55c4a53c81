#include "lovagegate/serve/request_reader.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace lovagegate::serve {

namespace {

constexpr std::string_view service_prefix = "/s/";
constexpr std::size_t max_id_bytes = 128;
/// Largest number in a header; larger ones would overflow the time types.
constexpr std::int64_t max_header_number = 1'000'000'000'000'000;

/// Thrown within this file when a header is invalid.
struct header_error
{
    request_fault fault;
};

[[noreturn]] void reject(std::string message, std::string param)
{
    throw header_error{
        {refusal::malformed_request, std::move(message), std::move(param)}};
}

std::optional<std::int64_t> read_number(const net::http_request& request,
                                        const char* name)
{
    const auto text = request.header(name);
    if (text.empty())
        return std::nullopt;
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [at, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc() || at != end || value < 0 ||
        value > max_header_number)
        reject("expected a whole number of milliseconds", name);
    return value;
}

std::optional<priority> read_priority(const net::http_request& request)
{
    const auto text = request.header("x-priority");
    if (text.empty())
        return std::nullopt;
    for (const auto p :
         {priority::interactive, priority::normal, priority::batch})
        if (text == to_string(p))
            return p;
    reject("expected interactive, normal or batch", "x-priority");
}

std::optional<request_id> read_id(const net::http_request& request)
{
    const auto text = request.header("x-request-id");
    if (text.empty())
        return std::nullopt;
    const auto printable = [](char c) { return c > ' ' && c < '\x7f'; };
    if (text.size() > max_id_bytes || !std::ranges::all_of(text, printable))
        reject("expected up to 128 printable characters", "x-request-id");
    return request_id(std::string(text));
}

void read_headers(const net::http_request& request, node::caller_request& to)
{
    to.importance = read_priority(request);
    to.request = read_id(request);
    if (const auto ms = read_number(request, "x-deadline-ms"))
        to.deadline = std::chrono::milliseconds(*ms);
    if (const auto ms = read_number(request, "x-request-issued"))
        to.issued = wall_time(std::chrono::milliseconds(*ms));
}

std::optional<openai::completion_kind>
completion_of(const net::http_request& request, std::string_view path)
{
    if (request.method != "POST")
        return std::nullopt;
    for (const auto kind :
         {openai::completion_kind::chat, openai::completion_kind::text})
        if (path == openai::endpoint_path(kind))
            return kind;
    return std::nullopt;
}

void read_completion(const net::http_request& request,
                     openai::completion_kind kind, checked_request& to)
{
    to.completion.emplace(kind, request.body);
    node::caller_request& core_request = to.core_request;
    core_request.completion = true;
    core_request.model = to.completion->model();
    core_request.prefix = to.completion->prompt_prefix_hash();
    core_request.print = stable_hash(to.completion->normalized_body(),
                                     stable_hash(core_request.model));
}

void read_plain(const net::http_request& request, checked_request& to)
{
    node::caller_request& core_request = to.core_request;
    core_request.completion = false;
    core_request.method = request.method;
    to.target_path = net::percent_encode(core_request.path);
    if (!request.query.empty())
        to.target_path += '?' + request.query;
    to.content_type = request.header("content-type");
    to.body = request.body;
    core_request.print =
        stable_hash(to.body, stable_hash(request.method + to.target_path));
}

} // namespace

service_path parse_service_path(const net::http_request& request)
{
    const std::string_view path = request.path;
    if (!path.starts_with(service_prefix))
        return {service_id(std::string(request.header("x-lovagegate-service"))),
                request.path};
    const auto rest = path.substr(service_prefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    return {service_id(std::string(rest.substr(0, slash))),
            std::string(rest.substr(slash))};
}

std::variant<checked_request, request_fault>
read_request(const net::http_request& request)
{
    checked_request checked;
    auto address = parse_service_path(request);
    checked.core_request.service = std::move(address.service);
    checked.core_request.path = std::move(address.path);
    try {
        read_headers(request, checked.core_request);
        if (const auto kind = completion_of(request, checked.core_request.path))
            read_completion(request, *kind, checked);
        else
            read_plain(request, checked);
    } catch (const header_error& f) {
        return f.fault;
    } catch (const openai::request_error& e) {
        return request_fault{refusal::malformed_request, e.what(), e.field()};
    }
    checked.core_request.print = stable_hash(checked.core_request.service.str(),
                                             checked.core_request.print);
    return checked;
}

} // namespace lovagegate::serve
