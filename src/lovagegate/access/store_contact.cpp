#include "lovagegate/access/store_contact.hpp"

namespace lovagegate::access {

namespace {

/// Longer without contact, a key may have been added that isn't known here.
constexpr duration max_contact_age = 3s;
/// Each hop adds the delay of a datagram to the time of contact, so that an age
/// that passed in circles would not grow as fast as time passes. Heartbeats of
/// large fleets reach a thousand instances in four hops.
constexpr std::uint32_t max_hops = 8;
/// A contact that seems newer by less may be the known one, with the delay of
/// the datagrams that passed it on.
constexpr duration min_progress = 100ms;

} // namespace

void store_contact::on_store_answer(time_point at)
{
    if (last_ && *last_ >= at)
        return;
    last_ = at;
    hops_ = 0;
}

void store_contact::on_peer(const contact_age& told, time_point now)
{
    if (told.age < duration::zero() || told.age > max_contact_age ||
        told.hops >= max_hops)
        return;
    const time_point at = now - told.age;
    if (last_ && at - *last_ < min_progress)
        return;
    last_ = at;
    hops_ = told.hops + 1;
}

std::optional<contact_age> store_contact::age(time_point now) const
{
    if (!last_ || hops_ >= max_hops || now - *last_ > max_contact_age)
        return std::nullopt;
    return contact_age{now - *last_, hops_};
}

bool store_contact::is_current(time_point now) const
{
    return last_ && now - *last_ <= max_contact_age;
}

} // namespace lovagegate::access
