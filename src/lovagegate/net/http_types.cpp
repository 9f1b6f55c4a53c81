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

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view unescaped = "-._~/:=,@";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool is_alphanumeric = (byte >= '0' && byte <= '9') ||
                                     (byte >= 'A' && byte <= 'Z') ||
                                     (byte >= 'a' && byte <= 'z');
        if (is_alphanumeric || unescaped.find(c) != std::string_view::npos) {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

std::string_view response_head::header(std::string_view name) const
{
    return find(headers, name);
}

} // namespace lovagegate::net
