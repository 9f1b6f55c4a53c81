#include "lovagegate/history/checker.hpp"

#include "lovagegate/history/internal/answer_rules.hpp"
#include "lovagegate/history/internal/instance_rules.hpp"
#include "lovagegate/history/internal/target_rules.hpp"
#include "lovagegate/history/json_lines.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace lovagegate::history {

namespace {

/// Maximum number of earlier events of a subject in a report.
constexpr std::size_t max_events_shown = 24;

/// Collects the subjects of an event, each once.
class subject_collector
{
public:
    void operator()(const char* /*key*/, const request_id& r)
    {
        add(subject_kind::request, r.str());
    }
    void operator()(const char* /*key*/, const target_id& t)
    {
        add(subject_kind::target, t.str());
    }
    void operator()(const char* /*key*/, const instance_id& i)
    {
        add(subject_kind::instance, i.str());
    }
    template <typename Value>
    void operator()(const char* /*key*/, const Value& /*value*/)
    {
    }

    std::vector<subject> subjects;

private:
    void add(subject_kind kind, const std::string& name)
    {
        const subject s{kind, name};
        if (!name.empty() &&
            std::find(subjects.begin(), subjects.end(), s) == subjects.end()) {
            subjects.push_back(s);
        }
    }
};

} // namespace

namespace internal {

/// Holds the state of all rules.
class rule_set
{
public:
    explicit rule_set(const check_limits& l)
        : rules_(exact_adapter{}, no_eviction_in_use{}, whole_own_answer{},
                 truthful_not_run{}, at_most_once{}, leaving_target{l.leaving},
                 graceful_stop{}, ticket_propagation{l.in_force},
                 store_rate{l.loads_per_second, l.load_window},
                 crash_bound{l.crashes_by_print})
    {
    }

    /// Calls report(rule, subject) for each rule that the event violates.
    template <typename Report>
    void add(const event& e, Report report)
    {
        std::visit(
            [&](const auto& body) {
                std::apply(
                    [&](auto&... each) {
                        (apply(each, body, e.at, report), ...);
                    },
                    rules_);
            },
            e.body);
    }

private:
    template <typename Rule, typename Body, typename Report>
    static void apply(Rule& each, const Body& body, duration at, Report& report)
    {
        if constexpr (requires { each.advance_to(at); }) {
            if (const verdict v = each.advance_to(at)) {
                report(Rule::broken, *v);
            }
        }
        if constexpr (requires { each.on(body, at); }) {
            if (const verdict v = each.on(body, at)) {
                report(Rule::broken, *v);
            }
        }
    }

    std::tuple<exact_adapter, no_eviction_in_use, whole_own_answer,
               truthful_not_run, at_most_once, leaving_target, graceful_stop,
               ticket_propagation, store_rate, crash_bound>
        rules_;
};

} // namespace internal

std::string_view to_string(rule r) noexcept
{
    constexpr std::array<std::string_view, rule_count> names{
        "exact_adapter",    "no_eviction_in_use", "whole_own_answer",
        "truthful_not_run", "at_most_once",       "leaving_target",
        "graceful_stop",    "ticket_in_force",    "store_rate",
        "crash_bound"};
    const auto index = static_cast<std::size_t>(r);
    return index < names.size() ? names[index] : "invalid";
}

std::string describe(const violation& v)
{
    std::string text = "broken: " + std::string(to_string(v.broken)) + " (" +
                       v.about.name + ")\n";
    for (const event& e : v.before) {
        text += "  " + to_line(e) + '\n';
    }
    return text + "> " + to_line(v.at) + '\n';
}

checker::checker(check_limits limits)
    : rules_(std::make_unique<internal::rule_set>(limits))
{
}

checker::~checker() = default;

void checker::add(const event& e)
{
    rules_->add(e, [this, &e](rule broken, const subject& about) {
        report(broken, about, e);
    });
    record(e);
}

void checker::report(rule broken, const subject& about, const event& e)
{
    const bool already_reported = std::any_of(
        violations_.begin(), violations_.end(),
        [broken](const violation& v) { return v.broken == broken; });
    if (already_reported) {
        return;
    }
    const auto found = recent_events_.find(about);
    violation v{broken, about, e, {}};
    if (found != recent_events_.end()) {
        v.before.assign(found->second.begin(), found->second.end());
    }
    violations_.push_back(std::move(v));
}

void checker::record(const event& e)
{
    subject_collector collected;
    std::visit([&collected]<typename Body>(
                   const Body& body) { Body::fields(body, collected); },
               e.body);
    for (const subject& s : collected.subjects) {
        auto& events = recent_events_[s];
        events.push_back(e);
        if (events.size() > max_events_shown) {
            events.pop_front();
        }
    }
}

std::vector<violation> check(const std::vector<event>& events,
                             check_limits limits)
{
    checker c(limits);
    for (const event& e : events) {
        c.add(e);
    }
    return c.violations();
}

} // namespace lovagegate::history
