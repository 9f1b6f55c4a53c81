#include "lovagegate/gateway/event_splitter.hpp"

namespace lovagegate::gateway {

namespace {

/// A faulty engine may write an error answer into the stream that it has begun.
constexpr std::string_view http_answer_start = "HTTP/1.";

/// Long events are rare, and streams are many and last long.
constexpr std::size_t max_kept_capacity = std::size_t{16} * 1024;

/// Frees the memory of a string that was long and is short.
void trim(std::string& text)
{
    if (text.capacity() > max_kept_capacity &&
        text.size() < text.capacity() / 4)
        text.shrink_to_fit();
}

/// @return end of the first event, npos if it is incomplete
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    const auto lf = text.find("\n\n", from);
    const auto crlf = text.find("\n\r\n", from);
    if (lf == std::string_view::npos && crlf == std::string_view::npos)
        return std::string_view::npos;
    return lf < crlf ? lf + 2 : crlf + 3;
}

/// @return the first line of the text, without its end; the text starts after
/// it
std::string_view take_line(std::string_view& text)
{
    const auto newline = text.find('\n');
    std::string_view line = text.substr(0, newline);
    text.remove_prefix(newline == std::string_view::npos ? text.size()
                                                         : newline + 1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

/// @return whether the text has a line that is neither empty nor a comment
bool has_field(std::string_view text)
{
    while (!text.empty()) {
        const auto line = take_line(text);
        if (!line.empty() && !line.starts_with(':'))
            return true;
    }
    return false;
}

} // namespace

std::string_view event_splitter::add(std::string_view data)
{
    constexpr std::size_t longest_end = 2; // of "\n\r\n" without the last byte
    const std::size_t seen =
        pending_.size() > longest_end ? pending_.size() - longest_end : 0;
    pending_.append(data);
    std::size_t done = 0;
    std::size_t from = seen;
    for (auto end = end_of_event(pending_, from); end != std::string::npos;
         end = end_of_event(pending_, from)) {
        const auto event = std::string_view(pending_).substr(done, end - done);
        malformed_ = malformed_ || event.starts_with(http_answer_start);
        if (malformed_)
            break;
        record_event(event);
        done = end;
        from = end;
    }
    whole_.assign(pending_, 0, done);
    trim(whole_);
    pending_.erase(0, done);
    trim(pending_);
    return whole_;
}

void event_splitter::record_event(std::string_view event)
{
    constexpr std::string_view id_field = "id:";
    if (has_field(event))
        ++event_count_;
    while (!event.empty()) {
        std::string_view line = take_line(event);
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        last_id_ = line;
    }
}

} // namespace lovagegate::gateway
