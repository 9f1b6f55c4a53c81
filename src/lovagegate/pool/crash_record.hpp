#ifndef LOVAGEGATE_POOL_CRASH_RECORD_HPP
#define LOVAGEGATE_POOL_CRASH_RECORD_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace lovagegate::pool {

/// Crashes that the owner itself saw, so that it need not wait for the gossip
/// about them. Bounded: the oldest fingerprint is forgotten first.
class crash_record
{
public:
    static constexpr std::size_t max_fingerprints = 4096;

    /// @param crash which fingerprint broke which run of which target
    void add(const protocol::suspicion& crash);
    /// @return different target runs that broke under the fingerprint
    [[nodiscard]] std::size_t crashes(fingerprint print) const;

private:
    using target_run = std::pair<target_id, incarnation>;

    std::map<fingerprint, std::set<target_run>> runs_;
    std::deque<fingerprint> oldest_;
};

} // namespace lovagegate::pool

#endif
