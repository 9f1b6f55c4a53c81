#ifndef LOVAGEGATE_PERMITS_PERMIT_NODE_HPP
#define LOVAGEGATE_PERMITS_PERMIT_NODE_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/ticket/model.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lovagegate::permits {

/// Settings of the instance that grants load permits.
struct permit_settings
{
    /// The store's rate holds over any interval of this length. A new permit
    /// node waits for the same time, so that the loads granted by its
    /// predecessor have ended.
    duration window = 10s;
    duration valid_for = 500ms; ///< a permit must be used within it
    duration want_ttl = 1s;     ///< wants that are not repeated expire
    duration permit_ttl = 25s;  ///< permits that are not returned expire
    /// Time after which a granted permit is included in the owner's number of
    /// loads in transit, unless it was lost.
    duration max_count_delay = 1500ms;
    /// One in this many permits goes to the want that has waited longest; 0:
    /// none.
    std::uint32_t oldest_first_every = 8;
    /// Minimum fill of the bucket for a prefetch, as a share of its size.
    double prefetch_fill_share = 0.9;
};

/// Grants the load permits of one weight store. The rate is limited by a token
/// bucket whose size and refill together stay below the store's rate over any
/// window. Both are scaled by the share of listed instances that were reachable
/// recently, so that the two sides of a partition together stay within the
/// rate.
class permit_node
{
public:
    /// @param store name of the weight store
    /// @param self the instance that this object runs on
    /// @param settings validated settings
    /// @param counts outlives this object
    permit_node(std::string store, instance_id self,
                const permit_settings& settings, counters& counts);

    void set_store(const ticket::weight_store& store);
    /// @param listed number of instances in the published list, including this
    /// one
    /// @param reachable number of those that were reachable recently, including
    /// this one
    void set_members(std::size_t listed, std::size_t reachable, time_point now);
    /// @param is_permit_node whether this instance grants permits
    /// @param since when this instance became permit node
    void set_role(bool is_permit_node, time_point since);

    void on_permit_request(const protocol::sender& from,
                           const protocol::permit_request& request,
                           time_point now, node::outbox& out);
    void on_permit_return(const protocol::sender& from,
                          const protocol::permit_return& returned,
                          time_point now, node::outbox& out);
    void tick(time_point now, node::outbox& out);

    /// @return number of permits granted and not yet returned
    [[nodiscard]] std::size_t outstanding() const noexcept
    {
        return outstanding_.size();
    }

private:
    struct want_key
    {
        instance_id from;
        incarnation start = 0;
        pool_id pool;
        local_id id = 0;

        friend auto operator<=>(const want_key&, const want_key&) = default;
    };
    struct pending_want
    {
        protocol::wanted_load load;
        time_point first_seen{};
        time_point last_seen{};
    };
    using want_map = std::map<want_key, pending_want>;

    [[nodiscard]] double reachable_share() const;
    [[nodiscard]] double bucket_size() const;
    [[nodiscard]] std::size_t max_outstanding() const;
    void refill(time_point now);
    void remove_expired(time_point now);
    void remove_lost(const want_key& first, std::size_t in_transit,
                     time_point now);
    [[nodiscard]] want_map::const_iterator next_want() const;
    void grant_permits(time_point now, node::outbox& out);

    std::string store_name_;
    instance_id self_;
    permit_settings settings_;
    counters& counts_;
    ticket::weight_store store_;
    std::size_t listed_ = 1;
    std::size_t reachable_ = 1;
    bool active_ = false;
    time_point since_{};
    time_point refilled_{};
    double tokens_ = 0.0;
    std::uint64_t granted_ = 0;
    want_map wants_;
    std::map<want_key, time_point> outstanding_;
};

} // namespace lovagegate::permits

#endif
