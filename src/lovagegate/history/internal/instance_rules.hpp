#ifndef LOVAGEGATE_HISTORY_INTERNAL_INSTANCE_RULES_HPP
#define LOVAGEGATE_HISTORY_INTERNAL_INSTANCE_RULES_HPP

#include "lovagegate/history/event.hpp"
#include "lovagegate/history/rule.hpp"

#include <map>
#include <set>
#include <utility>

/// Rules on the lifecycle of instances.
namespace lovagegate::history::internal {

/// During a graceful shutdown the instance cuts off no caller, and no call is
/// open when it exits.
class graceful_stop
{
public:
    static constexpr rule broken = rule::graceful_stop;

    verdict on(const received& e, duration at);
    verdict on(const answered& e, duration at);
    verdict on(const cut_off& e, duration at);
    verdict on(const instance_stage& e, duration at);

private:
    using run = std::pair<instance_id, incarnation>;

    std::map<run, std::set<local_id>> open_calls_;
    std::set<run> stopping_;
};

/// Each ticket is in force at every ready instance within the limit, counted
/// from the time at which the instance was able to receive it. No instance
/// reverts to a lower ticket.
class ticket_propagation
{
public:
    static constexpr rule broken = rule::ticket_in_force;

    explicit ticket_propagation(duration limit) : limit_(limit) {}

    verdict on(const ticket_accepted& e, duration at);
    verdict on(const ticket_in_force& e, duration at);
    verdict on(const instance_stage& e, duration at);

    /// Called before each event. Checks that every instance has the tickets in
    /// force that are required at that time.
    verdict advance_to(duration at);

private:
    struct instance_state
    {
        ticket_number number = 0;
        bool ready = false;
        bool isolated = false;
        bool stopping = false;
        duration reachable_since{};
    };

    /// @return highest ticket that has to be in force at that time
    ticket_number required_ticket(const instance_state& m, duration at) const;

    duration limit_;
    std::map<duration, ticket_number> accepted_; ///< by time; numbers ascend
    std::map<instance_id, instance_state> instances_;
    duration last_check_{};
};

} // namespace lovagegate::history::internal

#endif
