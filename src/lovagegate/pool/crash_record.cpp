#include "lovagegate/pool/crash_record.hpp"

namespace lovagegate::pool {

void crash_record::add(const protocol::suspicion& crash)
{
    if (crash.print == 0)
        return;
    const auto [it, added] = runs_.try_emplace(crash.print);
    it->second.emplace(crash.target, crash.target_start);
    if (!added)
        return;
    oldest_.push_back(crash.print);
    if (oldest_.size() > max_fingerprints) {
        runs_.erase(oldest_.front());
        oldest_.pop_front();
    }
}

std::size_t crash_record::crashes(fingerprint print) const
{
    const auto it = runs_.find(print);
    return it == runs_.end() ? 0 : it->second.size();
}

} // namespace lovagegate::pool
