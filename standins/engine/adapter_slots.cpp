#include "standins/engine/adapter_slots.hpp"

#include <algorithm>

namespace lovagegate::standins {

bool adapter_slots::accepts(fencing_token token)
{
    if (check_fencing_ && token < highest_token_) {
        return false;
    }
    highest_token_ = std::max(highest_token_, token);
    return true;
}

order_answer adapter_slots::begin_load(const std::string& name,
                                       fencing_token token)
{
    if (!accepts(token)) {
        return order_answer::stale_token;
    }
    if (adapters_.count(name) > 0) {
        return order_answer::already_loaded;
    }
    if (adapters_.size() >= slots_) {
        return order_answer::no_free_slot;
    }
    adapters_[name] = false;
    return order_answer::done;
}

bool adapter_slots::loaded(const std::string& name)
{
    const auto found = adapters_.find(name);
    if (found == adapters_.end()) {
        return false;
    }
    found->second = true;
    return true;
}

void adapter_slots::load_failed(const std::string& name)
{
    const auto found = adapters_.find(name);
    if (found != adapters_.end() && !found->second) {
        adapters_.erase(found);
    }
}

order_answer adapter_slots::unload(const std::string& name, fencing_token token)
{
    if (!accepts(token)) {
        return order_answer::stale_token;
    }
    const auto found = adapters_.find(name);
    if (found == adapters_.end() || !found->second) {
        return order_answer::not_loaded;
    }
    if (users_.count(name) > 0) {
        ++evicted_in_use_;
    }
    adapters_.erase(found);
    return order_answer::done;
}

void adapter_slots::clear()
{
    adapters_.clear();
    users_.clear();
    highest_token_ = 0;
}

bool adapter_slots::holds(const std::string& name) const
{
    const auto found = adapters_.find(name);
    return found != adapters_.end() && found->second;
}

void adapter_slots::release(const std::string& name)
{
    const auto found = users_.find(name);
    if (found != users_.end() && --found->second == 0) {
        users_.erase(found);
    }
}

std::vector<std::string> adapter_slots::resident() const
{
    std::vector<std::string> names;
    for (const auto& [name, is_loaded] : adapters_) {
        if (is_loaded) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace lovagegate::standins
