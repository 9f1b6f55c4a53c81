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

/// Decides which engines this instance gives orders to. One instance at a time
/// orders an engine. It keeps the engine while it runs; others take it over
/// when they no longer hear it, after a pause of one lease, in which a silent
/// owner has noticed that it is cut off and has stopped.
class engine_ownership
{
public:
    /// What an instance that starts must expect of orders before its start.
    enum class start_kind : std::uint8_t
    {
        first,  ///< the whole system starts: nobody has ordered before
        fenced, ///< engines refuse the tokens of earlier owners
        unfenced
    };

    /// @param lease least pause between orders of two instances
    engine_ownership(duration lease, start_kind start, time_point now);

    /// An engine that this instance orders.
    struct owned
    {
        fencing_token token = 0;
        time_point last_order{};
    };

    /// A change that is worth a log line.
    struct change
    {
        std::string engine;
        bool taken = false;
        std::string reason;
        fencing_token token = 0;
    };

    /// Looks at the members' claims again.
    /// @param engines ids of all listed engines
    std::vector<change> update(const member_table& members,
                               std::span<const std::string> engines,
                               instant now);

    /// Gives everything up: the process was paused or is stopping.
    std::vector<change> drop_all(const std::string& reason, time_point now);

    /// @return null if this instance may not order the engine now
    [[nodiscard]] const owned* find(std::string_view engine) const;

    void on_ordered(std::string_view engine, time_point now);

    /// An engine refused a token since it had seen a higher one.
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
    /// No other instance's order can be younger than this.
    std::map<std::string, time_point, std::less<>> last_foreign_order_;
    std::map<std::string, fencing_token, std::less<>> highest_token_;
    std::map<std::string, time_point, std::less<>> candidate_since_;
    time_point earliest_order_;
    /// The same while members may not know of each other.
    time_point earliest_order_if_unmet_;
};

} // namespace lovagegate::gateway

#endif
