#include "lovagegate/routing/lease_client.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::routing {

lease_client::lease_client(const routing_settings& settings, environment& env,
                           counters& count)
    : settings_(settings), env_(env), counters_(count)
{
}

refusal lease_client::request_lease(local_id request,
                                    lease_requirements requirements,
                                    time_point now, node::outbox& out)
{
    pool_id pool = env_.choose_pool(requirements.group, requirements.adapter,
                                    width_of(requirements.adapter, now),
                                    requirements.print);
    if (pool.empty())
        return refusal::no_target;
    std::optional<instance_id> owner = env_.owner_of(pool);
    if (!owner)
        return refusal::owner_unreachable;
    const local_id id = ++last_id_;
    lease l{request,
            std::move(requirements),
            std::move(pool),
            std::move(*owner),
            {now},
            now,
            0,
            std::nullopt};
    send_lease_request(id, l, now, out);
    lease_by_request_[request] = id;
    leases_.emplace(id, std::move(l));
    return refusal::none;
}

void lease_client::send_lease_request(local_id id, const lease& l,
                                      time_point now, node::outbox& out) const
{
    protocol::lease_request question;
    question.id = id;
    question.repeat = static_cast<std::uint32_t>(l.request_times.size() - 1);
    question.pool = l.pool;
    question.adapter = l.requirements.adapter;
    question.importance = l.requirements.importance;
    question.deadline = l.requirements.deadline - now;
    question.print = l.requirements.print;
    question.prefix = l.requirements.prefix;
    question.suspicions = env_.crash_count(l.requirements.print);
    question.excluded = l.requirements.excluded;
    out.emplace_back(node::send_message{l.owner, std::move(question)});
}

std::optional<usable_grant>
lease_client::on_grant(const instance_id& from,
                       const protocol::lease_grant& grant, time_point now,
                       std::vector<lost_lease>& lost)
{
    const auto it = leases_.find(grant.id);
    if (it == leases_.end()) {
        // The request was abandoned: release the lease, since the owner would
        // otherwise hold it until it expires.
        counters_.add("lease_grants_unwanted");
        release(from, grant.pool,
                {grant.id, protocol::lease_end::not_sent, {}});
        return std::nullopt;
    }
    lease& l = it->second;
    if (l.target || l.owner != from)
        return std::nullopt;
    width_hints_[l.requirements.adapter] = {grant.width,
                                            now + settings_.width_hint_ttl};
    // The owner's send window starts when it grants, which is later than the
    // time used here. The window computed here therefore closes earlier.
    const std::size_t answered =
        std::min<std::size_t>(grant.repeat, l.request_times.size() - 1);
    const time_point send_by = l.request_times[answered] + grant.send_window -
                               settings_.send_window_margin;
    if (now > send_by) {
        const local_id request = l.request;
        release(from, grant.pool,
                {grant.id, protocol::lease_end::not_sent, {}});
        erase_lease(grant.id);
        lost.push_back({request, retry_reason::lease_expired});
        return std::nullopt;
    }
    l.target = grant.target;
    return usable_grant{l.request, grant.target, grant.target_start, send_by};
}

std::optional<refused_lease>
lease_client::on_refusal(const protocol::lease_refusal& answer)
{
    const auto it = leases_.find(answer.id);
    if (it == leases_.end() || it->second.target)
        return std::nullopt;
    refused_lease refused{it->second.request, answer.reason,
                          answer.retry_after};
    erase_lease(answer.id);
    return refused;
}

void lease_client::on_queued(const protocol::lease_queued& answer,
                             time_point now)
{
    const auto it = leases_.find(answer.id);
    if (it == leases_.end())
        return;
    it->second.unanswered = 0;
    it->second.last_contact = now;
}

void lease_client::end(local_id request, protocol::lease_end how,
                       duration first_token, node::outbox& out)
{
    const auto by = lease_by_request_.find(request);
    if (by == lease_by_request_.end())
        return;
    const local_id id = by->second;
    const lease& l = leases_.at(id);
    if (l.target)
        release(l.owner, l.pool, {id, how, first_token});
    else
        out.emplace_back(
            node::send_message{l.owner, protocol::lease_cancel{id, l.pool}});
    erase_lease(id);
}

std::vector<lost_lease> lease_client::tick(time_point now, node::outbox& out)
{
    std::vector<lost_lease> lost;
    for (auto& [id, l] : leases_) {
        const std::optional<instance_id> owner = env_.owner_of(l.pool);
        if (l.target) {
            // Renew at once, so that a new owner learns of the lease before
            // the regular renewal is due.
            if (owner && *owner != l.owner) {
                l.owner = *owner;
                next_renewal_ = now;
            }
        } else if (!owner || *owner != l.owner) {
            out.emplace_back(node::send_message{
                l.owner, protocol::lease_cancel{id, l.pool}});
            lost.push_back({l.request, retry_reason::owner_changed});
        } else {
            check_unanswered(id, l, now, out, lost);
        }
    }
    for (const lost_lease& l : lost)
        erase_lease(lease_by_request_.at(l.request));
    if (now >= next_renewal_) {
        next_renewal_ = now + settings_.renewal_interval;
        renew(out);
        std::erase_if(width_hints_, [&](const auto& w) {
            return w.second.valid_until < now;
        });
    }
    flush(out);
    return lost;
}

void lease_client::check_unanswered(local_id id, lease& l, time_point now,
                                    node::outbox& out,
                                    std::vector<lost_lease>& lost)
{
    if (now < std::max(l.last_contact, l.request_times.back()) +
                  settings_.lease_retry_interval)
        return;
    if (l.unanswered >= settings_.max_unanswered_repeats) {
        env_.report_unresponsive(l.owner);
        lost.push_back({l.request, retry_reason::owner_timeout});
        return;
    }
    ++l.unanswered;
    l.request_times.push_back(now);
    send_lease_request(id, l, now, out);
}

void lease_client::renew(node::outbox& out)
{
    std::map<std::pair<instance_id, pool_id>, protocol::lease_renewal> batches;
    for (const auto& [id, l] : leases_) {
        if (!l.target)
            continue;
        protocol::lease_renewal& batch = batches[{l.owner, l.pool}];
        batch.pool = l.pool;
        batch.leases.push_back(
            {id, *l.target, l.requirements.adapter, l.requirements.print});
    }
    for (auto& [to, batch] : batches)
        out.emplace_back(node::send_message{to.first, std::move(batch)});
}

void lease_client::flush(node::outbox& out)
{
    for (auto& [to, items] : pending_releases_)
        out.emplace_back(node::send_message{
            to.first, protocol::lease_release{to.second, std::move(items)}});
    pending_releases_.clear();
}

void lease_client::release(const instance_id& to, const pool_id& pool,
                           const protocol::released_lease& item)
{
    pending_releases_[{to, pool}].push_back(item);
}

std::uint32_t lease_client::width_of(const adapter_version& a,
                                     time_point now) const
{
    const auto it = width_hints_.find(a);
    return it == width_hints_.end() || it->second.valid_until < now
               ? 1
               : it->second.width;
}

void lease_client::erase_lease(local_id id)
{
    const auto it = leases_.find(id);
    if (it == leases_.end())
        return;
    lease_by_request_.erase(it->second.request);
    leases_.erase(it);
}

} // namespace lovagegate::routing
