#ifndef LOVAGEGATE_HISTORY_INTERNAL_ANSWER_RULES_HPP
#define LOVAGEGATE_HISTORY_INTERNAL_ANSWER_RULES_HPP

#include "lovagegate/history/event.hpp"
#include "lovagegate/history/rule.hpp"

#include <map>
#include <set>
#include <tuple>
#include <vector>

/// Rules on the answers that callers receive.
namespace lovagegate::history::internal {

/// Identifies a call at an instance. A retry with the same request id is
/// another call.
using call_key = std::tuple<instance_id, incarnation, local_id>;

/// Each call is answered at most once. A completed answer is whole, does not
/// name another request, and its request was started on a target.
class whole_own_answer
{
public:
    static constexpr rule broken = rule::whole_own_answer;

    verdict on(const received& e, duration at);
    verdict on(const started& e, duration at);
    verdict on(const answered& e, duration at);
    verdict on(const cut_off& e, duration at);

private:
    std::set<call_key> open_calls_;
    std::set<request_id> started_requests_;
};

/// A call is answered "not run" only if no target starts what that call sent,
/// before the answer or after it. Other calls with the same request id have
/// their own outcomes. A run that cannot be attributed to a call counts for
/// every call with its request id, and violates the rule if all of them were
/// answered "not run".
class truthful_not_run
{
public:
    static constexpr rule broken = rule::truthful_not_run;

    verdict on(const received& e, duration at);
    verdict on(const sent& e, duration at);
    verdict on(const started& e, duration at);
    verdict on(const answered& e, duration at);

private:
    struct call_record
    {
        call_key key;
        target_id sent_to; ///< target of the pending send, if any
        bool has_started = false;
        bool not_run = false; ///< the answer was "not run"
    };

    std::map<request_id, std::vector<call_record>> calls_;
};

/// A non-idempotent request is started at most once, on one target.
class at_most_once
{
public:
    static constexpr rule broken = rule::at_most_once;

    verdict on(const received& e, duration at);
    verdict on(const started& e, duration at);

private:
    std::map<request_id, std::size_t> start_counts_;
};

} // namespace lovagegate::history::internal

#endif
