#include "lovagegate/gateway/gateway_daemon.hpp"

#include "lovagegate/core/boottime.hpp"
#include "lovagegate/core/hash.hpp"
#include "lovagegate/logging/log.hpp"
#include "lovagegate/net/errors.hpp"
#include "lovagegate/quota/configured_limits.hpp"
#include "platform/http_fields.hpp"
#include "platform/published.hpp"
#include "platform/words.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <unistd.h>
#include <utility>

namespace lovagegate::gateway {

namespace {

constexpr std::size_t bytes_per_megabyte = std::size_t{1024} * 1024;
/// Interval for processing adapter requests, report polls and orders.
constexpr duration tick_interval = 50ms;
/// Time after the start in which heartbeats have made the other instances
/// known.
constexpr duration member_learning_time = 2s;
/// Interval for checking the time limits of connections.
constexpr duration connection_check_interval = 250ms;
/// Interval at which an instance that hasn't found the others reads its
/// settings again.
constexpr duration seed_update_interval = 500ms;
/// After a pause of the process of this length, the leases on its engines may
/// have expired.
constexpr duration max_process_pause = 1s;
/// Time until the platform stops routing callers to a stopping instance: it
/// does so after two failed readiness checks, one second apart.
constexpr duration max_rotation_removal_time = 2300ms;
/// Requests that are still open are answered this long before the grace time
/// ends, or this fraction of it if that is shorter.
constexpr duration give_up_margin = 800ms;
constexpr int give_up_divisor = 8;
/// The process exits at the latest this long before the grace time ends, or
/// this fraction of it if that is shorter.
constexpr duration exit_margin = 400ms;
constexpr int exit_divisor = 16;
/// The pages for operators, checks and other instances take no bodies.
constexpr std::size_t max_page_request_bytes = 4096;
incarnation make_incarnation()
{
    return static_cast<incarnation>(
        net::event_loop::now().wall.time_since_epoch().count());
}

std::vector<std::string> addresses(const std::vector<settings::endpoint>& list)
{
    std::vector<std::string> out;
    out.reserve(list.size());
    for (const auto& e : list)
        out.push_back(e.address);
    return out;
}

engine_ownership::start_kind kind_of_start(const boot_settings& boot)
{
    if (boot.first_start)
        return engine_ownership::start_kind::first;
    return boot.engines_check_fencing ? engine_ownership::start_kind::fenced
                                      : engine_ownership::start_kind::unfenced;
}

std::uint32_t cpu_permille(const boot_settings& boot)
{
    constexpr double permille = 1000;
    const double cores = boot.cpu_cores > 0 ? boot.cpu_cores : 1;
    return static_cast<std::uint32_t>(std::clamp(cores * permille, 1.0, 1e6));
}

gateway_state make_state(const boot_settings& boot, std::mt19937_64& random)
{
    const time_point now = net::event_loop::now().mono;
    return {boot,
            {},
            target_directory(boot.drain_after_notice),
            member_table(boot.address, make_incarnation(),
                         addresses(boot.seeds), random()),
            engine_ownership(boot.lease, kind_of_start(boot), now,
                             boot.engines_check_fencing),
            placement(boot.failure_domain, random()),
            retry_budget(boot.retry_ratio, boot.retry_slack, boot.retry_window,
                         boot.first_start ? now : now + boot.retry_window),
            {},
            send_allowance(boot.address, now + member_learning_time),
            {},
            false,
            time_point::max()};
}

/// @return what identifies this instance to those that share limits with it
quota::identity identity_of(const gateway_state& state)
{
    const std::string& self = state.boot.address;
    const auto others =
        std::ranges::count_if(state.boot.seeds, [&](const auto& seed) {
            return seed.address != self;
        });
    return {self, state.members.self().start, static_cast<std::size_t>(others)};
}

void respond(net::exchange& exchange, int status, const char* type,
             const std::string& body)
{
    exchange.respond(status, {{"content-type", type}}, body);
}

} // namespace

gateway_daemon::gateway_daemon(const boot_settings& boot,
                               std::function<boot_settings()> reload)
    : read_settings_(std::move(reload)), random_(std::random_device{}()),
      state_(make_state(boot, random_)), pool_(loop_), control_pool_(loop_),
      peers_(loop_, {state_.boot.address, state_.boot.peer_port},
             [this](const settings::endpoint& from, std::string_view data) {
                 on_datagram(from, data);
             }),
      sender_(peers_, state_, random_),
      adapters_(loop_, state_, pool_,
                [this](const std::string& to, const peer_message& m) {
                    sender_.send(to, m);
                }),
      crashes_(state_.counts,
               {[this](const peer_message& m) { sender_.send_to_others(m); },
                [this](const std::string& to, const peer_message& m) {
                    sender_.send(to, m);
                },
                [this](const peer_message& m) { sender_.send_to_some(m); },
                [this] {
                    // Deferred, because a request may be the caller.
                    loop_.call_later(duration::zero(),
                                     [this] { reconsider_requests(); });
                },
                [this] { return trial_rank(); }}),
      missed_(net::event_loop::now().mono, state_.boot.first_start),
      answer_memory_(limits_for_process(
          state_.boot.memory_mb * bytes_per_megabyte, max_event_bytes)),
      quota_(
          identity_of(state_), state_.boot.quota, random_(),
          [this](const std::string& to, const peer_message& m) {
              sender_.send(to, m);
          },
          state_.counts),
      permits_(loop_, state_, random_,
               [this](const std::string& to, const peer_message& m) {
                   sender_.send(to, m);
               }),
      admission_(loop_, state_, adapters_, random_(),
                 [this](const std::string& to, const peer_message& m) {
                     sender_.send(to, m);
                 }),
      connection_limits_(callers::limits_for_descriptors(
          state_.boot.descriptors, callers::system_descriptor_limit())),
      caller_account_(callers::limits_for_process(state_.boot.memory_mb *
                                                      bytes_per_megabyte,
                                                  connection_limits_.callers)),
      forwarding_context_{
          loop_,
          state_,
          pool_,
          adapters_,
          random_,
          crashes_,
          answer_memory_,
          quota_,
          permits_,
          admission_,
          [this] { schedule_crash_notices(); },
          [this](const std::string& target) {
              if (const auto* t = state_.targets.find(target))
                  crashes_.on_connection_refused(
                      engine_run(t->entry.id, t->entry.started_ms),
                      net::event_loop::now().mono);
          },
          [this](const limit_notice& m) { sender_.send_to_others(m); },
          [this](forwarding& f) {
              const auto it = requests_.find(&f);
              if (it == requests_.end())
                  return;
              if (ended_requests_.empty())
                  loop_.call_later(duration::zero(),
                                   [this] { ended_requests_.clear(); });
              ended_requests_.push_back(std::move(it->second));
              requests_.erase(it);
          },
          [this](const route&, duration first, duration whole) {
              const auto now = net::event_loop::now().mono;
              metrics_.observe(metrics::timing::first_token, priority::normal,
                               first, now);
              metrics_.observe(metrics::timing::latency, priority::normal,
                               whole, now);
          }},
      caller_context_{
          loop_,
          caller_account_,
          [this](const caller_ptr& c, caller_message m) {
              start_request(c, std::move(m));
          },
          [this] { return state_.routes.limits(); },
          [this] { return state_.routes.workspaces(); },
          [this] { return state_.stopping; },
          [this](caller_connection& c) {
              const auto it = callers_.find(&c);
              if (it == callers_.end())
                  return;
              if (ended_callers_.empty())
                  loop_.call_later(duration::zero(),
                                   [this] { ended_callers_.clear(); });
              ended_callers_.push_back(std::move(it->second));
              callers_.erase(it);
          },
          [this](const connection_summary& f) { on_caller_closed(f); },
          [this](std::string_view reason) {
              state_.counts.add("bad_requests", "reason", reason);
          }},
      store_(
          loop_, control_pool_, state_, random_,
          [this](const std::string& to, std::string_view datagram) {
              sender_.send_datagram(to, datagram);
          },
          [this](const platform_wire::store_item& item, duration) {
              on_operator_item(item);
          },
          [this](const platform_wire::store_item& item, duration doubt_left) {
              on_target_item(item, doubt_left);
          },
          {.stable_window = state_.boot.stable_window})
{
    adapters_.set_open_requests(
        [this](const std::string& engine) { return admission_.open(engine); });
    callers::return_large_blocks();
    ready_server_ = make_page_server(state_.boot.readiness.address,
                                     state_.boot.readiness.port);
    control_server_ =
        make_page_server(state_.boot.control.address, state_.boot.control.port);
    metrics_server_ =
        make_page_server(state_.boot.address, state_.boot.metrics_port);
    listener_ = std::make_unique<net::tcp_listener>(
        loop_, state_.boot.callers, [this](int fd) { accept_caller(fd); });
    state_.members.self().failure_domain = state_.boot.failure_domain;
    state_.members.self().cpu_permille = cpu_permille(state_.boot);
    last_tick_ = boottime_now();
    run_every(tick_interval, [this] { tick(); });
    run_every(connection_check_interval, [this] { check_connections(); });
    run_every(member_settings{}.interval, [this] { send_heartbeats(); });
    run_every(seed_update_interval, [this] { update_seeds(); });
}

gateway_daemon::~gateway_daemon()
{
    requests_.clear();
    ended_requests_.clear();
}

std::unique_ptr<net::http_server>
gateway_daemon::make_page_server(const std::string& address, std::uint16_t port)
{
    net::http_server_settings s;
    s.address = address;
    s.port = port;
    s.max_connections = connection_limits_.page_server;
    s.max_body_bytes = max_page_request_bytes;
    s.closes_waiting_for_new = true;
    return std::make_unique<net::http_server>(
        loop_, s, [this](const net::exchange_ptr& e) { serve_page(e); });
}

void gateway_daemon::run_every(duration interval, std::function<void()> fn)
{
    loop_.call_later(interval, [this, interval, fn = std::move(fn)]() mutable {
        fn();
        run_every(interval, std::move(fn));
    });
}

void gateway_daemon::run()
{
    logging::write(logging::level::info, "started",
                   {{"instance", state_.boot.instance},
                    {"callers", to_string(state_.boot.callers)},
                    {"store", to_string(state_.boot.store)},
                    {"start", state_.members.self().start}});
    store_.start();
    send_heartbeats();
    while (!may_end()) {
        loop_.run_once();
        if (stop_requested_ && !state_.stopping)
            begin_stop();
        if (reload_requested_.exchange(false))
            do_reload();
    }
    logging::write(logging::level::info, "stopped",
                   {{"instance", state_.boot.instance},
                    {"open", std::uint64_t{requests_.size()}}});
    // If the loop was late, the time to answer open requests has passed unseen.
    give_up_requests();
    close_callers();
}

void gateway_daemon::stop() noexcept
{
    stop_requested_ = true;
    loop_.wake();
}

void gateway_daemon::reload() noexcept
{
    reload_requested_ = true;
    loop_.wake();
}

void gateway_daemon::do_reload()
{
    try {
        const boot_settings fresh = read_settings_();
        state_.boot.seeds = fresh.seeds;
        state_.members.set_seeds(addresses(fresh.seeds));
        logging::write(logging::level::info, "reloaded",
                       {{"seeds", std::uint64_t{fresh.seeds.size()}}});
    } catch (const std::exception& e) {
        logging::write(logging::level::error, "reload_failed",
                       {{"reason", e.what()}});
    }
}

void gateway_daemon::update_seeds()
{
    if (state_.stopping || state_.ownership.is_established())
        return;
    try {
        const auto seeds = read_settings_().seeds;
        if (addresses(seeds) == state_.members.seeds())
            return;
        state_.boot.seeds = seeds;
        state_.members.set_seeds(addresses(seeds));
        logging::write(logging::level::info, "seeds_changed",
                       {{"seeds", std::uint64_t{seeds.size()}}});
    } catch (const std::exception&) {
        // The file may be in the middle of a change.
        state_.counts.add("settings_unreadable");
    }
}

void gateway_daemon::begin_stop()
{
    const instant now = net::event_loop::now();
    logging::write(logging::level::info, "stopping",
                   {{"open", std::uint64_t{requests_.size()}}});
    state_.stopping = true;
    stop_since_ = now.mono;
    state_.gives_up_at = now.mono + give_up_time();
    state_.members.self().claims = adapters_.claims(now.mono);
    state_.members.self().leaving = true;
    adapters_.stop("stopping", now);
    loop_.call_later(give_up_time(), [this] { give_up_requests(); });
    const auto all = state_.members.alive(now.mono);
    heartbeat last{state_.members.self(), {}};
    ++state_.members.self().beat;
    last.self = state_.members.self();
    for (const auto& address : all)
        if (address != state_.boot.address)
            sender_.send(address, last);
}

bool gateway_daemon::is_past_rotation(time_point now) const
{
    return state_.stopping && now - stop_since_ > rotation_removal_time();
}

duration gateway_daemon::rotation_removal_time() const
{
    return std::min(max_rotation_removal_time, give_up_time());
}

duration gateway_daemon::give_up_time() const
{
    const duration grace = state_.boot.stop_grace;
    return grace - std::min(give_up_margin, grace / give_up_divisor);
}

bool gateway_daemon::may_end() const
{
    if (!state_.stopping)
        return false;
    const duration since = net::event_loop::now().mono - stop_since_;
    const duration grace = state_.boot.stop_grace;
    if (since > grace - std::min(exit_margin, grace / exit_divisor))
        return true;
    return since > rotation_removal_time() && requests_.empty() &&
           std::ranges::all_of(callers_, [](const auto& entry) {
               return entry.second->is_idle();
           });
}

std::vector<forwarding*> gateway_daemon::open_requests() const
{
    std::vector<forwarding*> open;
    for (const auto& [p, f] : requests_)
        open.push_back(p);
    return open;
}

void gateway_daemon::give_up_requests()
{
    for (auto* const f : open_requests())
        f->give_up();
}

void gateway_daemon::reconsider_requests()
{
    for (auto* const f : open_requests())
        f->reconsider();
}

void gateway_daemon::accept_caller(int fd)
{
    const std::string address = net::peer_address(fd);
    if (!caller_account_.admit(address, net::event_loop::now().mono)) {
        state_.counts.add("caller_connections_refused", "reason", "too_many");
        ::close(fd);
        return;
    }
    try {
        const auto c =
            std::make_shared<caller_connection>(caller_context_, fd, address);
        callers_.emplace(c.get(), c);
    } catch (const net::net_error&) { // takes no more descriptors
        state_.counts.add("caller_connections_refused", "reason",
                          "no_descriptor");
    }
}

void gateway_daemon::on_caller_closed(const connection_summary& facts)
{
    state_.counts.add("caller_connections_closed", "reason",
                      to_string(facts.reason));
    if (!facts.answering && facts.partial_request_bytes == 0 &&
        facts.unsent_bytes == 0)
        return;
    logging::write(logging::level::info, "caller_closed",
                   {{"request", facts.attempt_id},
                    {"reason", to_string(facts.reason)},
                    {"answering", facts.answering ? "yes" : "no"},
                    {"bytes_read", std::uint64_t{facts.partial_request_bytes}},
                    {"bytes_unsent", std::uint64_t{facts.unsent_bytes}}});
}

void gateway_daemon::close_callers()
{
    std::vector<caller_ptr> all;
    for (const auto& [p, c] : callers_)
        all.push_back(c);
    for (const auto& c : all)
        c->close_at_exit();
}

void gateway_daemon::start_request(const caller_ptr& caller,
                                   caller_message message)
{
    if (is_past_rotation(net::event_loop::now().mono)) {
        // The request was sent before the caller noticed that the connection
        // closes.
        state_.counts.add("refusals", "reason", "stopping");
        constexpr int unavailable = 503;
        caller->answer(unavailable, "the instance stops", duration::zero());
        return;
    }
    auto f = std::make_unique<forwarding>(forwarding_context_, caller,
                                          std::move(message));
    forwarding& request = *f;
    requests_.emplace(&request, std::move(f));
    request.start();
}

void gateway_daemon::on_operator_item(const platform_wire::store_item& item)
{
    using namespace platform_wire;
    const time_point now = net::event_loop::now().mono;
    if (item.deleted)
        return;
    if (item.key == store_key::config) {
        try {
            site_config config = parse_config(item.value);
            const std::uint64_t version = config.version;
            const std::uint64_t routes = config.routes.size();
            if (state_.routes.adopt(std::move(config))) {
                quota_.set_limits(
                    quota::configured_limits(state_.routes.config()));
                logging::write(logging::level::info, "config_in_force",
                               {{"version", version},
                                {"routes", routes},
                                {"revision", to_string(item.revision)}});
            }
        } catch (const published_error& e) {
            state_.counts.add("config_unreadable");
            logging::write(
                logging::level::error, "config_unreadable",
                {{"revision", to_string(item.revision)}, {"reason", e.what()}});
        }
        return;
    }
    if (!item.key.starts_with(store_key::releases))
        return;
    const auto release = parse_release(item.value);
    if (!release) {
        state_.counts.add("releases_unreadable");
        return;
    }
    if (!state_.releases.adopt(*release, now))
        return;
    logging::write(logging::level::info, "adapter_released",
                   {{"model", release->model},
                    {"adapter", release->adapter},
                    {"version", release->version}});
    adapters_.on_release(*release);
}

void gateway_daemon::on_target_item(const platform_wire::store_item& item,
                                    duration doubt_left)
{
    using namespace platform_wire;
    const time_point now = net::event_loop::now().mono;
    const std::string id = item.key.substr(store_key::targets.size());
    const target_state* known = state_.targets.find(id);
    if (item.deleted) {
        if (known == nullptr || !known->listed) {
            state_.targets.remove(id, doubt_left, now, item.revision.era);
            return;
        }
        logging::write(
            logging::level::info, "target_unlisted",
            {{"target", id},
             {"revision", to_string(item.revision)},
             {"doubt_left_ms", static_cast<std::uint64_t>(to_ms(doubt_left))}});
        if (doubt_left == duration::zero())
            record_run_end(*known);
        state_.targets.remove(id, doubt_left, now, item.revision.era);
        return;
    }
    auto entry = parse_target(item.key, item.value);
    if (!entry) {
        state_.counts.add("entries_unreadable");
        return;
    }
    list_target(*entry, item.revision);
}

void gateway_daemon::list_confirmed_targets(time_point now)
{
    // While the store is away, entries of ended targets don't expire, or
    // nothing tells that they have.
    if (store_.targets().is_failing() ||
        store_.targets().doubt_left(now) > duration::zero())
        return;
    for (const auto& entry : state_.targets.take_confirmed_entries(now))
        list_target(entry, store_.targets().newest());
}

void gateway_daemon::list_target(const target_entry& entry,
                                 store_revision revision)
{
    const time_point now = net::event_loop::now().mono;
    const std::string& id = entry.id;
    const target_state* const known = state_.targets.find(id);
    const std::optional<target_state> before =
        known ? std::optional(*known) : std::nullopt;
    if (!state_.targets.put(entry, now, revision.era)) {
        state_.counts.add("entries_outdated");
        logging::write(logging::level::info, "target_entry_outdated",
                       {{"target", id},
                        {"sequence", entry.sequence},
                        {"known", before->entry.sequence},
                        {"revision", to_string(revision)}});
        return;
    }
    if (!before || !before->listed || before->entry.leaving != entry.leaving ||
        before->entry.started_ms != entry.started_ms)
        logging::write(logging::level::info, "target_listed",
                       {{"target", id},
                        {"service", entry.service},
                        {"address", to_string(entry.address)},
                        {"leaving", entry.leaving ? "yes" : "no"},
                        {"revision", to_string(revision)}});
    if (before && before->entry.started_ms != entry.started_ms) {
        record_run_end(*before);
        pool_.close_idle_connections(id);
    }
    const service_spec* service = state_.routes.service(entry.service);
    state_.placements.on_published_entry(
        entry, service && service->engine ? service->engine->adapter_slots : 0,
        now);
}

void gateway_daemon::record_run_end(const target_state& t)
{
    crashes_.on_run_ended(engine_run(t.entry.id, t.entry.started_ms),
                          net::event_loop::now().mono);
}

void gateway_daemon::schedule_crash_notices()
{
    // The other connections to a crashed target break in the same turn of the
    // loop.
    loop_.call_later(duration::zero(), [this] { crashes_.send_notices(); });
}

void gateway_daemon::repeat_crash_reports()
{
    const time_point now = net::event_loop::now().mono;
    for (const auto& address : sender_.random_others(1))
        crashes_.repeat(address, now);
    if (!missed_.must_ask())
        return;
    constexpr std::size_t asked = 3;
    auto others = sender_.random_others(asked);
    if (others.empty())
        others = addresses(state_.boot.seeds);
    for (const auto& address : others)
        if (address != state_.boot.address)
            crashes_.ask(address, now);
}

void gateway_daemon::on_crash_digest(const std::string& from,
                                     const crash_digest& digest, time_point now)
{
    crashes_.on_message(from, digest, now);
    if (digest.use == crash_digest::purpose::answer)
        missed_.on_answer();
}

std::size_t gateway_daemon::trial_rank() const
{
    const auto own = stable_hash(state_.boot.address);
    return static_cast<std::size_t>(std::ranges::count_if(
        state_.members.alive(net::event_loop::now().mono),
        [&](const std::string& a) { return stable_hash(a) > own; }));
}

void gateway_daemon::on_datagram(const settings::endpoint& from,
                                 std::string_view data)
{
    const auto message = decode(data);
    if (!message) {
        state_.counts.add("peer_datagrams_unreadable");
        return;
    }
    const time_point now = net::event_loop::now().mono;
    if (permits_.on_message(from.address, *message))
        return;
    if (const auto* h = std::get_if<heartbeat>(&*message)) {
        const auto heard = state_.members.on_heartbeat(*h, from.address, now);
        if (missed_.on_heard(now))
            crashes_.ask(from.address, now);
        store_.on_contact_told(*h, now);
        if (heard.store_contact_changed)
            store_.update_duty(now);
        if (heard.joined)
            logging::write(
                logging::level::info, "members",
                {{"from", from.address},
                 {"live", std::uint64_t{state_.members.count(now)}}});
        for (const auto& c : heard.claims)
            state_.placements.on_load_report(c, now);
    } else if (const auto* ask = std::get_if<adapter_request>(&*message)) {
        adapters_.on_message(from.address, *ask);
    } else if (const auto* answer = std::get_if<adapter_reply>(&*message)) {
        adapters_.on_message(from.address, *answer);
    } else if (const auto* use = std::get_if<adapter_usage>(&*message)) {
        adapters_.on_message(from.address, *use);
        admission_.on_message(from.address, *use);
    } else if (const auto* run = std::get_if<run_request>(&*message)) {
        admission_.on_message(from.address, *run);
    } else if (const auto* reply = std::get_if<run_reply>(&*message)) {
        admission_.on_message(from.address, *reply);
    } else if (const auto* update = std::get_if<run_update>(&*message)) {
        admission_.on_message(from.address, *update);
    } else if (const auto* crash = std::get_if<crash_notice>(&*message)) {
        crashes_.on_message(*crash, now);
    } else if (const auto* answered =
                   std::get_if<answered_prompt_parts>(&*message)) {
        crashes_.on_message(*answered, now);
    } else if (const auto* blocked =
                   std::get_if<blocked_prompt_parts>(&*message)) {
        crashes_.on_message(from.address, *blocked, now);
    } else if (const auto* digest = std::get_if<crash_digest>(&*message)) {
        on_crash_digest(from.address, *digest, now);
    } else if (const auto* limit = std::get_if<limit_notice>(&*message)) {
        on_limit_notice(*limit, now);
    } else if (const auto* news = std::get_if<store_changes>(&*message)) {
        store_.on_changes(from, *news);
    } else if (const auto* keepalive =
                   std::get_if<reader_keepalive>(&*message)) {
        store_.on_keepalive(*keepalive, now);
    } else if (const auto* report = std::get_if<quota_report>(&*message)) {
        quota_.on_message(from.address, *report, boottime_now());
    } else if (const auto* share = std::get_if<quota_share>(&*message)) {
        quota_.on_message(from.address, *share);
    }
}

void gateway_daemon::on_limit_notice(const limit_notice& notice, time_point now)
{
    const bool is_valid =
        notice.age >= duration::zero() &&
        (!notice.per_second ||
         (std::isfinite(*notice.per_second) && *notice.per_second >= 0));
    if (!is_valid) {
        state_.counts.add("peer_datagrams_invalid");
        return;
    }
    if (!state_.targets.on_limit_told(notice.target, notice.started_ms,
                                      notice.per_second, now - notice.age, now))
        return;
    logging::write(
        logging::level::info, "target_limit_told",
        {{"target", notice.target},
         {"limit", notice.per_second ? std::to_string(*notice.per_second) + "/s"
                                     : std::string("none")}});
}

void gateway_daemon::send_heartbeats()
{
    const instant now = net::event_loop::now();
    member_record& self = state_.members.self();
    if (!state_.stopping) {
        self.claims = adapters_.claims(now.mono);
        for (const auto& c : self.claims)
            state_.placements.on_load_report(c, now.mono);
    } else {
        // The next owners of the engines compute their waiting time from the
        // last order. A stopping instance sends no more orders.
        for (auto& c : self.claims)
            c.since_last_order += member_settings{}.interval;
    }
    self.config_version = state_.routes.version();
    store_.describe(self);
    store_.update_duty(now.mono);
    for (auto& out : state_.members.next(now.mono)) {
        store_.describe(out.message, now.mono);
        const std::string datagram = encode(out.message);
        for (const auto& address : out.to)
            sender_.send_datagram(address, datagram);
    }
    auto alive = state_.members.alive(now.mono);
    // The others no longer choose an instance that leaves as a coordinator.
    if (state_.stopping && alive.size() > 1)
        std::erase(alive, state_.boot.address);
    quota_.set_members(alive, state_.members.leaving(), boottime_now());
    store_.pull_missing(now.mono);
    repeat_crash_reports();
}

void gateway_daemon::tick()
{
    const instant now = net::event_loop::now();
    const time_point with_suspension = boottime_now();
    if (with_suspension - last_tick_ > max_process_pause) {
        logging::write(logging::level::warning, "paused",
                       {{"ms", static_cast<std::uint64_t>(
                                   to_ms(with_suspension - last_tick_))}});
        adapters_.stop("the process was paused", now);
        missed_.on_pause();
    }
    last_tick_ = with_suspension;
    quota_.tick(with_suspension);
    store_.tick(now.mono);
    if (state_.stopping)
        adapters_.tick_requests(now.mono);
    else
        adapters_.tick(now);
    admission_.tick(now.mono);
}

void gateway_daemon::check_connections()
{
    const time_point now = net::event_loop::now().mono;
    if (is_past_rotation(now))
        stop_accepting();
    std::vector<caller_ptr> all;
    for (const auto& [p, c] : callers_)
        all.push_back(c);
    for (const auto& c : all)
        c->check_limits(now);
    if (account_reporter_.is_due(caller_account_.counts(), now))
        log_account();
    if (trimmer_.check(caller_account_.held_bytes(), now))
        state_.counts.add("memory_returned_to_system");
    pool_.close_expired(now);
    control_pool_.close_expired(now);
    list_confirmed_targets(now);
    state_.targets.expire(now);
    crashes_.expire(now);
    state_.allowance.expire(net::event_loop::now());
}

void gateway_daemon::log_account() const
{
    const auto& counts = caller_account_.counts();
    logging::write(
        logging::level::warning, "callers_limited",
        {{"bytes_held", std::uint64_t{caller_account_.held_bytes()}},
         {"connections", std::uint64_t{caller_account_.connections()}},
         {"closed_for_memory", counts.closed_for_memory},
         {"closed_for_connections", counts.closed_for_connections},
         {"refused_memory", counts.refused_memory},
         {"refused_connections", counts.refused_connections}});
}

void gateway_daemon::stop_accepting()
{
    listener_.reset();
    std::vector<caller_ptr> idle;
    for (const auto& [p, c] : callers_)
        if (c->is_idle())
            idle.push_back(c);
    for (const auto& c : idle)
        c->close(close_reason::stopping);
}

bool gateway_daemon::is_ready() const
{
    return !state_.stopping && state_.routes.version() != 0 &&
           store_.targets().is_loaded() &&
           missed_.may_serve(net::event_loop::now().mono);
}

void gateway_daemon::serve_page(const net::exchange_ptr& exchange)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    constexpr int not_found = 404;
    const net::http_request& request = exchange->request();
    if (platform_wire::is_readiness_path(request.path)) {
        const bool ready = is_ready();
        respond(*exchange, ready ? ok : unavailable, "text/plain",
                ready ? "ready\n" : "not ready\n");
    } else if (store_mirror::is_state_path(request.path)) {
        respond(*exchange, ok, "application/octet-stream",
                store_.state_for(request.path));
    } else if (request.path == "/metrics") {
        respond(*exchange, ok, "text/plain; version=0.0.4", metrics_page());
    } else {
        respond(*exchange, not_found, "text/plain", "no such page\n");
    }
}

std::string gateway_daemon::metrics_page() const
{
    const time_point now = net::event_loop::now().mono;
    counters all = state_.counts;
    all.add("connections_to_targets_opened", pool_.counts().opened);
    all.add("connections_to_targets_reused", pool_.counts().reused);
    all.add("connections_to_targets_stale", pool_.counts().stale);
    all.add("log_lines_left_out", logging::lines_dropped());
    all.add("answers_of_other_requests", pool_.counts().unexpected_answers);
    for (const auto* const server :
         {ready_server_.get(), control_server_.get(), metrics_server_.get()}) {
        all.add("page_connections_closed_for_new",
                server->counts().closed_for_new);
        all.add("page_connections_refused",
                server->counts().refused_connections);
    }
    all.add("accept_pauses", listener_ ? listener_->pauses() : 0);
    std::vector gauges{
        metrics::gauge{"caller_bytes_held",
                       static_cast<double>(caller_account_.held_bytes())},
        metrics::gauge{"open_requests", static_cast<double>(requests_.size())},
        metrics::gauge{"answer_bytes_held",
                       static_cast<double>(answer_memory_.shared_bytes())},
        metrics::gauge{"answers_waiting_for_memory",
                       static_cast<double>(answer_memory_.waiting())},
        metrics::gauge{"open_connections",
                       static_cast<double>(callers_.size())},
        metrics::gauge{"connections_to_targets",
                       static_cast<double>(pool_.connections())},
        metrics::gauge{"members",
                       static_cast<double>(state_.members.count(now))},
        metrics::gauge{"engines_ordered",
                       static_cast<double>(state_.ownership.all().size())},
        metrics::gauge{
            "targets_leaving_by_notice",
            static_cast<double>(std::ranges::count_if(
                state_.targets.all(),
                [](const auto& t) { return t.second.leaves_by_notice; }))},
        metrics::gauge{
            "targets_pausing", static_cast<double>(
                                   std::ranges::count_if(
                                       state_.targets.all(),
                                       [&](const auto& t) {
                                           return t.second.paused_until &&
                                                  now < *t.second.paused_until;
                                       }))},
        metrics::gauge{"targets_limiting_requests",
                       static_cast<double>(state_.targets.limited(now))},
        metrics::gauge{"adapter_loads_in_transit",
                       static_cast<double>(adapters_.loads_in_transit())},
        metrics::gauge{"permits_held", static_cast<double>(permits_.held())},
        metrics::gauge{"permits_coordinated", permits_.coordinated().permits},
        metrics::gauge{"permits_in_use", permits_.coordinated().in_use},
        metrics::gauge{"permit_requests_waiting",
                       permits_.coordinated().waiting},
        metrics::gauge{"engines_in_slow_start",
                       static_cast<double>(admission_.engines_in_slow_start())},
        metrics::gauge{"blocked_prompt_parts",
                       static_cast<double>(crashes_.blocked_parts(now))},
        metrics::gauge{"config_version",
                       static_cast<double>(state_.routes.version())},
        metrics::gauge{"store_out_of_contact_seconds",
                       to_seconds(store_.targets().time_without_contact(now))},
        metrics::gauge{"ready", is_ready() ? 1.0 : 0.0}};
    gauges.push_back({"quota_workspaces_coordinated",
                      static_cast<double>(quota_.coordinated())});
    for (const auto& f : quota_.fractions())
        gauges.push_back({"quota_fraction{" + f.label + "}", f.fraction});
    return metrics_.page(all, gauges);
}

} // namespace lovagegate::gateway
