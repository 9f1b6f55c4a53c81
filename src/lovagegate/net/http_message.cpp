#include "lovagegate/net/http_message.hpp"

#include <algorithm>
#include <limits>

namespace lovagegate::net {

namespace {

/// Return values of the on_headers_complete callback of http_parser.
constexpr int body_may_follow = 0;
constexpr int no_body_follows = 1;

char lower(char c) noexcept
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_valid_value(std::string_view value)
{
    return std::ranges::none_of(value, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < ' ' && c != '\t') || byte == 0x7f;
    });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    return text;
}

/// @return whether the response body is delimited by the end of the connection:
/// it has neither a Content-Length nor chunked coding
bool is_delimited_by_close(const http_parser& p)
{
    constexpr unsigned informational = 100;
    constexpr unsigned first_success = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    const bool has_no_body =
        (p.status_code >= informational && p.status_code < first_success) ||
        p.status_code == no_content || p.status_code == not_modified;
    return !has_no_body && (p.flags & F_CHUNKED) == 0 &&
           p.content_length == std::numeric_limits<std::uint64_t>::max();
}

} // namespace

bool same_name(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view message_head::header(std::string_view name) const
{
    for (const auto& h : headers)
        if (same_name(h.name, name))
            return h.value;
    return {};
}

bool message_head::has(std::string_view name) const
{
    return std::ranges::any_of(headers, [&](const message_header& h) {
        return same_name(h.name, name);
    });
}

message_reader::message_reader(kind k, std::size_t max_head_bytes)
    : kind_(k), max_head_bytes_(max_head_bytes)
{
    start();
}

message_reader& message_reader::self(http_parser* p)
{
    return *static_cast<message_reader*>(p->data);
}

http_parser_settings message_reader::make_callbacks()
{
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* p, const char* at, std::size_t n) {
        self(p).head_.target.append(at, n);
        self(p).head_text_bytes_ += n;
        return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
        auto& r = self(p);
        if (r.in_value_)
            r.finish_header();
        r.name_.append(at, n);
        return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
        self(p).in_value_ = true;
        self(p).value_.append(at, n);
        return 0;
    };
    s.on_headers_complete = [](http_parser* p) { return self(p).on_headers(); };
    s.on_chunk_header = [](http_parser* p) { return self(p).on_chunk_size(); };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        self(p).body_bytes_ += n;
        self(p).on_body_({at, n});
        return 0;
    };
    s.on_message_complete = [](http_parser* p) {
        self(p).complete_ = true;
        http_parser_pause(p, 1);
        return 0;
    };
    return s;
}

void message_reader::start(bool without_body)
{
    http_parser_init(&parser_,
                     kind_ == kind::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    head_ = {};
    name_.clear();
    value_.clear();
    head_bytes_ = head_text_bytes_ = body_bytes_ = 0;
    max_body_bytes_ = std::numeric_limits<std::size_t>::max();
    body_too_large_ = false;
    in_value_ = started_ = head_complete_ = complete_ = false;
    ends_with_connection_ = malformed_ = false;
    without_body_ = without_body;
}

void message_reader::finish_header()
{
    if (head_complete_) { // ignores trailers of a chunked body
        name_.clear();
        value_.clear();
        in_value_ = false;
        return;
    }
    // http_parser accepts a space before the colon. Other implementations may
    // read such a line as a different header, so it is rejected.
    if (!is_valid_value(value_) || name_.find(' ') != std::string::npos)
        malformed_ = true;
    head_text_bytes_ += name_.size() + value_.size();
    head_.headers.push_back({std::move(name_), std::string(trimmed(value_))});
    name_.clear();
    value_.clear();
    in_value_ = false;
}

int message_reader::on_headers()
{
    if (in_value_ || !name_.empty())
        finish_header();
    head_complete_ = true;
    head_.status = static_cast<int>(parser_.status_code);
    if (kind_ == kind::requests)
        head_.method =
            http_method_str(static_cast<http_method>(parser_.method));
    ends_with_connection_ = kind_ == kind::responses && !without_body_ &&
                            is_delimited_by_close(parser_);
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    if (malformed_)
        return body_may_follow;
    on_head_(head_);
    return without_body_ ? no_body_follows : body_may_follow;
}

int message_reader::on_chunk_size()
{
    body_too_large_ = body_bytes_ > max_body_bytes_ ||
                      parser_.content_length > max_body_bytes_ - body_bytes_;
    return body_too_large_ ? 1 : 0;
}

message_reader::progress message_reader::read_some(std::string_view data)
{
    static const http_parser_settings callbacks = make_callbacks();
    progress p;
    if (data.empty())
        return p;
    started_ = true;
    const bool had_head = head_complete_;
    p.used =
        http_parser_execute(&parser_, &callbacks, data.data(), data.size());
    const auto failure = HTTP_PARSER_ERRNO(&parser_);
    if (complete_) {
        http_parser_pause(&parser_, 0);
    } else if (failure != HPE_OK || p.used < data.size()) {
        p.failure = failure == HPE_HEADER_OVERFLOW
                        ? parse_failure::head_too_large
                        : parse_failure::malformed;
    }
    if (malformed_)
        p.failure = parse_failure::malformed;
    else if (body_too_large_)
        p.failure = parse_failure::body_too_large;
    if (!had_head) {
        head_bytes_ += head_complete_ ? 0 : data.size();
        if (head_bytes_ > max_head_bytes_)
            p.failure = parse_failure::head_too_large;
    }
    p.head_complete = head_complete_;
    p.complete = complete_ && p.failure == parse_failure::none;
    return p;
}

bool message_reader::end_of_data()
{
    return head_complete_ && ends_with_connection_ && !complete_ && !malformed_;
}

} // namespace lovagegate::net
