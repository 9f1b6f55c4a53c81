#ifndef LOVAGEGATE_HISTORY_INTERNAL_INSTANCE_RULES_HPP
#define LOVAGEGATE_HISTORY_INTERNAL_INSTANCE_RULES_HPP

#include "lovagegate/history/event.hpp"
#include "lovagegate/history/rule.hpp"

#include <map>
#include <set>
#include <utility>

/// Rules over the life of the instances.
namespace lovagegate::history::internal {

/// From the request to stop until the exit no caller is cut off, and at the
/// exit no call is open.
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

/// A ticket is in force at every ready instance within the limit, counted
/// from the moment at which the instance could know of it, and none goes back.
class ticket_propagation
{
public:
    static constexpr rule broken = rule::ticket_in_force;

    explicit ticket_propagation(duration limit) : limit_(limit) {}

    verdict on(const ticket_accepted& e, duration at);
    verdict on(const ticket_in_force& e, duration at);
    verdict on(const instance_stage& e, duration at);

    /// Called before each event: checks what should be in force by then.
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

    /// @return highest ticket that has to be in force by then
    ticket_number required_ticket(const instance_state& m, duration at) const;

    duration limit_;
    std::map<duration, ticket_number> accepted_; ///< rising numbers only
    std::map<instance_id, instance_state> instances_;
    duration last_check_{};
};

} // namespace lovagegate::history::internal

#endif
