#include "lovagegate/net/http_types.hpp"

namespace lovagegate::net {

namespace {

std::string_view find(const header_map& headers, std::string_view name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view() : it->second;
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    return find(headers, name);
}

std::string_view http_request::argument(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto part = rest.substr(0, end);
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view()
                                                    : part.substr(equals + 1);
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    return {};
}

std::string_view response_head::header(std::string_view name) const
{
    return find(headers, name);
}

} // namespace lovagegate::net
