#ifndef LOVAGEGATE_HISTORY_INTERNAL_TARGET_RULES_HPP
#define LOVAGEGATE_HISTORY_INTERNAL_TARGET_RULES_HPP

#include "lovagegate/history/event.hpp"
#include "lovagegate/history/rule.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

/// Rules on the events of targets. Each rule class has a member `broken`, the
/// rule that it checks, and an overload of `on` for each event type it handles.
namespace lovagegate::history::internal {

/// A request runs on exactly the adapter and version that it requested. A
/// request without a version runs on one version only.
class exact_adapter
{
public:
    static constexpr rule broken = rule::exact_adapter;

    verdict on(const received& e, duration at);
    verdict on(const started& e, duration at);
    verdict on(const answered& e, duration at);

private:
    verdict compare(const request_id& request, const adapter_version& actual);

    std::map<request_id, adapter_version> requested_adapters_;
};

/// No adapter is evicted while a request runs on it.
class no_eviction_in_use
{
public:
    static constexpr rule broken = rule::no_eviction_in_use;

    verdict on(const started& e, duration at);
    verdict on(const finished& e, duration at);
    verdict on(const evicted& e, duration at);
    verdict on(const target_crashed& e, duration at);

private:
    using run = std::pair<target_id, incarnation>;

    std::map<run, std::multimap<adapter_version, request_id>> running_requests_;
};

/// A leaving target receives no new request after the limit, unless the sender
/// was isolated and could not receive the notice.
class leaving_target
{
public:
    static constexpr rule broken = rule::leaving_target;

    explicit leaving_target(duration limit) : limit_(limit) {}

    verdict on(const target_leaving& e, duration at);
    verdict on(const instance_stage& e, duration at);
    verdict on(const sent& e, duration at);

private:
    duration limit_;
    std::map<target_id, duration> leaving_since_;
    std::set<instance_id> isolated_;
    std::map<instance_id, duration> rejoined_at_;
};

/// The loads of all engines together stay within the rate limit of the store.
class store_rate
{
public:
    static constexpr rule broken = rule::store_rate;

    store_rate(double per_second, duration window);

    verdict on(const load_started& e, duration at);

private:
    std::size_t max_loads_;
    duration window_;
    std::deque<duration> load_times_;
};

/// One request crashes at most a bounded number of targets.
class crash_bound
{
public:
    static constexpr rule broken = rule::crash_bound;

    explicit crash_bound(std::size_t limit) : limit_(limit) {}

    verdict on(const target_crashed& e, duration at);

private:
    std::size_t limit_;
    std::map<fingerprint, std::size_t> crash_counts_;
};

} // namespace lovagegate::history::internal

#endif
