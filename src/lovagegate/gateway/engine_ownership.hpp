#ifndef LOVAGEGATE_GATEWAY_ENGINE_OWNERSHIP_HPP
#define LOVAGEGATE_GATEWAY_ENGINE_OWNERSHIP_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/member_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Decides which engines this instance owns. Only the owner of an engine sends
/// it orders. An owner keeps its engines while it runs. When its heartbeats
/// stop, another instance takes over after one lease, by which time a
/// partitioned owner has detected the partition and stopped.
class engine_ownership
{
public:
    /// Which orders a starting instance must assume were sent before its start.
    enum class start_kind : std::uint8_t
    {
        first,  ///< first start of the deployment: no earlier orders
        fenced, ///< earlier owners may have sent orders, but engines refuse
                ///< older tokens
        unfenced
    };

    /// @param lease minimum time between orders of two instances to one engine
    engine_ownership(duration lease, start_kind start, time_point now);

    /// An engine that this instance owns.
    struct owned
    {
        fencing_token token = 0;
        time_point last_order{};
    };

    /// A change of ownership, to be logged.
    struct change
    {
        std::string engine;
        bool taken = false;
        std::string reason;
        fencing_token token = 0;
    };

    /// Updates the ownership from the members' claims.
    /// @param engines ids of all listed engines
    std::vector<change> update(const member_table& members,
                               std::span<const std::string> engines,
                               instant now);

    /// Gives up all engines, because the process was paused or is stopping.
    std::vector<change> drop_all(const std::string& reason, time_point now);

    /// @return null if this instance may not send orders to the engine now
    [[nodiscard]] const owned* find(std::string_view engine) const;

    void on_ordered(std::string_view engine, time_point now);

    /// Called when an engine refuses a token because it has seen a higher one.
    void on_token_refused(std::string_view engine, instant now);

    [[nodiscard]] const std::map<std::string, owned, std::less<>>&
    all() const noexcept
    {
        return owned_;
    }

    /// @return address of the live member that claims the engine
    [[nodiscard]] static std::optional<std::string>
    claiming_address(const member_table& members, std::string_view engine,
                     time_point now);

private:
    [[nodiscard]] fencing_token next_token(std::string_view address,
                                           std::string_view engine,
                                           instant now) const;
    void record_claims(const member_table& members, time_point now);
    bool update_engine(const member_table& members, const std::string& engine,
                       std::span<const std::string> alive, instant now,
                       std::vector<change>& out);

    duration lease_;
    std::map<std::string, owned, std::less<>> owned_;
    /// Latest time at which another instance may have sent an order, by engine.
    std::map<std::string, time_point, std::less<>> last_foreign_order_;
    std::map<std::string, fencing_token, std::less<>> highest_token_;
    std::map<std::string, time_point, std::less<>> candidate_since_;
    /// No order is sent before this time.
    time_point earliest_order_;
    /// The same, while members may not all know each other yet.
    time_point earliest_order_if_unmet_;
};

} // namespace lovagegate::gateway

#endif
