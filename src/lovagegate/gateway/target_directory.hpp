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

/// How far a target may get new work.
enum class target_use : std::uint8_t
{
    normal,      ///< ready
    last_resort, ///< leaving or unlisted, and still within the drain bound
    none
};

/// What this instance knows of one target.
struct target_state
{
    target_entry entry;
    /// When the target was found leaving or unlisted; new work after the
    /// drain bound would reach it too late.
    time_point not_preferred_from = time_point::max();
    time_point unusable_from = time_point::max();
    bool listed = true;

    [[nodiscard]] target_use use(time_point now) const noexcept;
};

/// The targets of all services, as published.
class target_directory
{
public:
    /// @param drain_after_notice last new request to a leaving target, counted
    ///        from the store's acknowledgement
    explicit target_directory(duration drain_after_notice)
        : drain_limit_(drain_after_notice)
    {
    }

    /// A target was published.
    void put(target_entry entry, time_point now);

    /// A target's entry was removed.
    /// @param in_doubt the entry may have lapsed while the store was away:
    ///        the target is preferred until entries must be back
    void remove(std::string_view id, bool in_doubt, time_point now);

    /// Forgets targets that were unlisted long ago.
    void expire(time_point now);

    [[nodiscard]] const target_state* find(std::string_view id) const;

    /// @return the targets of a service that may get work, by id
    [[nodiscard]] std::vector<const target_state*>
    usable(std::string_view service, time_point now) const;

    /// @return listed targets of a service
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
