#ifndef LOVAGEGATE_OPENAI_EVENT_PARSER_HPP
#define LOVAGEGATE_OPENAI_EVENT_PARSER_HPP

#include "lovagegate/core/error.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace lovagegate::openai {

/// Thrown when an event of a stream exceeds the size limit.
class event_too_large : public error
{
public:
    using error::error;
};

/// One server-sent event; the views are valid during the call only.
struct stream_event
{
    std::string_view raw;  ///< as received, including the final blank line
    std::string_view data; ///< its data lines, joined by line feeds
};

/// Data of the last event of a whole stream.
inline constexpr std::string_view end_of_stream = "[DONE]";

/// Splits an event stream, received in parts of any size, into events.
class event_parser
{
public:
    using handler = std::function<void(const stream_event&)>;

    /// @param max_bytes largest event
    explicit event_parser(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// @param part next bytes of the stream
    /// @param on_event called with each event that is now complete
    /// @throws event_too_large
    void feed(std::string_view part, const handler& on_event);

    /// @return whether the stream so far ends with a complete event
    [[nodiscard]] bool at_boundary() const noexcept { return buffer_.empty(); }

private:
    std::size_t max_bytes_;
    std::string buffer_;
    std::size_t line_start_ = 0; ///< start of the first incomplete line
    std::string data_;
};

} // namespace lovagegate::openai

#endif
