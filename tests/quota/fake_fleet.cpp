#include "tests/quota/fake_fleet.hpp"

#include <algorithm>
#include <cstdio>

namespace quota_test {

namespace {

constexpr duration step_time = 5ms;
/// After which members notice that another one is silent.
constexpr duration silence_timeout = 3200ms;
constexpr duration introduction_time = 800ms;

} // namespace

fake_fleet::fake_fleet(std::size_t instances,
                       std::vector<workspace_limit> limits, std::uint64_t seed)
    : limits_(std::move(limits)), random_(seed)
{
    constexpr std::size_t most_seeds = 3;
    seeds_ = std::min(instances - 1, most_seeds);
    for (std::size_t i = 0; i < instances; ++i)
        join();
    for (auto& n : nodes_)
        n.since -= introduction_time; // all know each other
}

std::size_t fake_fleet::join()
{
    const std::size_t i = nodes_.size();
    nodes_.emplace_back();
    nodes_[i].address =
        "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
    nodes_[i].start = 1'000'000;
    nodes_[i].clock_offset = std::chrono::seconds(random_() % 1000);
    nodes_[i].phase = 10 * step_time * (random_() % 1000) / 1000;
    groups_.push_back(groups_.empty() ? 0 : groups_.front());
    groups_before_ = groups_;
    begin(i);
    return i;
}

void fake_fleet::begin(std::size_t i)
{
    node& n = nodes_[i];
    n.counts = std::make_unique<counters>();
    n.since = now_;
    const std::size_t seeds = seeds_;
    n.quota = std::make_unique<fleet_quota>(
        quota::identity{n.address, n.start, seeds}, settings_, random_(),
        [this, i](const std::string& to, const gateway::peer_message& m) {
            send(i, to, m);
        },
        *n.counts);
    n.quota->set_limits(limits_);
}

void fake_fleet::set_limits(std::vector<workspace_limit> limits)
{
    limits_ = std::move(limits);
    for (auto& n : nodes_)
        n.quota->set_limits(limits_);
}

void fake_fleet::restart(std::size_t i)
{
    nodes_[i].start -= 1000;
    nodes_[i].backlog.clear();
    nodes_[i].frozen.reset();
    begin(i);
}

void fake_fleet::kill(std::size_t i)
{
    nodes_[i].dead = now_;
}

void fake_fleet::freeze(std::size_t i, bool frozen)
{
    node& n = nodes_[i];
    if (frozen && !n.frozen)
        n.frozen = now_;
    if (frozen || !n.frozen)
        return;
    n.frozen.reset();
    for (const auto& f : std::exchange(n.backlog, {}))
        f();
}

void fake_fleet::partition(const std::function<int(std::size_t)>& group)
{
    groups_before_ = groups_;
    partitioned_ = now_;
    for (std::size_t i = 0; i < groups_.size(); ++i)
        groups_[i] = group(i);
}

bool fake_fleet::sees(std::size_t i, std::size_t j) const
{
    if (i == j)
        return true;
    const node& other = nodes_[j];
    const bool known =
        now_ - other.since >= introduction_time &&
        (now_ - nodes_[i].since >= introduction_time || j < 3); // the seeds
    const auto silent = [&](const std::optional<time_point>& since) {
        return since && now_ - *since > silence_timeout;
    };
    const bool reachable =
        groups_[i] == groups_[j] || (groups_before_[i] == groups_before_[j] &&
                                     now_ - partitioned_ <= silence_timeout);
    return known && reachable && !silent(other.frozen) && !silent(other.dead);
}

std::vector<std::string> fake_fleet::view_of(std::size_t i) const
{
    std::vector<std::string> out;
    for (std::size_t j = 0; j < nodes_.size(); ++j)
        if (sees(i, j))
            out.push_back(nodes_[j].address);
    return out;
}

void fake_fleet::send(std::size_t from, const std::string& to,
                      const gateway::peer_message& message)
{
    // Encoding is slow without optimization, so that a sample is measured.
    constexpr std::uint64_t sample = 8;
    constexpr double headers = 28;
    if (messages_++ % sample == 0)
        mean_bytes_ = static_cast<double>(encode(message).size()) + headers;
    const auto it = std::ranges::find(nodes_, to, &node::address);
    const auto j = static_cast<std::size_t>(it - nodes_.begin());
    for (const std::size_t k : {from, j}) {
        ++nodes_[k].sent_and_received.datagrams;
        nodes_[k].sent_and_received.bytes += mean_bytes_;
    }
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(random_) < net.lost || (is_broken && is_broken(from, j)))
        return;
    const auto copy = std::make_shared<gateway::peer_message>(message);
    for (int n = chance(random_) < net.doubled ? 2 : 1; n > 0; --n) {
        const duration longest =
            chance(random_) < net.late ? net.max_delay : duration(15ms);
        const duration delay =
            from_seconds(to_seconds(longest) * chance(random_));
        events_.emplace(now_ + delay,
                        [this, from, j, copy] { deliver(from, j, copy); });
    }
}

void fake_fleet::deliver(std::size_t from, std::size_t to,
                         const std::shared_ptr<gateway::peer_message>& message)
{
    node& n = nodes_[to];
    if (n.dead || groups_[from] != groups_[to])
        return;
    if (n.frozen) {
        n.backlog.push_back(
            [this, from, to, message] { deliver(from, to, message); });
        return;
    }
    const std::string& address = nodes_[from].address;
    if (const auto* r = std::get_if<gateway::quota_report>(&*message))
        n.quota->on_message(address, *r, clock_of(n));
    else if (const auto* s = std::get_if<gateway::quota_share>(&*message))
        n.quota->on_message(address, *s);
}

std::optional<duration> fake_fleet::request(std::size_t i,
                                            const std::string& workspace,
                                            std::int64_t tokens)
{
    node& n = nodes_[i];
    const auto refusal =
        n.quota->admit(workspace, static_cast<double>(tokens), clock_of(n));
    auto& all = admitted_[workspace];
    offered_[workspace] += tokens;
    if (!refusal) {
        all.push_back({now_, tokens});
    } else {
        const auto sum =
            admitted_since(workspace, now_ - settings_.window) + tokens;
        if (static_cast<double>(sum) <= allowed(workspace))
            refused_below_[workspace] += tokens;
    }
    return refusal;
}

void fake_fleet::offer(const demand& d)
{
    const auto count = d.instances.empty() ? nodes_.size() : d.instances.size();
    const double mean = static_cast<double>(d.smallest + d.largest) / 2;
    std::poisson_distribution<int> arrivals(d.tokens_per_s *
                                            to_seconds(step_time) / mean);
    std::uniform_int_distribution<std::int64_t> size(d.smallest, d.largest);
    for (int n = arrivals(random_); n > 0; --n) {
        std::size_t i = random_() % count;
        if (!d.instances.empty())
            i = d.instances[i];
        if (!nodes_[i].frozen && !nodes_[i].dead)
            (void)request(i, d.workspace, size(random_));
    }
}

void fake_fleet::step(const std::vector<demand>& demands)
{
    constexpr duration tick = 50ms;
    constexpr duration members = 400ms;
    now_ += step_time;
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        node& n = nodes_[i];
        if (n.frozen || n.dead)
            continue;
        const duration at = now_.time_since_epoch() + n.phase;
        if (at % members < step_time || now_ - n.since < step_time)
            n.quota->set_members(view_of(i), {}, clock_of(n));
        if (at % tick < step_time)
            n.quota->tick(clock_of(n));
    }
    for (const auto& d : demands)
        offer(d);
}

void fake_fleet::run(duration time, const std::vector<demand>& demands)
{
    for (const time_point end = now_ + time; now_ < end;)
        step(demands);
}

double fake_fleet::allowed(const std::string& workspace) const
{
    return std::ranges::find(limits_, workspace, &workspace_limit::name)
        ->allowed(settings_);
}

double fake_fleet::bound(const std::string& workspace) const
{
    return allowed(workspace) * (1 + settings_.overage) + settings_.slack;
}

std::int64_t fake_fleet::admitted_since(const std::string& workspace,
                                        time_point from) const
{
    std::int64_t sum = 0;
    const auto it = admitted_.find(workspace);
    if (it == admitted_.end())
        return 0;
    for (auto a = it->second.rbegin(); a != it->second.rend() && a->at > from;
         ++a)
        sum += a->tokens;
    return sum;
}

std::int64_t fake_fleet::max_window(const std::string& workspace) const
{
    const auto it = admitted_.find(workspace);
    if (it == admitted_.end())
        return 0;
    std::int64_t sum = 0;
    std::int64_t largest = 0;
    auto oldest = it->second.begin();
    for (const auto& a : it->second) {
        sum += a.tokens;
        for (; oldest->at <= a.at - settings_.window; ++oldest)
            sum -= oldest->tokens;
        largest = std::max(largest, sum);
    }
    return largest;
}

std::int64_t fake_fleet::refused_below(const std::string& workspace)
{
    return refused_below_[workspace];
}

void fake_fleet::print(const std::string& test, const std::string& workspace)
{
    std::printf("%-34s %3zu instances: admitted at most %9lld of %9.0f "
                "(bound %9.0f), last window %9lld, refused below %lld\n",
                test.c_str(), nodes_.size(),
                static_cast<long long>(max_window(workspace)),
                allowed(workspace), bound(workspace),
                static_cast<long long>(
                    admitted_since(workspace, now_ - settings_.window)),
                static_cast<long long>(refused_below(workspace)));
}

std::size_t fake_fleet::coordinator_of(const std::string& workspace)
{
    const quota::coordinator_list list(view_of(0));
    const auto it = std::ranges::find(
        nodes_, list.coordinator_of(quota::id_of(workspace)), &node::address);
    return static_cast<std::size_t>(it - nodes_.begin());
}

std::vector<fake_fleet::traffic> fake_fleet::take_traffic()
{
    std::vector<traffic> out;
    for (auto& n : nodes_)
        out.push_back(std::exchange(n.sent_and_received, {}));
    return out;
}

} // namespace quota_test
