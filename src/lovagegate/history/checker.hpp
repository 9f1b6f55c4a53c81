#ifndef LOVAGEGATE_HISTORY_CHECKER_HPP
#define LOVAGEGATE_HISTORY_CHECKER_HPP

#include "lovagegate/history/event.hpp"
#include "lovagegate/history/rule.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagegate::history {

namespace internal {
class rule_set;
}

/// A violation of a rule, with the events that led to it.
struct violation
{
    rule broken = rule::exact_adapter;
    subject about;             ///< the request, target or instance concerned
    event at;                  ///< first event that violates the rule
    std::vector<event> before; ///< earlier events of the same subject
};

/// Formats a violation.
/// @return one line for the rule, then one line for each event
[[nodiscard]] std::string describe(const violation& v);

/// Checks the events of a run, in time order, against the rules. Stores the
/// state of each rule and the most recent events of each subject.
class checker
{
public:
    explicit checker(check_limits limits = {});
    ~checker();

    checker(const checker&) = delete;
    checker& operator=(const checker&) = delete;

    /// Checks one event.
    /// @param e event that is not earlier than the previous one
    void add(const event& e);

    /// @return the first violation of each rule, in the order of the events
    [[nodiscard]] const std::vector<violation>& violations() const noexcept
    {
        return violations_;
    }

private:
    void report(rule broken, const subject& about, const event& e);
    void record(const event& e);

    std::unique_ptr<internal::rule_set> rules_;
    std::map<subject, std::deque<event>> recent_events_;
    std::vector<violation> violations_;
};

/// Checks a complete history.
/// @param events events in time order
[[nodiscard]] std::vector<violation> check(const std::vector<event>& events,
                                           check_limits limits = {});

} // namespace lovagegate::history

#endif
