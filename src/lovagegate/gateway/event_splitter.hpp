#ifndef LOVAGEGATE_GATEWAY_EVENT_SPLITTER_HPP
#define LOVAGEGATE_GATEWAY_EVENT_SPLITTER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagegate::gateway {

/// Cuts an event stream into whole events, so that a stream that breaks in the
/// middle of an event can be resumed without a gap or a repeat.
class event_splitter
{
public:
    /// Adds bytes of the stream.
    /// @return the bytes up to the end of the last whole event; valid until
    ///         the next call
    std::string_view add(std::string_view data);

    /// @return id of the last whole event, empty before the first
    [[nodiscard]] const std::string& last_id() const noexcept
    {
        return last_id_;
    }

    /// @return whole events so far
    [[nodiscard]] std::uint64_t event_count() const noexcept
    {
        return event_count_;
    }

    /// @return bytes of an event that is not whole yet
    [[nodiscard]] std::string_view partial_event() const noexcept
    {
        return pending_;
    }

    /// Drops the begun event: the stream goes on from another source.
    void discard_partial_event() { pending_.clear(); }

private:
    void record_event(std::string_view event);

    std::string pending_;
    std::string whole_;
    std::string last_id_;
    std::uint64_t event_count_ = 0;
};

} // namespace lovagegate::gateway

#endif
