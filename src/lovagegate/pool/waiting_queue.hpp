#ifndef LOVAGEGATE_POOL_WAITING_QUEUE_HPP
#define LOVAGEGATE_POOL_WAITING_QUEUE_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/outcome.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/pool/adapter_table.hpp"
#include "lovagegate/pool/lease_table.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace lovagegate::pool {

/// A lease request that could not be granted immediately.
struct waiting_request
{
    lease_key key;
    std::uint32_t repeat =
        0; ///< highest repeat count received for this request
    adapter_key adapter = no_adapter;
    priority importance = priority::normal;
    time_point arrived{};
    time_point deadline{};
    fingerprint print = 0;
    std::uint64_t prefix = 0;
    bool suspected = false; ///< must not run together with another request of
                            ///< its fingerprint
    std::vector<engine_index> excluded;
    std::uint64_t sequence = 0; ///< order of arrival
};

/// Queues requests per adapter; within an adapter by priority, then by arrival.
class waiting_queue
{
public:
    using by_adapter = std::map<adapter_key, std::vector<waiting_request>>;

    void push(waiting_request request);
    /// @return the request if it was waiting
    std::optional<waiting_request> remove(const lease_key& key);

    [[nodiscard]] bool contains(const lease_key& key) const
    {
        return adapter_of_.contains(key);
    }
    /// Records that a request was received again.
    /// @return whether the request is waiting
    bool update_repeat(const lease_key& key, std::uint32_t repeat);

    /// @return the requests that wait for an adapter
    [[nodiscard]] std::span<const waiting_request>
    waiting_for(adapter_key adapter) const;
    /// @return all adapters with waiting requests
    [[nodiscard]] const by_adapter& adapters() const noexcept
    {
        return waiting_;
    }

    /// Removes and returns the requests whose deadline is before a time.
    std::vector<waiting_request> take_expired(time_point before);
    /// Removes and returns the requests for one adapter.
    std::vector<waiting_request> take_adapter(adapter_key adapter);
    /// Removes and returns the requests of one instance.
    std::vector<waiting_request> take_instance(const instance_id& holder);
    std::vector<waiting_request> take_all();
    /// Removes and returns the batch request that arrived last.
    std::optional<waiting_request> take_newest_batch();

    [[nodiscard]] std::size_t size() const noexcept
    {
        return adapter_of_.size();
    }
    [[nodiscard]] std::size_t size(priority p) const noexcept
    {
        return counts_[static_cast<std::size_t>(p)];
    }

private:
    template <typename Predicate>
    std::vector<waiting_request> take_if(Predicate predicate);
    void uncount(const waiting_request& request);

    by_adapter waiting_;
    std::unordered_map<lease_key, adapter_key, lease_key_hash> adapter_of_;
    std::array<std::size_t, priority_count> counts_{};
    std::uint64_t next_sequence_ = 0;
};

} // namespace lovagegate::pool

#endif
