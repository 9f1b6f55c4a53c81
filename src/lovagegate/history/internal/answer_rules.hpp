#ifndef LOVAGEGATE_HISTORY_INTERNAL_ANSWER_RULES_HPP
#define LOVAGEGATE_HISTORY_INTERNAL_ANSWER_RULES_HPP

#include "lovagegate/history/event.hpp"
#include "lovagegate/history/rule.hpp"

#include <map>
#include <set>
#include <tuple>
#include <vector>

/// Rules over what callers were told.
namespace lovagegate::history::internal {

/// One call at one instance; a re-send under the same request id is another.
using call_key = std::tuple<instance_id, incarnation, local_id>;

/// Each call is answered once; a completed answer is whole, names the caller's
/// own request, and belongs to a run of that request on a target.
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

/// A call is told "not run" only if no target began what that call sent, and
/// nothing that it sent begins later. Other calls with the same request id
/// have outcomes of their own. A run that no known call sent counts against
/// every call with its id.
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
        target_id sent_to; ///< empty: nothing is under way
        bool has_started = false;
        bool not_run = false; ///< it was told so
    };

    std::map<request_id, std::vector<call_record>> calls_;
};

/// A non-idempotent request is begun by at most one target, once.
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
