#ifndef LOVAGEGATE_POOL_LEASE_TABLE_HPP
#define LOVAGEGATE_POOL_LEASE_TABLE_HPP

#include "lovagegate/core/hash.hpp"
#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/adapter_table.hpp"
#include "lovagegate/protocol/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagegate::pool {

/// Identifies a lease by its holder and the holder's request.
struct lease_key
{
    instance_id holder;
    incarnation start = 0; ///< start of the holder's process
    local_id id = 0;

    friend bool operator==(const lease_key&, const lease_key&) = default;
};

/// Hash of a lease key.
struct lease_key_hash
{
    std::size_t operator()(const lease_key& k) const noexcept
    {
        return combine_hash(stable_hash(k.holder.str(), k.start), k.id);
    }
};

struct lease
{
    engine_index engine = no_engine;
    incarnation engine_start = 0; ///< run of the engine that the lease is for
    adapter_key adapter = no_adapter;
    fingerprint print = 0; ///< 0: unknown
    priority importance = priority::normal;
    time_point expires{};
    protocol::lease_grant grant; ///< sent again when the request is repeated
};

struct ended_lease
{
    lease_key key;
    lease what;
};

/// The open leases of a pool.
class lease_table
{
public:
    /// @return the lease; nullptr if it is not open
    [[nodiscard]] const lease* find(const lease_key& key) const;

    void open(const lease_key& key, lease&& l);
    /// @return the closed lease; nothing if it was not open
    std::optional<lease> close(const lease_key& key);
    void renew(const lease_key& key, time_point expires);

    /// Closes and returns the leases that have expired.
    std::vector<ended_lease> expire(time_point now);
    /// Closes and returns all leases on an engine.
    std::vector<ended_lease> close_engine(engine_index engine);

    [[nodiscard]] std::size_t size() const noexcept { return leases_.size(); }
    [[nodiscard]] std::size_t on_engine(engine_index engine) const;
    [[nodiscard]] std::size_t on_adapter(engine_index engine,
                                         adapter_key adapter) const;
    /// @return the engine with open leases for the fingerprint; no_engine if
    /// none
    [[nodiscard]] engine_index engine_of(fingerprint print) const;

    /// @param visit called with each lease_key and lease
    template <typename Visitor>
    void for_each(Visitor visit) const
    {
        for (const auto& [key, l] : leases_)
            visit(key, l);
    }

private:
    struct running_print
    {
        engine_index engine = no_engine;
        std::size_t leases = 0;
    };

    void add_to_counts(const lease& l);
    void remove_from_counts(const lease& l);
    template <typename Predicate>
    std::vector<ended_lease> close_if(Predicate predicate);

    std::unordered_map<lease_key, lease, lease_key_hash> leases_;
    std::unordered_map<std::uint64_t, std::size_t> on_adapter_;
    std::vector<std::size_t> on_engine_;
    std::unordered_map<fingerprint, running_print> running_prints_;
};

} // namespace lovagegate::pool

#endif
