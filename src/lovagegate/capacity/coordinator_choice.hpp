#ifndef LOVAGEGATE_CAPACITY_COORDINATOR_CHOICE_HPP
#define LOVAGEGATE_CAPACITY_COORDINATOR_CHOICE_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace lovagegate::capacity {

/// A live instance that may coordinate permits.
struct coordinator_candidate
{
    std::string address;
    std::uint32_t cpu_permille = 0; ///< share of a core; 0 if not known
};

/// Chooses the coordinator of a service by rendezvous hashing over those live
/// instances that have at least half as much of a core as the strongest: each
/// request of the service costs its coordinator three datagrams.
/// @param instances live instances, at least one
/// @return address of the coordinator
[[nodiscard]] std::string_view
choose_coordinator(std::string_view service,
                   std::span<const coordinator_candidate> instances);

} // namespace lovagegate::capacity

#endif
