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

/// A rule that did not hold, with what led to it.
struct violation
{
    rule broken = rule::exact_adapter;
    subject about;             ///< request, target or instance concerned
    event at;                  ///< first event that breaks the rule
    std::vector<event> before; ///< earlier events of the same subject
};

/// @return one line for the rule, then one line for each event
[[nodiscard]] std::string describe(const violation& v);

/// Checks the events of a run, in the order of their times, against what must
/// always hold. Keeps open requests, and the latest events of each subject.
class checker
{
public:
    explicit checker(check_limits limits = {});
    ~checker();

    checker(const checker&) = delete;
    checker& operator=(const checker&) = delete;

    /// @param e not earlier than the event before
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

/// Checks a whole history.
/// @param events in the order of their times
[[nodiscard]] std::vector<violation> check(const std::vector<event>& events,
                                           check_limits limits = {});

} // namespace lovagegate::history

#endif
