#ifndef LOVAGEGATE_OWNERSHIP_FLEET_CONTACT_HPP
#define LOVAGEGATE_OWNERSHIP_FLEET_CONTACT_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::gateway {
class member_table;
} // namespace lovagegate::gateway

namespace lovagegate::ownership {

/// Decides whether this instance has found the deployment's instances, so that
/// an engine which no known instance claims has no owner. An instance whose
/// seeds are down, or a group of such instances, has not: others may serve
/// beside it.
class fleet_contact
{
public:
    /// @param first_start the whole deployment starts for the first time
    explicit fleet_contact(bool first_start) : first_start_(first_start) {}

    /// Updates the contact, and the record by which others learn of it.
    /// @return whether this instance has just been found by instances that
    ///         served without it; it then gives up its engines
    bool update(gateway::member_table& members, time_point now);

    [[nodiscard]] bool is_established() const noexcept { return established_; }

private:
    [[nodiscard]] bool may_establish(const gateway::member_table& members,
                                     time_point now) const;

    bool first_start_;
    bool established_ = false;
    bool was_established_ = false;
    /// Members, with this one, that were known when the majority was lost.
    std::size_t members_before_cut_ = 0;
};

} // namespace lovagegate::ownership

#endif
