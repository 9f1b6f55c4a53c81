#include "lovagegate/callers/caller_account.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lovagegate::callers {

namespace {

/// Share of a process's memory that is held for callers, as a divisor: the
/// process itself, answers, copies of a body while it grows or is sent, and
/// what the allocator keeps take the rest.
constexpr std::size_t memory_divisor = 3;
/// Large holdings may take this part of it, as a divisor. A body of 4 MB, its
/// buffer and the copy on its way to a target fit into it at 120 MB.
constexpr std::size_t large_divisor = 2;
/// One address may have all connections but this part, as a divisor: a load
/// balancer may hide many callers behind one address.
constexpr std::size_t other_addresses_divisor = 4;
/// A caller on a sound network has a request on its way by then, and sends or
/// reads more than min_bytes_per_s.
constexpr duration min_age = 2s;
constexpr double min_bytes_per_s = 16.0 * 1024;
constexpr duration rate_window = 1s;
/// Bounds the work for one demand.
constexpr int max_evictions_at_once = 16;
constexpr duration report_interval = 5s;

} // namespace

account_limits limits_for_process(std::size_t process_bytes,
                                  std::size_t max_connections)
{
    account_limits out;
    out.total_bytes = process_bytes / memory_divisor;
    out.large_bytes = out.total_bytes / large_divisor;
    out.connections = max_connections;
    out.connections_of_address =
        max_connections - max_connections / other_addresses_divisor;
    return out;
}

bool account_reporter::is_due(const account_counts& counts, time_point now)
{
    if (counts == reported_ || now - last_ < report_interval)
        return false;
    reported_ = counts;
    last_ = now;
    return true;
}

caller_account::caller_account(const account_limits& limits) : limits_(limits)
{
}

std::size_t caller_account::large_part(std::size_t bytes) const noexcept
{
    return bytes > limits_.small_bytes ? bytes - limits_.small_bytes : 0;
}

bool caller_account::has_room(const member& m, std::size_t bytes) const
{
    const std::size_t large = large_part(bytes);
    return total_ - m.held_ + bytes <= limits_.total_bytes &&
           (large == 0 ||
            large_ - large_part(m.held_) + large <= limits_.large_bytes);
}

bool caller_account::evict(eviction why, time_point now,
                           const std::function<bool(const member&)>& fits)
{
    // An idle connection goes only if no request or answer is stuck.
    const auto rank = [now](const member& m) {
        return std::tuple(m.stage_ == stage::idle, m.rate(now), m.since_);
    };
    member* worst = nullptr;
    for (member* const m : members_) {
        if (m->evicted_ || m->stage_ == stage::answering ||
            now - m->since_ < min_age || m->rate(now) >= min_bytes_per_s ||
            !fits(*m))
            continue;
        if (worst == nullptr || rank(*m) < rank(*worst))
            worst = m;
    }
    if (worst == nullptr)
        return false;
    worst->evicted_ = true;
    ++(why == eviction::memory ? counts_.closed_for_memory
                               : counts_.closed_for_connections);
    worst->on_evict_(why);
    return true;
}

bool caller_account::admit(const std::string& address, time_point now)
{
    const auto it = by_address_.find(address);
    const bool address_full =
        it != by_address_.end() && it->second >= limits_.connections_of_address;
    if (!address_full && members_.size() < limits_.connections)
        return true;
    // The evicted connection ends before the new one is counted.
    const bool admitted =
        evict(eviction::connections, now, [&](const member& m) {
            return !address_full || m.address_ == address;
        });
    counts_.refused_connections += admitted ? 0 : 1;
    return admitted;
}

caller_account::member::member(caller_account& account, std::string address,
                               time_point now,
                               std::function<void(eviction)> on_evict)
    : account_(account), address_(std::move(address)),
      on_evict_(std::move(on_evict)), since_(now), window_since_(now)
{
    account_.members_.insert(this);
    ++account_.by_address_[address_];
}

caller_account::member::~member()
{
    hold_anyway(0);
    account_.members_.erase(this);
    const auto it = account_.by_address_.find(address_);
    if (--it->second == 0)
        account_.by_address_.erase(it);
}

void caller_account::member::set_stage(stage s, time_point now)
{
    stage_ = s;
    since_ = window_since_ = now;
    window_bytes_ = 0;
    last_rate_ = 0;
}

void caller_account::member::on_progress(std::size_t bytes, time_point now)
{
    if (now - window_since_ >= rate_window) {
        last_rate_ = rate(now);
        window_since_ = now;
        window_bytes_ = 0;
    }
    window_bytes_ += bytes;
}

double caller_account::member::rate(time_point now) const
{
    const duration age = now - window_since_;
    return age < rate_window
               ? last_rate_
               : static_cast<double>(window_bytes_) / to_seconds(age);
}

bool caller_account::member::hold(std::size_t bytes, time_point now)
{
    if (bytes > held_) {
        const bool wants_large = account_.large_part(bytes) > 0;
        for (int i = 0; !account_.has_room(*this, bytes); ++i)
            if (i == max_evictions_at_once ||
                !account_.evict(eviction::memory, now, [&](const member& m) {
                    return &m != this &&
                           (!wants_large || account_.large_part(m.held_) > 0);
                })) {
                ++account_.counts_.refused_memory;
                return false;
            }
    }
    hold_anyway(bytes);
    return true;
}

void caller_account::member::hold_anyway(std::size_t bytes)
{
    account_.total_ += bytes - held_;
    account_.large_ += account_.large_part(bytes) - account_.large_part(held_);
    held_ = bytes;
}

} // namespace lovagegate::callers
