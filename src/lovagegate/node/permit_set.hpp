#ifndef LOVAGEGATE_NODE_PERMIT_SET_HPP
#define LOVAGEGATE_NODE_PERMIT_SET_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/membership/view.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/permits/permit_node.hpp"
#include "lovagegate/ticket/model.hpp"

#include <map>
#include <memory>
#include <string>

namespace lovagegate::node {

/// Permit nodes of the weight stores. This instance hands out the load permits
/// of those stores for which it has the role.
class permit_set
{
public:
    /// @param settings must outlive this object
    /// @param count must outlive this object
    permit_set(instance_id self, const permits::permit_settings& settings,
               counters& count);

    /// Updates the stores and roles after changes of the declared state or of
    /// membership.
    void refresh(const ticket::declared_state& state, std::uint64_t revision,
                 const membership::view& view, time_point now);

    void on_request(const protocol::sender& from,
                    const protocol::permit_request& request, time_point now,
                    outbox& out);
    void on_return(const protocol::sender& from,
                   const protocol::permit_return& returned, time_point now,
                   outbox& out);
    void tick(time_point now, outbox& out);

private:
    struct store
    {
        std::unique_ptr<permits::permit_node> node;
        bool is_permit_node = false;
        time_point role_since{};
    };

    void update_role(const std::string& name, store& s,
                     const membership::view& view, time_point now);

    instance_id self_;
    const permits::permit_settings& settings_;
    counters& counters_;
    std::uint64_t revision_ = 0;
    std::uint64_t view_revision_ = 0;
    time_point next_rate_update_{};
    std::map<std::string, store, std::less<>> stores_;
};

} // namespace lovagegate::node

#endif
