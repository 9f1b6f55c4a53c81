#include "lovagegate/capacity/coordinator_choice.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>

namespace lovagegate::capacity {

namespace {

constexpr std::uint64_t rendezvous_seed = 0x706572;
constexpr std::uint32_t strong_divisor = 2;

} // namespace

std::string_view
choose_coordinator(std::string_view service,
                   std::span<const coordinator_candidate> instances)
{
    std::uint32_t strongest = 0;
    for (const auto& i : instances)
        strongest = std::max(strongest, i.cpu_permille);
    const auto service_hash = stable_hash(service, rendezvous_seed);
    std::string_view best;
    std::uint64_t highest = 0;
    for (const auto& i : instances) {
        if (i.cpu_permille < strongest / strong_divisor)
            continue;
        const auto weight =
            combine_hash(service_hash, stable_hash(i.address, rendezvous_seed));
        if (best.empty() || weight > highest) {
            best = i.address;
            highest = weight;
        }
    }
    return best;
}

} // namespace lovagegate::capacity
