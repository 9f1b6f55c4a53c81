#include "lovagegate/pool/load_manager.hpp"

#include "lovagegate/pool/fencing.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::pool {

namespace {

/// Interval at which a permit request is repeated while loads are wanted, in
/// case the request or its response was lost.
constexpr duration repeat_interval = 200ms;
/// Typical duration of a load once its permit is granted.
constexpr duration typical_load_time = 300ms;

} // namespace

load_manager::load_manager(pool_state& pool)
    : pool_(pool), planner_(pool),
      rate_(pool.settings.queue.default_loads_per_second)
{
}

void load_manager::set_permit_node(const instance_id& node,
                                   const std::string& store)
{
    if (permit_node_ != node)
        last_request_ = never;
    permit_node_ = node;
    store_ = store;
}

/// Returns the number of slots, over all engines, into which an adapter could
/// be loaded now.
std::size_t load_manager::loadable_slots(time_point now) const
{
    std::size_t sum = 0;
    for (engine_index i = 0; i < pool_.engines.size(); ++i) {
        const engine& e = pool_.engines.at(i);
        if (!e.usable() || e.superseded)
            continue;
        const auto evictable = static_cast<std::size_t>(
            std::ranges::count_if(e.residents.slots(), [&](const slot& s) {
                return pool_.check(i, s, now) == eviction_block::none;
            }));
        const std::size_t orders = e.residents.in_flight();
        const std::size_t more =
            load_planner::max_orders_per_engine -
            std::min(load_planner::max_orders_per_engine, orders);
        sum += std::min(more, e.residents.free() + evictable);
    }
    return sum;
}

std::vector<load_candidate>
load_manager::current_candidates(time_point now) const
{
    std::vector<load_candidate> candidates =
        planner_.load_candidates(backoff_, now);
    if (!candidates.empty())
        return candidates;
    const adapter_key prefetch = unloaded_.most_demanded(pool_);
    if (prefetch == no_adapter || !backoff_.ready(prefetch, now))
        return candidates;
    const auto place = planner_.find_place(prefetch, now);
    const double gain = planner_.expected_uses(prefetch);
    if (place && gain > pool_.settings.load.prefetch_gain *
                            (place->victim_uses + planner_.min_prefetch_uses)) {
        load_candidate w;
        w.adapter = prefetch;
        w.score = gain;
        w.prefetch = true;
        candidates.push_back(w);
    }
    return candidates;
}

protocol::wanted_load load_manager::to_wanted_load(const load_candidate& w,
                                                   time_point now)
{
    const auto [it, added] = want_ids_.try_emplace(w.adapter, next_id_);
    if (added)
        ++next_id_;
    protocol::wanted_load out;
    out.id = it->second;
    out.importance = w.importance;
    out.waiting = w.waiting;
    out.value = w.score;
    if (w.deadline != time_point::max())
        out.deadline = std::max(duration::zero(), w.deadline - now);
    return out;
}

void load_manager::request_permits(time_point now, node::outbox& out)
{
    if (!pool_.role.owner || permit_node_.empty())
        return;
    const duration interval = pool_.settings.load.permit_request_interval;
    if (last_request_ != never && now - last_request_ < interval) {
        request_postponed_ = true;
        return;
    }
    request_postponed_ = false;
    last_candidates_ = current_candidates(now);
    const bool any =
        !last_candidates_.empty() && !last_candidates_.front().prefetch;
    rate_.set_wanted(any, now);
    protocol::permit_request request;
    const std::size_t n =
        std::min({last_candidates_.size(), loadable_slots(now),
                  pool_.settings.load.max_wants_per_request});
    for (std::size_t i = 0; i < n; ++i)
        request.wants.push_back(to_wanted_load(last_candidates_[i], now));
    if (n == 0 && !last_request_had_wants_)
        return;
    last_request_had_wants_ = n > 0;
    request.store = store_;
    request.pool = pool_.id;
    request.in_transit = static_cast<std::uint32_t>(permits_.size());
    last_request_ = now;
    out.push_back(node::send_message{permit_node_, std::move(request)});
}

void load_manager::on_permit_grant(const protocol::permit_grant& grant,
                                   time_point now, node::outbox& out)
{
    rate_.on_permits(grant.wants.size(), now);
    for (const local_id id : grant.wants) {
        std::erase_if(want_ids_,
                      [&](const auto& entry) { return entry.second == id; });
        if (!pool_.role.owner || !start_load(id, now, out)) {
            pool_.counts.add("load_permits_unused");
            return_permit(id, true, out);
        }
    }
}

/// Uses the permit for the best load at this moment: a permit is not bound to
/// the load for which it was requested.
bool load_manager::start_load(local_id permit, time_point now,
                              node::outbox& out)
{
    for (const load_candidate& w : current_candidates(now)) {
        const auto place = planner_.find_place(w.adapter, now);
        if (!place)
            continue;
        engine& e = pool_.engines.at(place->engine);
        const local_id id = next_id_++;
        if (place->victim == no_adapter) {
            e.residents.begin_load(w.adapter, id, now);
            send_order(place->engine, id, node::order_kind::load, w.adapter,
                       now, out);
        } else {
            e.residents.begin_unload(place->victim, w.adapter, id, now);
            send_order(place->engine, id, node::order_kind::unload,
                       place->victim, now, out);
        }
        permits_.emplace(id, permit);
        want_ids_.erase(w.adapter);
        if (w.prefetch)
            pool_.counts.add("prefetches");
        return true;
    }
    return false;
}

void load_manager::send_order(engine_index index, local_id id,
                              node::order_kind kind, adapter_key adapter,
                              time_point now, node::outbox& out)
{
    engine& e = pool_.engines.at(index);
    node::order_engine o;
    o.target = e.id;
    o.address = e.declared.address;
    o.port = e.declared.port;
    o.order = id;
    o.kind = kind;
    o.adapter = pool_.adapters.adapter(adapter);
    o.token = order_token(e);
    o.not_after = now + pool_.settings.load.order_window;
    pool_.counts.add(kind == node::order_kind::load ? "loads" : "unloads");
    out.push_back(std::move(o));
}

void load_manager::return_permit(local_id permit, bool unused,
                                 node::outbox& out)
{
    protocol::permit_return message;
    message.store = store_;
    message.pool = pool_.id;
    message.wants.push_back(permit);
    message.unused = unused;
    out.push_back(node::send_message{permit_node_, std::move(message)});
}

void load_manager::end_permit(local_id order_id, node::outbox& out)
{
    const auto it = permits_.find(order_id);
    if (it == permits_.end())
        return;
    return_permit(it->second, false, out);
    permits_.erase(it);
}

order_result load_manager::on_unload_done(engine_index index, local_id order_id,
                                          time_point now, node::outbox& out)
{
    engine& e = pool_.engines.at(index);
    unloaded_.add(e.residents.find_order(order_id)->adapter);
    const local_id id = next_id_++;
    const adapter_key next = e.residents.follow_unload(order_id, id, now);
    if (next == no_adapter) {
        end_permit(order_id, out);
        return {};
    }
    const auto permit = permits_.find(order_id);
    if (permit != permits_.end()) {
        permits_.emplace(id, permit->second);
        permits_.erase(order_id);
    }
    send_order(index, id, node::order_kind::load, next, now, out);
    return {};
}

order_result load_manager::on_order_failed(engine_index index, const slot& s,
                                           time_point now, node::outbox& out)
{
    const adapter_key adapter =
        s.state == slot_state::loading ? s.adapter : no_adapter;
    const local_id id = s.order;
    pool_.engines.at(index).residents.order_failed(id, now);
    end_permit(id, out);
    if (adapter == no_adapter)
        return {};
    pool_.counts.add("load_failures");
    const std::uint32_t failures = backoff_.on_failure(
        adapter, stable_hash(to_string(pool_.adapters.adapter(adapter))), now,
        pool_.settings.load);
    if (failures < pool_.settings.load.max_failures)
        return {};
    return {index, no_adapter, adapter, backoff_.wait(adapter, now)};
}

order_result load_manager::on_order_ended(const node::order_ended& ended,
                                          time_point now, node::outbox& out)
{
    const engine_index index = pool_.engines.find(ended.target);
    if (index == no_engine)
        return {};
    engine& e = pool_.engines.at(index);
    if (ended.end == node::order_end::stale_token) {
        pool_.counts.add("stale_tokens");
        on_reported_token(e, ended.highest_token, pool_.role,
                          pool_.settings.lease, now);
    }
    const slot* s = e.residents.find_order(ended.order);
    if (s == nullptr)
        return {};
    if (ended.end == node::order_end::unknown) {
        e.residents.order_unknown(ended.order, now);
        end_permit(ended.order, out);
        return {};
    }
    if (ended.end == node::order_end::stale_token) {
        e.residents.order_failed(ended.order, now);
        end_permit(ended.order, out);
        return {};
    }
    if (ended.end == node::order_end::failed)
        return on_order_failed(index, *s, now, out);
    if (s->state == slot_state::unloading)
        return on_unload_done(index, ended.order, now, out);
    const adapter_key loaded = s->adapter;
    e.residents.load_done(ended.order, now);
    backoff_.on_success(loaded);
    end_permit(ended.order, out);
    return {index, loaded, no_adapter, {}};
}

void load_manager::tick(time_point now, node::outbox& out)
{
    for (engine& e : pool_.engines) {
        for (const local_id id :
             e.residents.overdue(now, pool_.settings.load.timeout)) {
            pool_.counts.add("orders_overdue");
            e.residents.order_unknown(id, now);
            end_permit(id, out);
        }
    }
    std::vector<local_id> orphaned;
    for (const auto& entry : permits_) {
        const local_id order_id = entry.first;
        const bool open = std::ranges::any_of(pool_.engines, [&](engine& e) {
            return e.residents.find_order(order_id) != nullptr;
        });
        if (!open)
            orphaned.push_back(order_id);
    }
    std::ranges::sort(orphaned);
    for (const local_id order_id : orphaned)
        end_permit(order_id, out);
    if (last_request_ == never || now - last_request_ >= repeat_interval ||
        request_postponed_ || !last_request_had_wants_)
        request_permits(now, out);
}

void load_manager::on_ownership_lost(node::outbox& out)
{
    want_ids_.clear();
    last_candidates_.clear();
    if (!last_request_had_wants_ || permit_node_.empty())
        return;
    last_request_had_wants_ = false;
    protocol::permit_request request;
    request.store = store_;
    request.pool = pool_.id;
    request.in_transit = static_cast<std::uint32_t>(permits_.size());
    out.push_back(node::send_message{permit_node_, std::move(request)});
}

duration load_manager::expected_wait(const waiting_request& request,
                                     time_point now) const
{
    const double own = planner_.score(request, now);
    const auto ahead =
        std::ranges::count_if(last_candidates_, [&](const load_candidate& w) {
            return w.score > own;
        });
    const double seconds = double(ahead) / rate_.per_second();
    return typical_load_time + std::chrono::duration_cast<duration>(
                                   std::chrono::duration<double>(seconds));
}

} // namespace lovagegate::pool
