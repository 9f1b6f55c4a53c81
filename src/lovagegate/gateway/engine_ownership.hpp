#ifndef LOVAGEGATE_GATEWAY_ENGINE_OWNERSHIP_HPP
#define LOVAGEGATE_GATEWAY_ENGINE_OWNERSHIP_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/gateway/member_table.hpp"
#include "lovagegate/ownership/fleet_contact.hpp"
#include "lovagegate/ownership/order_watch.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::gateway {

/// Decides which engines this instance owns. Only the owner of an engine sends
/// it orders. An owner keeps its engines while it runs. When its heartbeats
/// stop, another instance takes over after one lease, by which time a
/// partitioned owner has detected the partition and stopped.
///
/// An instance that hasn't found the others (see ownership::fleet_contact) may
/// serve beside owners that it doesn't know. It takes an engine provisionally,
/// once the engine has accepted no orders of others for a lease, names the
/// number of accepted orders in each order, and gives the engine up as soon as
/// that number shows an order of another instance.
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
    /// @param engines_check_tokens whether engines refuse lower tokens
    engine_ownership(duration lease, start_kind start, time_point now,
                     bool engines_check_tokens = true);

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
    std::vector<change> update(member_table& members,
                               std::span<const std::string> engines,
                               instant now);

    /// Gives up all engines, because the process was paused or is stopping.
    std::vector<change> drop_all(const std::string& reason, time_point now);

    /// @return null if this instance may not send orders to the engine now
    [[nodiscard]] const owned* find(std::string_view engine) const;

    void on_ordered(std::string_view engine, time_point now);

    /// Called when an order was certainly not accepted.
    void on_order_failed(std::string_view engine);

    /// Called for each report of an engine, before orders are planned from it.
    /// @param run start of the engine
    /// @param sequence number of orders that it has accepted
    /// If others give orders to an owned engine, an instance that hasn't found
    /// the others gives it up, and one that has raises its token if engines
    /// check none.
    /// @return the change, if this gives up the engine
    std::optional<change> on_report(std::string_view engine, std::int64_t run,
                                    std::uint64_t sequence, instant now);

    /// @return engines whose reports are needed to tell whether others give
    ///         orders to them
    [[nodiscard]] const std::set<std::string, std::less<>>&
    watched() const noexcept
    {
        return watched_;
    }

    /// @return whether this instance has found the deployment's other instances
    [[nodiscard]] bool is_established() const noexcept
    {
        return contact_.is_established();
    }

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
    void watch(const std::string& engine, time_point now);
    /// Decides between this owner and a live member that claims the engine.
    /// @return whether this instance keeps the engine
    bool settle_conflict(const std::string& engine, owned& mine,
                         const member_table& members,
                         const member_record& other, const engine_claim& c,
                         instant now);
    /// @return time from which an engine without a known owner may be taken;
    ///         nothing while that is unknown
    [[nodiscard]] std::optional<time_point>
    available_from(const member_table& members, std::string_view engine,
                   time_point now) const;
    bool update_engine(const member_table& members, const std::string& engine,
                       std::span<const std::string> alive, instant now,
                       std::vector<change>& out);

    duration lease_;
    time_point start_;
    bool engines_check_tokens_;
    std::string own_address_;
    ownership::fleet_contact contact_;
    ownership::order_watch orders_;
    std::set<std::string, std::less<>> watched_;
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
