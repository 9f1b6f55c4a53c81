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

/// Quarantine of requests that crash the targets that run them.
namespace lovagegate::quarantine {

/// Thresholds and bounds of the quarantine.
struct quarantine_settings
{
    std::uint32_t crash_threshold = 2; ///< crashed target runs that quarantine
    duration evidence_ttl = 24h;       ///< after the last crash
    std::size_t max_fingerprints = 4096;
    std::size_t push_fanout = 4; ///< peers that a new crash is sent to
    std::size_t max_repair_crashes =
        16;                        ///< most recent crashes in a repair push
    duration repair_interval = 5s; ///< between repair pushes to one random peer
};

/// Records which fingerprints were running when a target crashed. Evidence only
/// grows until it expires, so that instances converge regardless of the order
/// in which pushes arrive.
class crash_register
{
public:
    /// @param s thresholds and bounds
    /// @param c counters of the instance; must outlive this object
    crash_register(quarantine_settings s, counters& c);

    /// Records that a target crashed while a request ran on it.
    /// @return whether the crash was new
    bool on_crash(const protocol::suspicion& crash, time_point now);
    /// Records the crashes that a peer has sent.
    /// @return those that were new
    std::vector<protocol::suspicion>
    on_push(const protocol::sender& from, const protocol::suspicion_push& push,
            time_point now);
    /// Sends new crashes to random peers and, once per repair_interval, recent
    /// ones to one peer.
    void tick(time_point now, membership::view& view, node::outbox& out);

    /// @return number of target runs that crashed while the fingerprint ran
    [[nodiscard]] std::uint32_t count(fingerprint print) const;
    [[nodiscard]] bool is_suspected(fingerprint print) const
    {
        return count(print) > 0;
    }
    [[nodiscard]] bool is_quarantined(fingerprint print) const
    {
        return count(print) >= settings_.crash_threshold;
    }
    /// @return the known crashes of one fingerprint
    [[nodiscard]] std::span<const protocol::suspicion>
    evidence(fingerprint print) const;
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    /// @return the quarantined fingerprints, sorted
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
