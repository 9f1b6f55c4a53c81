#include "soak/soak_target.hpp"

#include "lovagegate/core/hash.hpp"
#include "standins/site/dialect.hpp"

#include <charconv>

namespace lovagegate::soak {

namespace {

using namespace standins;

constexpr int ok = 200;
constexpr int accepted = 202;
/// Of an adapter.
constexpr duration load_time = 80ms;
constexpr int unavailable = 503;
/// One of so many requests is refused, as by a target that is full.
constexpr std::uint64_t refused_one_in = 25;
/// Until all instances know from the store that a target has started again
/// under its old id. They would take a notice before that for the former
/// life's. The store may be silent for most of the time.
constexpr duration time_to_be_listed = 4s;
/// For how long a target wants nothing, and how it says so.
struct retry_time
{
    duration lasts;
    std::string_view seconds;
};
constexpr retry_time whole_retry_time{2s, "2"};
constexpr retry_time fractional_retry_time{1250ms, "1.25"};

int number_or_zero(const std::string& text)
{
    int n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

} // namespace

soak_target::soak_target(net::event_loop& loop, platform_store& store, judge& j,
                         std::string name, bool engine, std::uint64_t seed)
    : loop_(loop), store_(store), judge_(j), name_(std::move(name)),
      engine_(engine), seed_(seed), link_(loop, {"127.0.0.1", 0})
{
    start();
}

std::string soak_target::id_of(int generation) const
{
    return name_ + "-" + std::to_string(generation);
}

std::string soak_target::id() const
{
    return id_of(generation_);
}

void soak_target::start()
{
    server_ = std::make_unique<scripted_server>(
        loop_, [this](const seen_request& r) { return answer(r); });
    link_.lead_to({"127.0.0.1", server_->port()});
    begin_life();
}

void soak_target::begin_life()
{
    ++life_;
    started_ = net::event_loop::now().wall.time_since_epoch().count();
    leaving_ = false;
    turns_away_until_ = {};
    adapters_.clear();
    list(false);
}

void soak_target::list(bool as_leaving)
{
    listed_as_leaving_ = as_leaving;
    store_.put_target(id(), entry_text(link_.port(), started_,
                                       engine_ ? "e" : "s", as_leaving));
}

void soak_target::write_again()
{
    for (int past = 0; past < generation_; ++past)
        store_.remove_target(id_of(past));
    if (server_)
        list(listed_as_leaving_);
}

void soak_target::later_in_life(duration delay, std::function<void()> fn)
{
    loop_.call_later(delay, [this, life = life_, fn = std::move(fn)] {
        if (server_ && life == life_)
            fn();
    });
}

void soak_target::leave(duration lasts, bool listed_late)
{
    if (!server_ || leaving_ || net::event_loop::now().mono < no_notice_until_)
        return;
    leaving_ = true;
    if (listed_late)
        later_in_life(lasts / 2, [this] { list(true); });
    later_in_life(lasts, [this] {
        change_id();
        begin_life();
    });
}

void soak_target::turn_away(duration lasts, bool whole_seconds)
{
    const time_point now = net::event_loop::now().mono;
    if (now < no_notice_until_)
        return;
    turns_away_until_ = now + lasts;
    whole_seconds_ = whole_seconds;
}

void soak_target::crash()
{
    link_.set_refusing(true);
    link_.reset_all();
    server_.reset();
}

void soak_target::restart(bool new_id)
{
    if (server_)
        return;
    if (new_id)
        change_id();
    else
        no_notice_until_ = net::event_loop::now().mono + time_to_be_listed;
    start();
    link_.set_refusing(false);
}

void soak_target::change_id()
{
    store_.remove_target(id());
    ++generation_;
}

bool soak_target::holds(const std::string& adapter) const
{
    const auto it = adapters_.find(adapter);
    return it != adapters_.end() && it->second <= net::event_loop::now().mono;
}

std::optional<script> soak_target::steer(const seen_request& r)
{
    if (is_report(r)) {
        std::string list;
        for (const auto& [adapter, loaded] : adapters_)
            if (holds(adapter))
                list += (list.empty() ? "\"" : ",\"") + adapter + "@1\"";
        return report_answer("[" + list + "]");
    }
    if (is_order(r)) {
        const auto order = order_of(r);
        if (order && order->load && !order->adapter.empty())
            adapters_.try_emplace(order->adapter,
                                  net::event_loop::now().mono + load_time);
        else if (order)
            adapters_.erase(order->adapter);
        return script{{whole_answer(accepted, {}, ""), {}, then::go_on}};
    }
    const auto w = parse_path(r.head.target);
    if (w && !holds(adapter_of(*w)))
        return misdirected(r);
    return std::nullopt;
}

script soak_target::answer(const seen_request& r)
{
    script s = answer_of_its_own(r);
    return leaving_ ? with_header(std::move(s), leaving_header()) : s;
}

script soak_target::refuse(const seen_request& r)
{
    const auto& [lasts, seconds] =
        whole_seconds_ ? whole_retry_time : fractional_retry_time;
    judge_.notices().on_target_answer(attempt_id(r),
                                      {life(), false, leaving_, lasts},
                                      net::event_loop::now().mono);
    return pausing_answer(r, std::string(seconds));
}

script soak_target::answer_of_its_own(const seen_request& r)
{
    const std::string request = attempt_id(r);
    const std::string expected = expected_target(r);
    const time_point now = net::event_loop::now().mono;
    if (!expected.empty() && expected != id())
        return misdirected(r);
    if (!is_order(r) && !is_report(r)) {
        judge_.notices().on_arrival(request, life(), now);
        if (now < turns_away_until_)
            return refuse(r);
    }
    if (engine_)
        if (auto steered = steer(r))
            return *std::move(steered);
    if (stable_hash(request + name_, seed_) % refused_one_in == 0)
        return not_run(r, unavailable);
    const auto w = parse_path(r.head.target);
    judge_.on_run(request, w, r.body, now);
    judge_.notices().on_target_answer(request, {life(), true, leaving_, {}},
                                      now);
    if (!w)
        return not_run(r, unavailable);
    if (is_stream(w->kind))
        return stream(r, *w);
    script s = signed_answer(r, ok, answer_body(*w));
    s.front().delay = std::chrono::milliseconds(w->work_ms);
    return s;
}

script soak_target::stream(const seen_request& r, const work& w)
{
    const duration gap = std::chrono::milliseconds(w.work_ms);
    script s{{stream_head(r), {}, then::go_on}};
    for (int i = number_or_zero(resume_after(r)) + 1; i <= w.size; ++i)
        s.push_back({event_of(w, i), gap, then::go_on});
    s.back().after = then::close;
    return s;
}

} // namespace lovagegate::soak
