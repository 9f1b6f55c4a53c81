#ifndef LOVAGEGATE_READING_READER_WATCH_HPP
#define LOVAGEGATE_READING_READER_WATCH_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::reading {

/// Notices that the instances which read the store for all others are lost.
/// Readers send keepalives in short intervals, and their news count as such. If
/// there are none, the instances that are next take over one after the other,
/// each a little later than the one before, so that the loss of any of them
/// delays the news of the store only a little. Membership would notice it much
/// later.
class reader_watch
{
public:
    /// @param now counts as the first keepalive
    explicit reader_watch(time_point now)
        : last_keepalive_(now), last_check_(now), on_time_since_(now)
    {
    }

    /// Called when this instance has heard a keepalive of a reader, or sent
    /// one.
    void on_keepalive(time_point now);

    /// @param before number of live readers that send keepalives before this
    /// one
    /// @return whether this reader is to send a keepalive now
    [[nodiscard]] bool is_keepalive_due(std::size_t before,
                                        time_point now) const;

    /// @return whether is_take_over_due() may hold, which is cheaper to ask
    [[nodiscard]] bool is_silent(time_point now) const;

    /// Called every 50 ms. An instance that is late with this is short of
    /// processor time: keepalives may lie unread, and it would not be a good
    /// reader, so it doesn't take over until it has been on time for a while.
    void on_check(time_point now);

    /// @param before number of live instances that take over before this one
    /// @return whether this instance is to read the store
    [[nodiscard]] bool is_take_over_due(std::size_t before,
                                        time_point now) const;

private:
    time_point last_keepalive_;
    time_point last_check_;
    time_point on_time_since_; ///< all checks since then were
};

} // namespace lovagegate::reading

#endif
