#ifndef LOVAGEGATE_GATEWAY_SEND_ALLOWANCE_HPP
#define LOVAGEGATE_GATEWAY_SEND_ALLOWANCE_HPP

#include "lovagegate/core/time.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Lists the addresses of the live instances, this one included.
template <typename T>
concept member_source = requires(const T& source)
{
    {
        source()
        } -> std::convertible_to<std::vector<std::string>>;
};

/// Divides the requests that a target takes from all instances among them,
/// without a message for each: wall clock time is cut into slots, and each
/// instance computes by rendezvous hashing which requests of a slot are its
/// own. Unused ones are lost, so that the limit also holds where views of the
/// fleet or clocks differ a little.
class send_allowance
{
public:
    /// @param self address of this instance
    /// @param usable_from time at which this instance knows the others
    send_allowance(std::string self, time_point usable_from)
        : self_(std::move(self)), usable_from_(usable_from)
    {
    }

    /// @param per_second limit of the target
    /// @return whether this instance may send the target a request now
    template <member_source Members>
    [[nodiscard]] bool may_send(std::string_view target, double per_second,
                                const Members& members, instant now)
    {
        if (!is_dealt(target, per_second, now))
            deal(target, per_second, members(), now);
        return has_request(target, now);
    }

    /// Uses one request of a target for which may_send() has returned true.
    void take(std::string_view target);

    /// Erases shares of past slots.
    void expire(instant now);

private:
    /// The own requests of one target in one slot.
    struct share
    {
        std::int64_t slot = 0;
        double per_second = 0;
        std::size_t all = 0; ///< requests of all instances
        std::size_t instances = 0;
        std::size_t rank = 0; ///< of this instance in the slot's order
        std::size_t used = 0;
    };

    [[nodiscard]] bool is_dealt(std::string_view target, double per_second,
                                instant now) const;
    void deal(std::string_view target, double per_second,
              std::span<const std::string> members, instant now);
    [[nodiscard]] bool has_request(std::string_view target, instant now) const;

    std::string self_;
    time_point usable_from_;
    std::map<std::string, share, std::less<>> shares_; ///< by target
};

} // namespace lovagegate::gateway

#endif
