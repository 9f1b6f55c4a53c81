#include "measure/fake_engine.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::measure {

fake_engine::fake_engine(event_queue& clock, fake_store& store,
                         const deployment& d)
    : clock_(clock), store_(store), deployment_(d)
{
}

bool fake_engine::holds(std::uint32_t adapter) const
{
    return adapters_.contains(adapter);
}

std::uint32_t fake_engine::use(std::uint32_t adapter) const
{
    const auto it = adapters_.find(adapter);
    return it == adapters_.end() ? 0 : it->second;
}

std::vector<fake_engine::load_state> fake_engine::resident() const
{
    std::vector<load_state> out;
    for (const auto& [adapter, running] : adapters_)
        out.push_back({adapter, running});
    return out;
}

void fake_engine::submit(std::uint32_t adapter, priority importance,
                         std::uint32_t tokens, listener l)
{
    if (down_) {
        l(run_event::broken);
        return;
    }
    const auto held = adapters_.find(adapter);
    if (held == adapters_.end()) {
        l(run_event::missing);
        return;
    }
    ++held->second;
    const auto at =
        std::ranges::upper_bound(waiting_, importance, {}, &job::importance);
    waiting_.insert(at, {adapter, importance, tokens, false, std::move(l)});
    if (!stepping_)
        begin_step();
}

std::size_t fake_engine::admit()
{
    std::size_t admitted = 0;
    while (!waiting_.empty() && running_.size() < deployment_.speed.max_batch) {
        running_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
        ++admitted;
    }
    return admitted;
}

void fake_engine::begin_step()
{
    const std::size_t admitted = admit();
    if (running_.empty()) {
        stepping_ = false;
        return;
    }
    stepping_ = true;
    ++steps_;
    batch_ += running_.size();
    const engine_speed& speed = deployment_.speed;
    const auto n = static_cast<duration::rep>(running_.size());
    const auto fresh = static_cast<duration::rep>(admitted);
    const std::uint64_t run = start_;
    clock_.after(speed.step + speed.step_per_request * n +
                     speed.prefill * fresh,
                 [this, run] {
                     if (run == start_)
                         end_step();
                 });
}

void fake_engine::end_step()
{
    std::vector<std::pair<listener, run_event>> told;
    for (job& j : running_) {
        if (!j.started)
            told.emplace_back(j.tell, run_event::first_token);
        j.started = true;
        if (--j.tokens > 0)
            continue;
        told.emplace_back(j.tell, run_event::finished);
        const auto held = adapters_.find(j.adapter);
        if (held != adapters_.end() && held->second > 0)
            --held->second;
    }
    std::erase_if(running_, [](const job& j) { return j.tokens == 0; });
    begin_step();
    for (const auto& [tell, event] : told)
        tell(event);
}

void fake_engine::load(std::uint32_t adapter, fake_store::finished f)
{
    if (down_ || taken_slots() >= deployment_.slots) {
        clock_.after(duration::zero(), [f = std::move(f)] { f(false); });
        return;
    }
    ++loading_;
    const std::uint64_t run = start_;
    store_.load([this, adapter, run, f = std::move(f)](bool ok) {
        if (run != start_) {
            f(false);
            return;
        }
        --loading_;
        if (ok)
            adapters_.try_emplace(adapter, 0U);
        f(ok);
    });
}

bool fake_engine::unload(std::uint32_t adapter)
{
    const auto it = adapters_.find(adapter);
    if (it == adapters_.end())
        return false;
    if (it->second > 0)
        ++evicted_in_use_;
    adapters_.erase(it);
    return true;
}

void fake_engine::drop_all()
{
    ++start_;
    adapters_.clear();
    loading_ = 0;
    stepping_ = false;
    std::vector<listener> told;
    for (job& j : running_)
        told.push_back(std::move(j.tell));
    for (job& j : waiting_)
        told.push_back(std::move(j.tell));
    running_.clear();
    waiting_.clear();
    for (const listener& tell : told)
        tell(run_event::broken);
}

void fake_engine::restart()
{
    drop_all();
}

void fake_engine::set_down(bool down)
{
    down_ = down;
    if (down)
        drop_all();
}

} // namespace lovagegate::measure
