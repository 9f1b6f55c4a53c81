#ifndef LOVAGEGATE_GATEWAY_EVENT_SPLITTER_HPP
#define LOVAGEGATE_GATEWAY_EVENT_SPLITTER_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagegate::gateway {

/// Splits an event stream into complete events, so that a stream that breaks
/// within an event can be resumed without a gap or a duplicate.
class event_splitter
{
public:
    /// Adds bytes of the stream.
    /// @return the bytes up to the end of the last complete event; valid until
    ///         the next call
    std::string_view add(std::string_view data);

    /// @return id of the last complete event, empty before the first one
    [[nodiscard]] const std::string& last_id() const noexcept
    {
        return last_id_;
    }

    /// @return number of complete events so far; comments and empty lines,
    ///         which only keep a connection open, are not counted
    [[nodiscard]] std::uint64_t event_count() const noexcept
    {
        return event_count_;
    }

    /// @return bytes of an incomplete event
    [[nodiscard]] std::string_view partial_event() const noexcept
    {
        return pending_;
    }

    /// @return whether the head of an HTTP answer was found instead of an
    ///         event. It and all that follows belong to the incomplete event.
    [[nodiscard]] bool is_malformed() const noexcept { return malformed_; }

    /// Drops the incomplete event, because another source continues the stream.
    void discard_partial_event()
    {
        std::string().swap(pending_);
        malformed_ = false;
    }

private:
    void record_event(std::string_view event);

    std::string pending_;
    std::string whole_;
    std::string last_id_;
    std::uint64_t event_count_ = 0;
    bool malformed_ = false;
};

} // namespace lovagegate::gateway

#endif
