#ifndef LOVAGEGATE_MEMBERSHIP_CONTACT_AGES_HPP
#define LOVAGEGATE_MEMBERSHIP_CONTACT_AGES_HPP

#include "lovagegate/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::membership {

/// Time since the last known contact with an instance.
struct contact_age
{
    std::uint32_t instance = 0; ///< see instance_key
    duration age{};
};

/// @param hash stable hash of an instance's name
/// @return the low 24 bits of the hash, which identify the instance in
/// heartbeats
[[nodiscard]] constexpr std::uint32_t instance_key(std::uint64_t hash) noexcept
{
    return std::uint32_t(hash & 0xffffffU);
}

/// Resolution of encoded ages. Ages are rounded up, so that no contact appears
/// more recent than it was.
inline constexpr duration contact_age_unit = 200ms;

/// Appends an entry as five characters of the base64 alphabet: four for the
/// instance and one for the age. The encoding is short because a heartbeat
/// carries more than a hundred entries.
/// @return false, with nothing appended, if the age cannot be encoded
bool append_contact_age(std::string& text, contact_age entry);

/// @return the entries encoded in a text; malformed entries are skipped
[[nodiscard]] std::vector<contact_age>
parse_contact_ages(std::string_view text);

} // namespace lovagegate::membership

#endif
