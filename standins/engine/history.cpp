#include "standins/engine/history.hpp"

#include "lovagegate/net/event_loop.hpp"

namespace lovagegate::standins {

void history::add(std::string_view event, std::string_view request,
                  std::string_view adapter)
{
    const std::string name(event);
    counts_[name] = counts_.value(name, std::uint64_t{0}) + 1;
    const auto now = net::event_loop::now().wall.time_since_epoch();
    events_.push_back({{"ms", now.count()},
                       {"event", name},
                       {"request", request},
                       {"adapter", adapter}});
    if (events_.size() > most_events) {
        events_.pop_front();
    }
}

nlohmann::json history::page() const
{
    return {{"counts", counts_}, {"events", events_}};
}

} // namespace lovagegate::standins
