#include "lovagegate/openai/event_parser.hpp"

namespace lovagegate::openai {

namespace {

constexpr std::string_view data_field = "data:";

std::string_view strip_carriage_return(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

void append_data(std::string& data, std::string_view line)
{
    if (!line.starts_with(data_field))
        return;
    line.remove_prefix(data_field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (!data.empty())
        data += '\n';
    data += line;
}

} // namespace

void event_parser::feed(std::string_view part, const handler& on_event)
{
    buffer_.append(part);
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = buffer_.find('\n', line_start_);
        if (end == std::string::npos)
            break;
        const auto line = strip_carriage_return(
            std::string_view(buffer_).substr(line_start_, end - line_start_));
        line_start_ = end + 1;
        if (!line.empty()) {
            append_data(data_, line);
            continue;
        }
        on_event({std::string_view(buffer_).substr(begin, line_start_ - begin),
                  data_});
        data_.clear();
        begin = line_start_;
    }
    buffer_.erase(0, begin);
    line_start_ -= begin;
    if (buffer_.size() > max_bytes_)
        throw event_too_large("event of the stream exceeds the size limit");
}

} // namespace lovagegate::openai
