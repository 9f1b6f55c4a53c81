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

/// Crashes that the owner observed itself, so that it does not depend on gossip
/// about them. Bounded: the oldest fingerprint is removed first.
class crash_record
{
public:
    static constexpr std::size_t max_fingerprints = 4096;

    /// @param crash the fingerprint and the target run that it crashed
    void add(const protocol::suspicion& crash);
    /// @return number of different target runs that crashed with the
    /// fingerprint
    [[nodiscard]] std::size_t crashes(fingerprint print) const;

private:
    using target_run = std::pair<target_id, incarnation>;

    std::map<fingerprint, std::set<target_run>> runs_;
    std::deque<fingerprint> oldest_;
};

} // namespace lovagegate::pool

#endif
