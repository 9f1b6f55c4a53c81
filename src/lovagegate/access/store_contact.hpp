#ifndef LOVAGEGATE_ACCESS_STORE_CONTACT_HPP
#define LOVAGEGATE_ACCESS_STORE_CONTACT_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <optional>

namespace lovagegate::access {

/// How long ago the store answered an instance or, by way of heartbeats, one
/// that it has heard from.
struct contact_age
{
    duration age{};
    std::uint32_t hops = 0; ///< heartbeats that have passed it on
};

/// Keeps when the newest configuration of the store was last certain to be
/// known, by this instance's own calls or those of others. Most instances don't
/// call the store.
class store_contact
{
public:
    /// @param at when the store last answered this instance
    void on_store_answer(time_point at);

    /// Takes in the age from a heartbeat. The caller has checked that this
    /// instance knows all keys of the operators that the sender knows.
    void on_peer(const contact_age& told, time_point now);

    /// @return what to tell other instances; nothing before the first contact
    ///         or if it has passed too many instances
    [[nodiscard]] std::optional<contact_age> age(time_point now) const;

    /// @return whether the last contact is so recent that a key which is
    ///         unknown isn't a new one
    [[nodiscard]] bool is_current(time_point now) const;

private:
    std::optional<time_point> last_;
    std::uint32_t hops_ = 0;
};

} // namespace lovagegate::access

#endif
