#ifndef LOVAGEGATE_TESTS_SIM_FAKE_PLATFORM_HPP
#define LOVAGEGATE_TESTS_SIM_FAKE_PLATFORM_HPP

#include "lovagegate/node/inputs.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagegate::sim {

enum class platform_mode : std::uint8_t
{
    up,
    down,
    stale, ///< tickets are those that it held when it became stale
};

/// The configuration service and the lagging list of instances.
class fake_platform
{
public:
    explicit fake_platform(duration list_lag) : list_lag_(list_lag) {}

    void set_mode(platform_mode m)
    {
        mode_ = m;
        if (m == platform_mode::stale) {
            stale_tickets_ = tickets_;
            stale_index_ = index_;
        }
    }
    [[nodiscard]] platform_mode mode() const noexcept { return mode_; }

    /// A later text under a number that is taken is not published.
    bool publish(ticket_number number, std::string text)
    {
        const bool fresh = tickets_.emplace(number, std::move(text)).second;
        index_ += fresh ? 1 : 0;
        return fresh;
    }

    [[nodiscard]] node::published_tickets tickets() const
    {
        node::published_tickets read;
        read.index = mode_ == platform_mode::stale ? stale_index_ : index_;
        for (const auto& [number, text] : held()) {
            read.tickets.push_back(text);
        }
        return read;
    }

    /// @return the highest number that a reader finds now
    [[nodiscard]] ticket_number highest() const
    {
        return held().empty() ? 0 : held().rbegin()->first;
    }

    /// @return whether a reader finds the ticket now
    [[nodiscard]] bool holds(ticket_number number) const
    {
        return held().contains(number);
    }

    void set_instances(std::vector<node::listed_instance> now_there,
                       duration now)
    {
        node::instance_list next;
        next.index = lists_.empty() ? 1 : lists_.back().second.index + 1;
        next.instances = std::move(now_there);
        lists_.emplace_back(now, std::move(next));
    }

    /// @return the list as it was list_lag ago
    [[nodiscard]] const node::instance_list& instances(duration now)
    {
        while (lists_.size() > 1 && lists_[1].first + list_lag_ <= now) {
            lists_.pop_front();
        }
        return lists_.front().second;
    }

private:
    [[nodiscard]] const std::map<ticket_number, std::string>& held() const
    {
        return mode_ == platform_mode::stale ? stale_tickets_ : tickets_;
    }

    duration list_lag_;
    platform_mode mode_ = platform_mode::up;
    std::uint64_t index_ = 1;
    std::uint64_t stale_index_ = 1;
    std::map<ticket_number, std::string> tickets_;
    std::map<ticket_number, std::string> stale_tickets_;
    std::deque<std::pair<duration, node::instance_list>> lists_;
};

} // namespace lovagegate::sim

#endif
