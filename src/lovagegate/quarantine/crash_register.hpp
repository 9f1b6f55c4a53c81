#ifndef LOVAGEGATE_QUARANTINE_CRASH_REGISTER_HPP
#define LOVAGEGATE_QUARANTINE_CRASH_REGISTER_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/membership/view.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

/// Requests that crash the targets that run them.
namespace lovagegate::quarantine {

struct quarantine_settings
{
    std::uint32_t crash_threshold =
        2;                       ///< of different runs of targets: quarantined
    duration evidence_ttl = 24h; ///< after the last crash
    std::size_t max_fingerprints = 4096;
    std::size_t push_fanout = 4;         ///< peers told at once of a new crash
    std::size_t max_repair_crashes = 16; ///< newest crashes in a repair push
    duration repair_interval = 5s;       ///< one peer is told of them again
};

/// Which fingerprints were running when a target broke. Evidence only grows
/// until it is forgotten, so that instances agree whatever the order of pushes.
class crash_register
{
public:
    /// @param s bounds
    /// @param c counters of the instance; must outlive this
    crash_register(quarantine_settings s, counters& c);

    /// A target broke while this instance's request ran on it.
    /// @return whether that was not yet known
    bool on_crash(const protocol::suspicion& crash, time_point now);
    /// @return those that were not yet known
    std::vector<protocol::suspicion>
    on_push(const protocol::sender& from, const protocol::suspicion_push& push,
            time_point now);
    /// Tells peers of what is new, and now and then of what is recent.
    void tick(time_point now, membership::view& view, node::outbox& out);

    /// @return how many runs of targets broke while the fingerprint ran
    [[nodiscard]] std::uint32_t count(fingerprint print) const;
    [[nodiscard]] bool is_suspected(fingerprint print) const
    {
        return count(print) > 0;
    }
    [[nodiscard]] bool is_quarantined(fingerprint print) const
    {
        return count(print) >= settings_.crash_threshold;
    }
    /// @return the evidence on one fingerprint
    [[nodiscard]] std::span<const protocol::suspicion>
    evidence(fingerprint print) const;
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    /// @return the fingerprints that are refused
    [[nodiscard]] std::vector<fingerprint> quarantined() const;

private:
    struct entry
    {
        std::vector<protocol::suspicion> crashes;
        time_point last_crash{};
    };

    void erase_expired(time_point now);
    void evict_if_full();

    quarantine_settings settings_;
    counters& counters_;
    std::unordered_map<fingerprint, entry> entries_;
    std::deque<protocol::suspicion> recent_crashes_; ///< newest last
    std::vector<protocol::suspicion> unsent_crashes_;
    time_point next_repair_{};
};

} // namespace lovagegate::quarantine

#endif
