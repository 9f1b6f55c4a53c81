#include "tests/sim/fake_target.hpp"

#include <utility>

namespace lovagegate::sim {

using node::attempt_end;
using node::order_end;

fake_target::fake_target(target_id id, target_settings settings,
                         event_queue& queue, record_function record)
    : id_(std::move(id)), settings_(settings), queue_(queue),
      record_(std::move(record))
{
}

std::uint64_t fake_target::run(const request_id& request,
                               const adapter_version& adapter,
                               fingerprint print, bool crashes,
                               std::function<void()> progress, end_function end)
{
    if (!up_) {
        end(attempt_end::connect_failed, {});
        return 0;
    }
    if (!adapter.adapter.empty() && !resident_.contains(adapter)) {
        end(attempt_end::adapter_missing, {});
        return 0;
    }
    record_(history::started{id_, start_, request, adapter});
    const std::uint64_t number = ++last_run_;
    runs_[number] = {request, adapter, std::move(end)};
    if (crashes) {
        queue_.after(settings_.first_token, [this, print, start = start_] {
            if (start == start_) {
                crash(print);
            }
        });
        return number;
    }
    queue_.after(settings_.first_token,
                 [this, number, progress = std::move(progress)] {
                     if (runs_.contains(number)) {
                         progress();
                     }
                 });
    queue_.after(settings_.run,
                 [this, number, start = start_] { complete(number, start); });
    return number;
}

void fake_target::complete(std::uint64_t run_number, incarnation start)
{
    auto found = runs_.extract(run_number);
    if (found.empty()) {
        return;
    }
    open_run& r = found.mapped();
    record_(history::finished{id_, start, r.request});
    const bool lost = losing_;
    losing_ = losing_ && !runs_.empty();
    r.end(lost ? attempt_end::broken : attempt_end::completed, r.request);
}

void fake_target::abandon(std::uint64_t run_number)
{
    auto found = runs_.extract(run_number);
    if (!found.empty()) {
        losing_ = losing_ && !runs_.empty();
        record_(history::finished{id_, start_, found.mapped().request});
        found.mapped().end(attempt_end::cancelled, {});
    }
}

void fake_target::crash(fingerprint print)
{
    if (!up_) {
        return;
    }
    up_ = false;
    losing_ = false;
    record_(history::target_crashed{id_, start_, print});
    resident_.clear();
    token_ = 0;
    ++start_;
    for (auto& [number, r] : std::exchange(runs_, {})) {
        r.end(attempt_end::broken, {});
    }
    for (auto& [adapter, ends] : std::exchange(loading_, {})) {
        for (const auto& end : ends) {
            end(order_end::unknown, 0);
        }
    }
    queue_.after(settings_.restart, [this] { up_ = true; });
}

void fake_target::order(const node::order_engine& o, bool fails,
                        order_function end)
{
    if (!up_) {
        end(order_end::failed, 0);
        return;
    }
    if (settings_.checks_fencing && o.token < token_) {
        end(order_end::stale_token, token_);
        return;
    }
    token_ = std::max(token_, o.token);
    if (o.kind == node::order_kind::load) {
        load(o, fails, std::move(end));
    } else {
        unload(o, end);
    }
}

void fake_target::load(const node::order_engine& o, bool fails,
                       order_function end)
{
    if (resident_.contains(o.adapter)) {
        end(order_end::done, 0);
        return;
    }
    const bool coalesced = loading_.contains(o.adapter);
    if (!coalesced && resident_.size() + loading_.size() >= settings_.slots) {
        end(order_end::failed, 0);
        return;
    }
    loading_[o.adapter].push_back(std::move(end));
    if (coalesced) {
        return;
    }
    record_(history::load_started{id_, start_, o.adapter});
    queue_.after(settings_.load,
                 [this, adapter = o.adapter, fails, start = start_] {
                     auto found = loading_.extract(adapter);
                     if (start != start_ || found.empty()) {
                         return;
                     }
                     if (!fails) {
                         resident_.insert(adapter);
                     }
                     for (const auto& done : found.mapped()) {
                         done(fails ? order_end::failed : order_end::done, 0);
                     }
                 });
}

void fake_target::unload(const node::order_engine& o, const order_function& end)
{
    if (resident_.erase(o.adapter) == 0) {
        end(order_end::failed, 0);
        return;
    }
    record_(history::evicted{id_, start_, o.adapter});
    end(order_end::done, 0);
}

node::engine_report fake_target::report() const
{
    node::engine_report r;
    r.target = id_;
    r.start = start_;
    r.highest_token = settings_.checks_fencing ? token_ : 0;
    for (const adapter_version& a : resident_) {
        node::adapter_load load{a, 0, 0};
        for (const auto& [number, run] : runs_) {
            load.running += run.adapter == a ? 1U : 0U;
        }
        r.resident.push_back(load);
    }
    r.running = static_cast<std::uint32_t>(runs_.size());
    return r;
}

} // namespace lovagegate::sim
