#ifndef LOVAGEGATE_NODE_NODE_STATUS_HPP
#define LOVAGEGATE_NODE_NODE_STATUS_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/pool/pool_owner.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/ticket/ticket_book.hpp"

#include <map>
#include <string>
#include <vector>

namespace lovagegate::node {

/// A pool and its owner.
struct pool_assignment
{
    pool_id pool;
    instance_id owner; ///< empty: no usable owner
    std::size_t targets = 0;
};

/// Status of an instance, as the status page shows it to operators.
struct node_status
{
    instance_id instance;
    protocol::phase phase = protocol::phase::starting;
    std::size_t listed_instances = 0;
    std::size_t usable_instances = 0;
    protocol::ticket_digest tickets;
    std::vector<ticket::refused_ticket> refused_tickets;
    std::vector<pool_assignment> pools;
    std::vector<pool::pool_status> owned;
    std::map<service_id, std::size_t> open_requests;
    std::size_t quarantined = 0;
};

} // namespace lovagegate::node

#endif
