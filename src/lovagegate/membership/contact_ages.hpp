#ifndef LOVAGEGATE_MEMBERSHIP_CONTACT_AGES_HPP
#define LOVAGEGATE_MEMBERSHIP_CONTACT_AGES_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::membership {

/// How long ago an instance was heard of.
struct contact_age
{
    std::uint32_t instance = 0; ///< see instance_key
    duration age{};
};

/// @param hash stable hash of an instance's name
/// @return the part of it by which heartbeats name the instance
[[nodiscard]] constexpr std::uint32_t instance_key(std::uint64_t hash) noexcept
{
    return std::uint32_t(hash & 0xffffffU);
}

/// Resolution of the ages, which are rounded up.
inline constexpr duration contact_age_unit = 200ms;

/// Appends an entry in five characters of the base64 alphabet: four for the
/// instance and one for the age. Heartbeats carry some hundred of them.
/// @return false if the age is too long to be told
bool append_contact_age(std::string& text, contact_age entry);

/// @return the entries of a text; what is malformed is left out
[[nodiscard]] std::vector<contact_age>
parse_contact_ages(std::string_view text);

} // namespace lovagegate::membership

#endif
