#include "lovagegate/ticket/ticket_book.hpp"

#include "lovagegate/core/hash.hpp"

namespace lovagegate::ticket {

namespace {

std::uint64_t object_digest(object_kind kind, std::string_view name,
                            ticket_rank rank)
{
    const std::uint64_t object =
        stable_hash(name, static_cast<std::uint64_t>(kind));
    return combine_hash(object, combine_hash(rank.number, rank.content));
}

} // namespace

std::string_view to_string(object_kind k) noexcept
{
    switch (k) {
    case object_kind::service:
        return "services";
    case object_kind::adapter:
        return "adapters";
    case object_kind::target:
        return "targets";
    case object_kind::store:
        return "stores";
    }
    return "invalid";
}

apply_outcome ticket_book::apply(std::string_view raw, time_point /*now*/)
{
    return apply(raw);
}

apply_outcome ticket_book::apply(std::string_view raw)
{
    const std::uint64_t content = stable_hash(raw);
    if (seen_.contains(content)) {
        counters_.add("tickets", "result", "duplicate");
        return {apply_result::duplicate, {0, content}, false, std::nullopt};
    }
    mark_seen(content);
    try {
        return accept(raw, parse(raw), content);
    } catch (const parse_error& e) {
        return refuse(content, e);
    }
}

apply_outcome ticket_book::refuse(std::uint64_t content, const parse_error& e)
{
    counters_.add("tickets", "result", "refused");
    counters_.add("ticket_refusals", "reason", to_string(e.failure()));
    refusals_.push_back({content, e.failure(), e.path(), e.expected()});
    if (refusals_.size() > max_refusals)
        refusals_.pop_front();
    return {apply_result::refused, {0, content}, false, e};
}

apply_outcome ticket_book::accept(std::string_view raw, const change_ticket& t,
                                  std::uint64_t content)
{
    const ticket_rank rank{t.number, content};
    const auto same_number = tickets_.lower_bound({t.number, 0});
    const bool conflict =
        same_number != tickets_.end() && same_number->first.number == t.number;
    if (conflict)
        counters_.add("tickets_conflicting");
    std::size_t changed_objects = 0;
    changed_objects +=
        apply_section(object_kind::service, t.services, state_.services, rank);
    changed_objects +=
        apply_section(object_kind::adapter, t.adapters, state_.adapters, rank);
    changed_objects +=
        apply_section(object_kind::target, t.targets, state_.targets, rank);
    changed_objects +=
        apply_section(object_kind::store, t.stores, state_.stores, rank);
    if (changed_objects == 0) {
        counters_.add("tickets", "result", "superseded");
        return {apply_result::superseded, rank, conflict, std::nullopt};
    }
    tickets_.emplace(rank, stored_ticket{std::string(raw), changed_objects});
    ticket_bytes_ += raw.size();
    ++revision_;
    counters_.add("tickets", "result", "accepted");
    return {apply_result::accepted, rank, conflict, std::nullopt};
}

template <typename Map, typename State>
std::size_t ticket_book::apply_section(object_kind kind, const Map& changes,
                                       State& objects, ticket_rank rank)
{
    std::size_t changed_objects = 0;
    for (const auto& [name, value] : changes) {
        std::string text;
        if constexpr (std::is_same_v<typename Map::key_type, std::string>)
            text = name;
        else
            text = name.str();
        if (!raise_rank(kind, text, rank))
            continue;
        ++changed_objects;
        if (value)
            objects.insert_or_assign(name, *value);
        else
            objects.erase(name);
    }
    return changed_objects;
}

bool ticket_book::raise_rank(object_kind kind, const std::string& name,
                             ticket_rank rank)
{
    const auto [it, created] = ranks_.try_emplace({kind, name}, rank);
    if (!created) {
        if (it->second >= rank)
            return false;
        digest_ -= object_digest(kind, name, it->second);
        release_reference(it->second);
        it->second = rank;
    }
    digest_ += object_digest(kind, name, rank);
    return true;
}

void ticket_book::release_reference(ticket_rank rank)
{
    const auto it = tickets_.find(rank);
    if (it == tickets_.end() || --it->second.objects > 0)
        return;
    ticket_bytes_ -= it->second.text.size();
    tickets_.erase(it);
}

void ticket_book::mark_seen(std::uint64_t content)
{
    // After a clear, repeats are parsed again and rejected by their rank.
    if (seen_.size() >= max_seen)
        seen_.clear();
    seen_.insert(content);
}

protocol::ticket_digest ticket_book::digest() const noexcept
{
    return {tickets_.empty() ? 0 : tickets_.rbegin()->first.number, digest_};
}

ticket_number ticket_book::number_of(object_kind kind,
                                     std::string_view name) const
{
    const auto it = ranks_.find({kind, std::string(name)});
    return it == ranks_.end() ? 0 : it->second.number;
}

std::vector<std::uint64_t> ticket_book::held_hashes(ticket_number from) const
{
    std::vector<std::uint64_t> result;
    for (auto it = tickets_.lower_bound({from, 0}); it != tickets_.end(); ++it)
        result.push_back(it->first.content);
    return result;
}

std::vector<std::string>
ticket_book::missing_tickets(const protocol::ticket_pull& pull,
                             std::size_t max_bytes) const
{
    const std::unordered_set<std::uint64_t> known(pull.held.begin(),
                                                  pull.held.end());
    std::vector<std::string> result;
    std::size_t bytes = 0;
    for (auto it = tickets_.rbegin();
         it != tickets_.rend() && it->first.number >= pull.from; ++it) {
        if (known.contains(it->first.content))
            continue;
        bytes += it->second.text.size();
        if (!result.empty() && bytes > max_bytes)
            break;
        result.push_back(it->second.text);
    }
    return result;
}

ticket_number ticket_book::lowest_recent_number(std::size_t count) const
{
    if (tickets_.size() <= count)
        return 0;
    auto it = tickets_.end();
    std::advance(it, -static_cast<std::ptrdiff_t>(count));
    return it->first.number;
}

template <typename Map, typename State>
void ticket_book::preview_section(object_kind kind, const Map& changes,
                                  const State& objects, ticket_rank rank,
                                  std::vector<object_change>& into) const
{
    for (const auto& [name, value] : changes) {
        object_change c;
        c.kind = kind;
        if constexpr (std::is_same_v<typename Map::key_type, std::string>)
            c.name = name;
        else
            c.name = name.str();
        const auto old = objects.find(name);
        const auto known = ranks_.find({kind, c.name});
        if (known != ranks_.end() && known->second >= rank)
            c.change = change_kind::superseded;
        else if (old == objects.end())
            c.change = value ? change_kind::created : change_kind::unchanged;
        else if (!value)
            c.change = change_kind::deleted;
        else
            c.change = *value == old->second ? change_kind::unchanged
                                             : change_kind::changed;
        into.push_back(std::move(c));
    }
}

std::vector<object_change> ticket_book::preview(std::string_view raw) const
{
    const change_ticket t = parse(raw);
    const ticket_rank rank{t.number, stable_hash(raw)};
    std::vector<object_change> result;
    using enum object_kind;
    preview_section(service, t.services, state_.services, rank, result);
    preview_section(adapter, t.adapters, state_.adapters, rank, result);
    preview_section(target, t.targets, state_.targets, rank, result);
    preview_section(store, t.stores, state_.stores, rank, result);
    return result;
}

} // namespace lovagegate::ticket
