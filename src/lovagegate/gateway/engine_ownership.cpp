#include "lovagegate/gateway/engine_ownership.hpp"

#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// Largest network delay of an order; added to the lease.
constexpr duration max_order_delay = 400ms;
/// Time for which a silent owner may still send orders: it needs this long to
/// detect that it is partitioned.
constexpr duration silent_owner_timeout = 1500ms;
/// The membership views of two candidates may differ for about this long.
constexpr duration candidate_settle_time = 900ms;
/// After a start, the members of a small fleet learn of each other and of each
/// other's claims within four heartbeats.
constexpr duration membership_settle_time = 1600ms;
/// Time after a start in which an instance whose seeds are down finds the
/// others: the platform names seeds that live within 3 s, the settings are read
/// again each 0.5 s, and meeting takes three heartbeats, one of which is lost.
constexpr duration contact_timeout = 5s;
/// Instances that find the others at once need no reports of engines.
constexpr duration watch_delay = 1500ms;
/// Low bits of a token, derived from the address of the instance.
constexpr unsigned instance_bits = 10;
/// Added to a refused token; larger than the clock skew between instances.
constexpr fencing_token refused_token_step = fencing_token{4000}
                                             << instance_bits;
constexpr std::uint64_t owner_hash_seed = 0x6f776e;

std::string_view best_candidate(std::string_view engine,
                                std::span<const std::string> alive)
{
    std::string_view best;
    std::uint64_t best_weight = 0;
    for (const auto& address : alive) {
        const auto weight = combine_hash(stable_hash(engine, owner_hash_seed),
                                         stable_hash(address, owner_hash_seed));
        if (best.empty() || weight > best_weight) {
            best = address;
            best_weight = weight;
        }
    }
    return best;
}

const engine_claim* find_claim(const member_record& m, std::string_view engine)
{
    const auto it = std::ranges::find(m.claims, engine, &engine_claim::engine);
    return it == m.claims.end() ? nullptr : &*it;
}

} // namespace

engine_ownership::engine_ownership(duration lease, start_kind start,
                                   time_point now, bool engines_check_tokens)
    : lease_(lease), start_(now), engines_check_tokens_(engines_check_tokens),
      contact_(start == start_kind::first), earliest_order_(now),
      earliest_order_if_unmet_(now)
{
    if (start == start_kind::first)
        return;
    earliest_order_if_unmet_ = now + lease + max_order_delay;
    earliest_order_ = start == start_kind::fenced ? now + membership_settle_time
                                                  : earliest_order_if_unmet_;
}

const engine_ownership::owned*
engine_ownership::find(std::string_view engine) const
{
    const auto it = owned_.find(engine);
    return it == owned_.end() ? nullptr : &it->second;
}

void engine_ownership::on_ordered(std::string_view engine, time_point now)
{
    if (const auto it = owned_.find(engine); it != owned_.end())
        it->second.last_order = now;
    orders_.on_order_sent(engine, now);
}

void engine_ownership::on_order_failed(std::string_view engine)
{
    orders_.on_order_failed(engine);
}

std::optional<engine_ownership::change>
engine_ownership::on_report(std::string_view engine, std::int64_t run,
                            std::uint64_t sequence, instant now)
{
    const bool foreign = orders_.on_report(engine, run, sequence, now.mono);
    const auto mine = owned_.find(engine);
    if (!foreign || mine == owned_.end())
        return std::nullopt;
    if (contact_.is_established()) {
        // Where engines check tokens, they decide. Else the other instance may
        // have a higher token, and gives up the engine at the next order.
        if (engines_check_tokens_)
            return std::nullopt;
        auto& highest = highest_token_[std::string(engine)];
        highest = std::max(highest, mine->second.token) + refused_token_step;
        mine->second.token = next_token(own_address_, engine, now);
        highest = mine->second.token;
        return std::nullopt;
    }
    const change out{std::string(engine), false,
                     "it accepts orders of another instance",
                     mine->second.token};
    owned_.erase(mine);
    return out;
}

fencing_token engine_ownership::next_token(std::string_view address,
                                           std::string_view engine,
                                           instant now) const
{
    const auto ms =
        static_cast<fencing_token>(now.wall.time_since_epoch().count());
    const fencing_token instance_part =
        stable_hash(address, owner_hash_seed) & ((1U << instance_bits) - 1);
    fencing_token token = (ms << instance_bits) | instance_part;
    const auto known = highest_token_.find(engine);
    if (known != highest_token_.end() && token <= known->second)
        token = (((known->second >> instance_bits) + 1) << instance_bits) |
                instance_part;
    return token;
}

void engine_ownership::on_token_refused(std::string_view engine, instant now)
{
    const auto it = owned_.find(engine);
    if (it == owned_.end())
        return;
    auto& highest = highest_token_[std::string(engine)];
    highest = std::max(highest, it->second.token) + refused_token_step;
    // The instance with the higher token may have sent an order just now.
    last_foreign_order_[std::string(engine)] = now.mono;
    owned_.erase(it);
    candidate_since_.erase(std::string(engine));
}

void engine_ownership::record_claims(const member_table& members,
                                     time_point now)
{
    for (const auto& [address, m] : members.all()) {
        for (const auto& c : m.record.claims) {
            auto& highest = highest_token_[c.engine];
            highest = std::max(highest, c.token);
            auto& at = last_foreign_order_[c.engine];
            if (!m.record.leaving)
                // A member may still send orders for a while after its last
                // heartbeat.
                at = std::max(at, std::min(m.last_heard, now) +
                                      silent_owner_timeout);
            else if (c.token == highest)
                // A leaving member has stopped sending orders.
                at = m.last_heard - c.since_last_order;
        }
    }
}

std::optional<std::string>
engine_ownership::claiming_address(const member_table& members,
                                   std::string_view engine, time_point now)
{
    for (const auto& [address, m] : members.all())
        if (members.is_alive(m, now) && find_claim(m.record, engine))
            return address;
    return std::nullopt;
}

bool engine_ownership::update_engine(const member_table& members,
                                     const std::string& engine,
                                     std::span<const std::string> alive,
                                     instant now, std::vector<change>& out)
{
    const auto& self = members.self().address;
    const auto mine = owned_.find(engine);
    for (const auto& [address, m] : members.all()) {
        const engine_claim* c = members.is_alive(m, now.mono)
                                    ? find_claim(m.record, engine)
                                    : nullptr;
        if (c == nullptr)
            continue;
        candidate_since_.erase(engine);
        if (mine == owned_.end())
            return false;
        if (settle_conflict(engine, mine->second, members, m.record, *c, now))
            continue;
        out.push_back({engine, false, "claimed by " + address, c->token});
        owned_.erase(mine);
        return false;
    }
    if (mine != owned_.end())
        return true;
    if (best_candidate(engine, alive) != self) {
        candidate_since_.erase(engine);
        return false;
    }
    const auto [since, added] = candidate_since_.emplace(engine, now.mono);
    const bool provisional = !contact_.is_established();
    if (provisional)
        watch(engine, now.mono);
    const auto available = available_from(members, engine, now.mono);
    if (!available || now.mono < *available ||
        now.mono - since->second < candidate_settle_time)
        return false;
    const auto token = next_token(self, engine, now);
    owned_.emplace(engine, owned{token, now.mono});
    highest_token_[engine] = token;
    candidate_since_.erase(engine);
    out.push_back({engine, true,
                   provisional ? "the engine accepts no orders of others"
                               : "no live member claims it",
                   token});
    return true;
}

std::optional<time_point>
engine_ownership::available_from(const member_table& members,
                                 std::string_view engine, time_point now) const
{
    time_point from = earliest_order_;
    if (now < earliest_order_if_unmet_ && !members.all_members_known(now))
        from = earliest_order_if_unmet_;
    const auto claimed = last_foreign_order_.find(engine);
    if (claimed != last_foreign_order_.end())
        from = std::max(from, claimed->second + lease_ + max_order_delay);
    if (contact_.is_established())
        return from;
    const auto seen = orders_.last_foreign_order(engine);
    if (!seen)
        return std::nullopt;
    return std::max(
        {from, start_ + contact_timeout, *seen + lease_ + max_order_delay});
}

bool engine_ownership::settle_conflict(const std::string& engine, owned& mine,
                                       const member_table& members,
                                       const member_record& other,
                                       const engine_claim& c, instant now)
{
    const auto& self = members.self().address;
    if (contact_.is_established() && !other.established) {
        // The other one gives the engine up as soon as it hears this one. It
        // may have sent orders, and later ones need a higher token.
        if (mine.token <= c.token) {
            mine.token = next_token(self, engine, now);
            highest_token_[engine] = mine.token;
        }
        return true;
    }
    if (!contact_.is_established() && other.established)
        return false;
    return mine.token > c.token ||
           (mine.token == c.token && self < other.address);
}

std::vector<engine_ownership::change>
engine_ownership::update(member_table& members,
                         std::span<const std::string> engines, instant now)
{
    std::vector<change> out;
    watched_.clear();
    own_address_ = members.self().address;
    record_claims(members, now.mono);
    if (contact_.update(members, now.mono) &&
        now.mono - start_ >= watch_delay) {
        // The others may have owners for all engines, whose claims arrive as
        // after a start. If they don't, the engines are taken again.
        earliest_order_ =
            std::max(earliest_order_, now.mono + membership_settle_time);
        for (const auto& [engine, o] : owned_)
            out.push_back({engine, false, "found by other instances", o.token});
        owned_.clear();
        candidate_since_.clear();
    }
    const auto alive = members.alive(now.mono);
    if (members.self().leaving || !members.has_majority(now.mono)) {
        const auto dropped = drop_all(
            members.self().leaving ? "stopping" : "no majority of live members",
            now.mono);
        out.insert(out.end(), dropped.begin(), dropped.end());
        // So that the engines can be taken once the others count as gone.
        for (const auto& engine : engines)
            if (best_candidate(engine, alive) == members.self().address)
                watch(engine, now.mono);
        return out;
    }
    for (const auto& engine : engines)
        update_engine(members, engine, alive, now, out);
    // Gives up engines that are no longer listed.
    std::erase_if(owned_, [&](const auto& o) {
        const bool gone = std::ranges::find(engines, o.first) == engines.end();
        if (gone)
            out.push_back({o.first, false, "no longer listed", o.second.token});
        return gone;
    });
    return out;
}

void engine_ownership::watch(const std::string& engine, time_point now)
{
    if (now - start_ >= watch_delay)
        watched_.insert(engine);
}

std::vector<engine_ownership::change>
engine_ownership::drop_all(const std::string& reason, time_point now)
{
    std::vector<change> out;
    for (const auto& [engine, o] : owned_)
        out.push_back({engine, false, reason, o.token});
    owned_.clear();
    candidate_since_.clear();
    earliest_order_ = std::max(earliest_order_, now + lease_ + max_order_delay);
    return out;
}

} // namespace lovagegate::gateway
