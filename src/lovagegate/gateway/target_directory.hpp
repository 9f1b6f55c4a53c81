#ifndef LOVAGEGATE_GATEWAY_TARGET_DIRECTORY_HPP
#define LOVAGEGATE_GATEWAY_TARGET_DIRECTORY_HPP

#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/site_config.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Whether a target may receive new requests.
enum class target_use : std::uint8_t
{
    normal,      ///< ready
    last_resort, ///< leaving or unlisted, but still within the drain limit
    none
};

/// State of one target, as known to this instance.
struct target_state
{
    target_entry entry;
    /// Time from which the target is a last resort, and from which it is not
    /// used: a request sent after the drain limit would arrive too late.
    time_point not_preferred_from = time_point::max();
    time_point unusable_from = time_point::max();
    bool listed = true;

    [[nodiscard]] target_use use(time_point now) const noexcept;
};

/// The published targets of all services.
class target_directory
{
public:
    /// @param drain_after_notice longest time for which a leaving target may
    ///        receive new requests, from the store's acknowledgement
    explicit target_directory(duration drain_after_notice)
        : drain_limit_(drain_after_notice)
    {
    }

    /// Adds or replaces a published target.
    void put(target_entry entry, time_point now);

    /// Called when the entry of a target was removed.
    /// @param in_doubt the entry may have expired while the store was
    ///        unreachable: the target stays fully usable until entries should
    ///        have returned
    void remove(std::string_view id, bool in_doubt, time_point now);

    /// Erases targets that have been unlisted for a long time.
    void expire(time_point now);

    [[nodiscard]] const target_state* find(std::string_view id) const;

    /// @return targets of a service that may receive requests, ordered by id
    [[nodiscard]] std::vector<const target_state*>
    usable(std::string_view service, time_point now) const;

    /// @return number of listed targets of a service
    [[nodiscard]] std::size_t listed(std::string_view service) const;

    [[nodiscard]] const std::map<std::string, target_state, std::less<>>&
    all() const noexcept
    {
        return targets_;
    }

private:
    duration drain_limit_;
    std::map<std::string, target_state, std::less<>> targets_;
    std::map<std::string, std::vector<std::string>, std::less<>> by_service_;

    void index(const std::string& service, const std::string& id);
    void unindex(const std::string& service, const std::string& id);
};

} // namespace lovagegate::gateway

#endif
