#ifndef LOVAGEGATE_QUOTA_WORKSPACE_LIMIT_HPP
#define LOVAGEGATE_QUOTA_WORKSPACE_LIMIT_HPP

#include "lovagegate/core/hash.hpp"
#include "lovagegate/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagegate::quota {

/// Identifies a workspace in messages between instances.
using workspace_id = std::uint64_t;

[[nodiscard]] inline workspace_id id_of(std::string_view workspace) noexcept
{
    return stable_hash(workspace);
}

/// Bounds of the tokens that all instances together admit.
struct quota_settings
{
    duration window = 8s;  ///< in which the tokens are counted
    double overage = 0.25; ///< share of the limit that may be exceeded
    double slack = 17'000; ///< tokens that may be admitted beyond that
};

/// Rate limit of one workspace.
struct workspace_limit
{
    std::string name;
    double rate_per_s = 0; ///< tokens, or requests
    double burst = 0;
    bool counts_tokens = true; ///< otherwise each request counts as 1

    /// @return what is not refused within one window
    [[nodiscard]] double allowed(const quota_settings& s) const noexcept
    {
        return rate_per_s * to_seconds(s.window) + burst;
    }

    /// @return a common size of requests
    [[nodiscard]] double request_size() const noexcept
    {
        return counts_tokens ? 16'000 : 1;
    }

    /// @return what the coordinator admits in one window. Some of the permitted
    ///         excess is used, so that lasting demand fills the window. A limit
    ///         of few requests keeps some distance instead, since the last
    ///         request may exceed it by nearly its whole size.
    [[nodiscard]] double target(const quota_settings& s) const noexcept
    {
        constexpr double used_overage = 0.4;
        constexpr double largest_distance = 0.05;
        const double whole = allowed(s);
        return whole +
               std::max(used_overage * s.overage * whole - request_size() / 2,
                        -largest_distance * whole);
    }

    /// The last request that is admitted may exceed the room. Many small groups
    /// of instances that can't reach each other, and each admit one request,
    /// would together exceed a small limit, and so would two instances that
    /// admit one at the same time. Requests are therefore thinned when less
    /// room than one request is left.
    /// @param room tokens left for the group, positive
    /// @param part share of all instances that are in the group
    /// @return largest fraction of requests that the group may admit
    [[nodiscard]] double largest_fraction(double room,
                                          double part) const noexcept
    {
        constexpr double excess = 0.6; // requests, so that small room is used
        return std::clamp(room / request_size() + excess * part, 0.0, 1.0);
    }

    /// @return what may be admitted beyond allowed() for lack of information
    [[nodiscard]] double margin(const quota_settings& s) const noexcept
    {
        return s.overage * allowed(s) + (counts_tokens ? s.slack : 0);
    }

    /// @return time over which demand is averaged: several requests, so that
    ///         one large request doesn't look like a lasting demand
    [[nodiscard]] duration demand_horizon() const noexcept
    {
        return from_seconds(std::clamp(request_size() / rate_per_s, 1.0, 4.0));
    }

    /// @return part of the target, in seconds of the steady rate, that lasting
    ///         demand leaves free for short peaks
    [[nodiscard]] double reserve_s() const noexcept
    {
        return std::clamp(burst / rate_per_s, 0.5, 1.0);
    }
};

} // namespace lovagegate::quota

#endif
