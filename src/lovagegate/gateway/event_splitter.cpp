#include "lovagegate/gateway/event_splitter.hpp"

namespace lovagegate::gateway {

namespace {

/// @return end of the first event, npos if it is incomplete
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    const auto lf = text.find("\n\n", from);
    const auto crlf = text.find("\n\r\n", from);
    if (lf == std::string_view::npos && crlf == std::string_view::npos)
        return std::string_view::npos;
    return lf < crlf ? lf + 2 : crlf + 3;
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
        record_event(std::string_view(pending_).substr(done, end - done));
        done = end;
        from = end;
    }
    whole_.assign(pending_, 0, done);
    pending_.erase(0, done);
    return whole_;
}

void event_splitter::record_event(std::string_view event)
{
    constexpr std::string_view id_field = "id:";
    ++event_count_;
    while (!event.empty()) {
        const auto newline = event.find('\n');
        std::string_view line = event.substr(0, newline);
        event.remove_prefix(newline == std::string_view::npos ? event.size()
                                                              : newline + 1);
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        last_id_ = line;
    }
}

} // namespace lovagegate::gateway
