#include "lovagegate/net/internal/headers.hpp"

#include "lovagegate/net/errors.hpp"

#include <algorithm>
#include <array>

namespace lovagegate::net::internal {

namespace {

constexpr std::size_t max_head_bytes = std::size_t{16} * 1024;

std::string copy_token(lws* wsi, lws_token_indexes token, int length)
{
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int n = lws_hdr_copy(wsi, value.data(), length + 1, token);
    value.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return value;
}

void read_known_headers(lws* wsi, header_map& out)
{
    for (int i = 0; i < WSI_TOKEN_COUNT; ++i) {
        const auto token = static_cast<lws_token_indexes>(i);
        const int length = lws_hdr_total_length(wsi, token);
        if (length <= 0)
            continue;
        const auto* text =
            reinterpret_cast<const char*>(lws_token_to_string(token));
        const std::string_view name = text ? text : "";
        if (name.size() < 2 || name.front() == ':' || name.back() != ':')
            continue;
        out.emplace(name.substr(0, name.size() - 1),
                    copy_token(wsi, token, length));
    }
}

void read_extension_header(lws* wsi, std::string_view name, header_map& out)
{
    std::string key(name);
    key += ':';
    const int size = static_cast<int>(key.size());
    const int length = lws_hdr_custom_length(wsi, key.c_str(), size);
    if (length < 0)
        return;
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int n =
        lws_hdr_custom_copy(wsi, value.data(), length + 1, key.c_str(), size);
    if (n < 0)
        return;
    value.resize(static_cast<std::size_t>(n));
    out.emplace(name, std::move(value));
}

bool is_forbidden(char c)
{
    return c == '\r' || c == '\n' || c == '\0';
}

bool append_header(lws* wsi, const header& h, unsigned char** at,
                   unsigned char* end)
{
    const std::string name = h.name + ':';
    return lws_add_http_header_by_name(
               wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
               reinterpret_cast<const unsigned char*>(h.value.data()),
               static_cast<int>(h.value.size()), at, end) == 0;
}

} // namespace

header_map read_headers(lws* wsi)
{
    header_map out;
    read_known_headers(wsi, out);
    for (const auto name : extension_headers)
        read_extension_header(wsi, name, out);
    return out;
}

std::string read_query(lws* wsi)
{
    std::string query;
    std::array<char, max_head_bytes> part{};
    for (int i = 0;; ++i) {
        const int n = lws_hdr_copy_fragment(wsi, part.data(), part.size(),
                                            WSI_TOKEN_HTTP_URI_ARGS, i);
        if (n < 0)
            return query;
        if (!query.empty())
            query += '&';
        query += percent_encode({part.data(), static_cast<std::size_t>(n)});
    }
}

void check_headers(const header_list& headers)
{
    for (const auto& h : headers)
        if (std::ranges::any_of(h.name, is_forbidden) ||
            std::ranges::any_of(h.value, is_forbidden))
            throw header_error("forbidden character in header " + h.name);
}

std::string response_head_text(lws* wsi, int status, const header_list& headers)
{
    check_headers(headers);
    std::array<unsigned char, LWS_PRE + max_head_bytes> buffer{};
    unsigned char* const start = buffer.data() + LWS_PRE;
    unsigned char* const end = buffer.data() + buffer.size() - 1;
    unsigned char* at = start;
    const auto code =
        static_cast<unsigned>(status) | LWSAHH_FLAG_NO_SERVER_NAME;
    bool fits = lws_add_http_header_status(wsi, code, &at, end) == 0;
    for (const auto& h : headers)
        fits = fits && append_header(wsi, h, &at, end);
    if (!fits || lws_finalize_http_header(wsi, &at, end))
        throw header_error("response head exceeds the size limit");
    return {reinterpret_cast<const char*>(start),
            static_cast<std::size_t>(at - start)};
}

bool append_headers(lws* wsi, const header_list& headers, unsigned char** at,
                    std::size_t space)
{
    unsigned char* const end = *at + space;
    return std::ranges::all_of(headers, [&](const header& h) {
        return append_header(wsi, h, at, end);
    });
}

} // namespace lovagegate::net::internal
