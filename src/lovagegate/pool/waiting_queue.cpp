#include "lovagegate/pool/waiting_queue.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lovagegate::pool {

void waiting_queue::push(waiting_request request)
{
    request.sequence = next_sequence_++;
    ++counts_[static_cast<std::size_t>(request.importance)];
    adapter_of_.emplace(request.key, request.adapter);
    auto& list = waiting_[request.adapter];
    const auto at = std::ranges::upper_bound(list, request.importance, {},
                                             &waiting_request::importance);
    list.insert(at, std::move(request));
}

void waiting_queue::uncount(const waiting_request& request)
{
    --counts_[static_cast<std::size_t>(request.importance)];
    adapter_of_.erase(request.key);
}

bool waiting_queue::update_repeat(const lease_key& key, std::uint32_t repeat)
{
    const auto it = adapter_of_.find(key);
    if (it == adapter_of_.end())
        return false;
    for (waiting_request& w : waiting_.at(it->second))
        if (w.key == key)
            w.repeat = std::max(w.repeat, repeat);
    return true;
}

std::optional<waiting_request> waiting_queue::remove(const lease_key& key)
{
    const auto found = adapter_of_.find(key);
    if (found == adapter_of_.end())
        return std::nullopt;
    const auto list = waiting_.find(found->second);
    const auto it = std::ranges::find(list->second, key, &waiting_request::key);
    waiting_request out = std::move(*it);
    list->second.erase(it);
    if (list->second.empty())
        waiting_.erase(list);
    uncount(out);
    return out;
}

std::span<const waiting_request>
waiting_queue::waiting_for(adapter_key adapter) const
{
    const auto it = waiting_.find(adapter);
    return it == waiting_.end() ? std::span<const waiting_request>{}
                                : it->second;
}

template <typename Predicate>
std::vector<waiting_request> waiting_queue::take_if(Predicate predicate)
{
    std::vector<waiting_request> out;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        auto& list = it->second;
        const auto taken =
            std::stable_partition(list.begin(), list.end(),
                                  [&](const auto& r) { return !predicate(r); });
        std::move(taken, list.end(), std::back_inserter(out));
        list.erase(taken, list.end());
        it = list.empty() ? waiting_.erase(it) : std::next(it);
    }
    for (const waiting_request& r : out)
        uncount(r);
    return out;
}

std::vector<waiting_request> waiting_queue::take_expired(time_point before)
{
    return take_if([&](const auto& r) { return r.deadline < before; });
}

std::vector<waiting_request> waiting_queue::take_adapter(adapter_key adapter)
{
    std::vector<waiting_request> out;
    const auto it = waiting_.find(adapter);
    if (it == waiting_.end())
        return out;
    out = std::move(it->second);
    waiting_.erase(it);
    for (const waiting_request& r : out)
        uncount(r);
    return out;
}

std::vector<waiting_request>
waiting_queue::take_instance(const instance_id& holder)
{
    return take_if([&](const auto& r) { return r.key.holder == holder; });
}

std::vector<waiting_request> waiting_queue::take_all()
{
    return take_if([](const auto&) { return true; });
}

std::optional<waiting_request> waiting_queue::take_newest_batch()
{
    const waiting_request* newest = nullptr;
    for (const auto& [adapter, list] : waiting_) {
        const waiting_request& last = list.back();
        if (last.importance == priority::batch &&
            (newest == nullptr || last.sequence > newest->sequence))
            newest = &last;
    }
    if (newest == nullptr)
        return std::nullopt;
    const lease_key key = newest->key;
    return remove(key);
}

} // namespace lovagegate::pool
