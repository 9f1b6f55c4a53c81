#ifndef LOVAGEGATE_HISTORY_INTERNAL_ANSWER_RULES_HPP
#define LOVAGEGATE_HISTORY_INTERNAL_ANSWER_RULES_HPP

#include "lovagegate/history/event.hpp"
#include "lovagegate/history/rule.hpp"

#include <map>
#include <set>
#include <tuple>

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
    std::set<call_key> open_;
    std::set<request_id> ran_;
};

/// A caller is told "not run" only if no target began the request: for
/// idempotent ones between receipt and answer of the call, for others ever.
/// After it nothing starts unless another call with the id is open.
class truthful_not_run
{
public:
    static constexpr rule broken = rule::truthful_not_run;

    verdict on(const received& e, duration at);
    verdict on(const started& e, duration at);
    verdict on(const answered& e, duration at);

private:
    struct record
    {
        bool idempotent = true;
        std::size_t starts = 0;
        std::map<call_key, std::size_t> open; ///< starts at receipt
        std::size_t may_run = 0; ///< calls ended other than as not run
    };

    std::map<request_id, record> requests_;
};

/// A non-idempotent request is begun by at most one target, once.
class at_most_once
{
public:
    static constexpr rule broken = rule::at_most_once;

    verdict on(const received& e, duration at);
    verdict on(const started& e, duration at);

private:
    std::map<request_id, std::size_t> starts_;
};

} // namespace lovagegate::history::internal

#endif
