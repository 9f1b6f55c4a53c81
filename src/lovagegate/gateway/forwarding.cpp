#include "lovagegate/gateway/forwarding.hpp"

#include "lovagegate/core/boottime.hpp"
#include "lovagegate/core/hash.hpp"
#include "lovagegate/gateway/adapter_planner.hpp"
#include "lovagegate/logging/log.hpp"
#include "platform/http_fields.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::gateway {

namespace {

constexpr int ok_status = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;
constexpr int not_found = 404;
constexpr int misdirected = 421;
constexpr int bad_request = 400;
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

/// Answers up to this size are buffered until they are complete, so that an
/// interrupted one can be replaced by the answer of a retry.
constexpr std::size_t max_buffered_answer_bytes = std::size_t{256} * 1024;
/// Reading from the target of a stream stops when this many bytes wait for a
/// slow caller.
constexpr std::size_t max_unsent_stream_bytes = std::size_t{256} * 1024;
/// The same limit for an answer that is not a stream. It is larger so that the
/// target is free again sooner.
constexpr std::size_t max_unsent_answer_bytes = std::size_t{1024} * 1024;
/// The final answer is sent this long before the deadline, so that it arrives
/// in time.
constexpr duration deadline_margin = 15ms;
/// With less time left than this, another attempt can't succeed.
constexpr duration min_attempt_time = 30ms;
/// A request waits for an adapter slot for this multiple of its route's latency
/// objective, but not less than the minimum below. When adapter slots are
/// scarce, those that wait longer would only be served late, in the place of
/// others that are still in time.
constexpr double adapter_wait_objective_factor = 1.5;
constexpr duration min_adapter_wait = 600ms;
/// Maximum number of sends of one request that targets reject without running
/// it.
constexpr std::uint32_t max_sends = 4;
/// The engine of a stream without an event for this long is probed; if it
/// doesn't respond, another engine resumes the stream where the route allows
/// that. Must be well below two seconds, after which callers disconnect.
constexpr duration stalled_stream_timeout = 900ms;
/// The same timeout for the first event, applied only where the engine isn't
/// overloaded.
constexpr duration first_event_timeout = 1300ms;
/// Delay before a silent engine is probed again after a probe that did not show
/// whether it lives.
constexpr duration probe_retry_delay = 300ms;
/// An engine that responds to probes is abandoned before the first event only
/// after this multiple of the time that streams of the service take on average:
/// engines that read many long prompts are slow, and a prompt that is given up
/// is read again by another engine.
constexpr int slow_first_event_factor = 4;
/// An idempotent request without an answer is sent to another target after this
/// multiple of the route's latency objective, but not before the minimum below.
constexpr double slow_answer_objective_factor = 2.0;
constexpr duration min_slow_answer_timeout = 150ms;
/// Engines above this load are expected to be slow, so slowness doesn't
/// indicate a fault.
constexpr double busy_load_threshold = 0.9;
/// Maximum number of sends that are rejected because the adapter isn't loaded
/// yet. After these, the load is assumed to have failed, or the engine to be
/// full.
constexpr std::uint32_t max_early_sends = 3;
/// Delay before all targets, excluded ones too, may be chosen again for a
/// request that must not fail yet; doubles with each delay of the request.
constexpr duration target_retry_delay = 120ms;
constexpr duration max_target_retry_delay = 1s;
/// A request is expected to take up to this multiple of the average run, since
/// many runs are longer than the average; one that ends with the instance can't
/// be repeated by its caller.
constexpr double long_run_factor = 1.5;
/// Retry-After for refused callers: by then a slot is likely to be free.
constexpr duration refusal_retry_after = 700ms;
constexpr duration startup_retry_after = 300ms;
/// A pause that a target asks for is extended by a random time up to this share
/// of it and this limit: the target may have told all instances the same, and
/// they must not return in one burst.
constexpr double max_pause_extension_share = 0.1;
constexpr duration max_pause_extension = 300ms;
/// Callers that were refused because all targets pause are told to come back
/// within this time after the end of the first pause, at random.
constexpr duration pause_return_spread = 500ms;
/// After a start, requests wait at most this long for the first configuration:
/// an eighth of the shortest deadline that callers of the operators'
/// deployments set.
constexpr duration max_config_wait = 75ms;
constexpr duration config_poll_interval = 15ms;
constexpr double whole_percent = 100;
/// Reason for refusing a request that every target told to come later.
constexpr std::string_view all_targets_pause = "all targets pause";
/// Reason for refusing a request for which no target's limit has room.
constexpr std::string_view targets_limit_requests =
    "the targets limit their requests";
/// Reason for refusing a request because of its workspace's limit.
constexpr std::string_view workspace_limit_reason =
    "the workspace is over its limit";
constexpr std::string_view engines_are_full = "engines are full";
/// Longest Retry-After because of targets' limits: they may end at any time.
constexpr duration max_limit_retry_after = 5s;
/// Events of one send after which the engine is assumed not to crash on the
/// prompt; an engine that crashes on it may still have sent one.
constexpr std::uint64_t events_of_live_engine = 2;
/// Lowest urgency that engines accept.
constexpr std::uint32_t lowest_priority = 9;

/// @param limit requests per second
/// @return Retry-After of a request that the limit has no room for
duration time_between_sends(double limit)
{
    const double longest = to_seconds(max_limit_retry_after);
    if (limit * longest <= 1)
        return max_limit_retry_after;
    return std::max(refusal_retry_after, from_seconds(1 / limit));
}

bool is_success(int status)
{
    return status >= ok_status && status < first_redirect;
}

} // namespace

forwarding::forwarding(forwarding_context& context, caller_ptr caller,
                       caller_message message)
    : context_(context), caller_(std::move(caller)),
      message_(std::move(message)),
      facts_(platform_wire::read_request(message_.head)),
      retry_delay_(target_retry_delay),
      backpressure_(context.memory, *caller_,
                    [this] {
                        silent_since_ = net::event_loop::now().mono;
                        // Silence is not checked while reading is paused.
                        arm_timer();
                    }),
      permit_(context.permits),
      admission_(context.admission, excluded_,
                 [this](pace::admission_step step, const placement_choice& c) {
                     on_admission(step, c);
                 })
{
}

forwarding::~forwarding()
{
    *alive_ = false;
    if (timer_ != 0)
        context_.loop.cancel(timer_);
    if (adapter_request_id_ != 0)
        context_.adapters.cancel(adapter_request_id_);
    release_target();
}

bool forwarding::is_stream() const noexcept
{
    return route_->repeats == repeat_rule::stream;
}

bool forwarding::may_repeat() const noexcept
{
    return route_->repeats == repeat_rule::idempotent ||
           (is_stream() && route_->resumable);
}

duration forwarding::elapsed() const
{
    return net::event_loop::now().mono - message_.arrived;
}

void forwarding::log(std::string_view event, std::string_view reason) const
{
    logging::write(logging::level::info, event,
                   {{"request", facts_.attempt_id},
                    {"route", route_ ? std::string_view(route_->name) : "-"},
                    {"target", target_},
                    {"adapter", adapter_},
                    {"sends", std::uint64_t{sends_}},
                    {"ms", static_cast<std::uint64_t>(to_ms(elapsed()))},
                    {"config", context_.state.routes.version()},
                    {"workspace", identity_.name()},
                    {"tokens", static_cast<std::uint64_t>(identity_.tokens)},
                    {"reason", reason}});
}

void forwarding::log_answer() const
{
    logging::write(
        logging::level::info, "answered",
        {{"request", facts_.attempt_id},
         {"route", route_->name},
         {"target", target_},
         {"status", static_cast<std::uint64_t>(answer_.status)},
         {"sends", std::uint64_t{sends_}},
         {"sent_ms", static_cast<std::uint64_t>(to_ms(time_to_first_send_))},
         {"first_ms", static_cast<std::uint64_t>(to_ms(time_to_first_byte_))},
         {"gap_ms", static_cast<std::uint64_t>(to_ms(longest_event_gap_))},
         {"ms", static_cast<std::uint64_t>(to_ms(elapsed()))},
         {"load_percent",
          static_cast<std::uint64_t>(target_load_when_chosen_ * whole_percent)},
         {"config", context_.state.routes.version()}});
}

void forwarding::start()
{
    watch_caller();
    wait_for_configuration();
}

void forwarding::wait_for_configuration()
{
    if (context_.state.routes.version() == 0 && elapsed() < max_config_wait) {
        // The store responds within milliseconds; refusing the request would
        // cost the caller more time than waiting.
        const auto alive = alive_;
        context_.loop.call_later(config_poll_interval, [this, alive] {
            if (*alive && !done_)
                wait_for_configuration();
        });
        return;
    }
    if (admit())
        try_next_target();
}

void forwarding::give_up()
{
    if (done_)
        return;
    ending_ = true;
    refuse("the instance ends");
}

void forwarding::reconsider()
{
    if (done_ || !route_ || answer_begun_)
        return;
    const time_point now = net::event_loop::now().mono;
    const crash_verdict verdict = context_.crashes.verdict(traits_, now);
    if (verdict == crash_verdict::harmless ||
        verdict == crash_verdict::may_try_prompt_part ||
        (is_trial_ && verdict != crash_verdict::crashing_request))
        return;
    release_target();
    reject_if_crashing(now);
}

void forwarding::watch_caller()
{
    caller_->set_disconnect_handler([this] {
        context_.state.counts.add("callers_left");
        log("caller_left", head_sent_ ? "within answer" : "before answer");
        finish("caller_left");
    });
}

bool forwarding::admit()
{
    gateway_state& s = context_.state;
    if (s.routes.version() == 0) {
        refuse("no configuration yet");
        return false;
    }
    route_ = s.routes.find(facts_.host, message_.head.target);
    if (!route_) {
        fail(not_found, "no route");
        return false;
    }
    if (!authenticate())
        return false;
    if (facts_.attempt_id.empty()) {
        fail(bad_request, "no attempt id");
        return false;
    }
    duration limit = route_->timeout;
    if (facts_.time_left)
        limit = std::min(limit, *facts_.time_left);
    deadline_ = message_.arrived + limit - deadline_margin;
    traits_.request = crash_suspects::fingerprint_of(
        message_.head.method, message_.head.target, message_.body);
    traits_.request_and_prompt =
        combine_hash(traits_.request, stable_hash(facts_.own_prompt_part));
    for (const auto& part : facts_.shared_prompt_parts)
        traits_.prompt_parts.push_back(
            crashing_prompt_parts::fingerprint_of(part));
    if (reject_if_crashing(message_.arrived))
        return false;
    if (!facts_.adapter.empty())
        adapter_ = adapter_name(facts_.model, facts_.adapter);
    service_ = choose_service();
    if (!take_tokens())
        return false;
    s.retries.on_request(service_, message_.arrived);
    s.counts.add("requests");
    arm_timer();
    return true;
}

bool forwarding::authenticate()
{
    gateway_state& s = context_.state;
    if (!message_.workspaces)
        message_.workspaces = s.routes.workspaces();
    auto found =
        access::authenticate(*message_.workspaces, facts_, *route_,
                             s.contact.is_current(net::event_loop::now().mono));
    identity_ = std::move(found.identity);
    if (!found.failure)
        return true;
    s.counts.add("key_refusals", "reason", to_string(*found.failure));
    const std::string_view reason = explanation(*found.failure);
    const int status = answer_status(*found.failure);
    if (status == unavailable) {
        refuse(reason);
        return false;
    }
    log("refused", reason);
    caller_->answer(status, reason);
    finish("refused");
    return false;
}

bool forwarding::take_tokens()
{
    const auto refused_for = context_.quota.admit(
        identity_.name(), identity_.tokens, boottime_now());
    holds_tokens_ = !refused_for;
    if (holds_tokens_)
        return true;
    context_.state.counts.add("refusals", "reason", workspace_limit_reason);
    log("refused", workspace_limit_reason);
    caller_->answer(too_many_requests, workspace_limit_reason, refused_for);
    finish("refused");
    return false;
}

bool forwarding::reject_if_crashing(time_point now)
{
    const crash_verdict verdict = context_.crashes.verdict(traits_, now);
    if (verdict == crash_verdict::harmless ||
        verdict == crash_verdict::may_try_prompt_part)
        return false;
    const bool by_part = verdict == crash_verdict::crashing_prompt_part;
    const std::string_view reason = by_part
                                        ? "a part of the prompt crashes engines"
                                        : "the request crashes engines";
    if (by_part)
        log_blocked_part(now);
    if (head_sent_) {
        abort_answer(reason);
        return true;
    }
    context_.state.counts.add("refusals", "reason",
                              by_part ? "prompt_part_crashes_engines"
                                      : "crashes_engines");
    log("refused", reason);
    caller_->answer(bad_gateway, reason);
    finish("blocked");
    return true;
}

void forwarding::log_blocked_part(time_point now) const
{
    const auto part = context_.crashes.blocked_among(traits_.prompt_parts, now);
    const auto at = std::ranges::find(traits_.prompt_parts, part.value_or(0));
    if (at == traits_.prompt_parts.end())
        return;
    const auto index = at - traits_.prompt_parts.begin();
    logging::write(logging::level::info, "prompt_part_found",
                   {{"request", facts_.attempt_id},
                    {"part", *part},
                    {"id", facts_.shared_prompt_parts.at(
                               static_cast<std::size_t>(index))}});
}

const std::string& forwarding::choose_service() const
{
    double total = 0;
    for (const auto& part : route_->services)
        total += part.weight;
    double at =
        std::uniform_real_distribution<double>(0, total)(context_.random);
    for (const auto& part : route_->services) {
        if (at < part.weight)
            return part.service;
        at -= part.weight;
    }
    return route_->services.back().service;
}

placement_request forwarding::make_placement_request(time_point now) const
{
    placement_request wanted;
    wanted.service = service_;
    wanted.prompt_prefix = facts_.prompt_prefix;
    wanted.prompt_tokens = facts_.prompt_tokens;
    wanted.output_tokens = facts_.output_tokens;
    const service_spec* const spec = context_.state.routes.service(service_);
    if (context_.state.boot.engines_bound_memory && spec && spec->engine)
        wanted.engine_tokens = spec->engine->kv_cache_tokens;
    wanted.excluded = excluded_;
    if (facts_.model.empty())
        return wanted;
    std::uint64_t version = facts_.version;
    if (version == 0 && !adapter_.empty())
        version = context_.state.releases.newest(adapter_, true, now);
    wanted.adapter = adapter_ref{facts_.model, facts_.adapter, version};
    return wanted;
}

void forwarding::try_next_target()
{
    gateway_state& s = context_.state;
    const time_point now = net::event_loop::now().mono;
    if (deadline_ - now < min_attempt_time) {
        refuse("no time left");
        return;
    }
    if (wait_for_permit(now))
        return;
    admission_.reset();
    placement_request wanted = make_placement_request(now);
    wanted.chosen_again = admission_.was_refused();
    auto allowed = candidates(now);
    permit_.restrict_to_granted(allowed, excluded_);
    const auto choice =
        s.placements.choose(wanted, allowed, s.members.count(now), now);
    const bool waits_too_long =
        choice && choice->expected_wait > deadline_ - now;
    if (wanted.chosen_again && (!choice || waits_too_long)) {
        admission_.settle();
        return;
    }
    if (!choice && allowed.empty()) {
        refuse(no_target_reason(now));
        return;
    }
    if (!choice) {
        refuse("no further target");
        return;
    }
    if (waits_too_long) {
        refuse(engines_are_full);
        return;
    }
    if (context_.admission.applies_to(service_, now))
        ask_owner(*choice);
    else
        go_to(*choice);
}

void forwarding::ask_owner(const placement_choice& choice)
{
    admission_.seek(choice,
                    {0, choice.target, identity_.rank, facts_.prompt_tokens,
                     facts_.prompt_tokens + facts_.output_tokens,
                     is_stream() ? route_->latency_objective : duration::zero(),
                     head_sent_, false});
}

void forwarding::on_admission(pace::admission_step step,
                              const placement_choice& choice)
{
    if (done_)
        return;
    if (step == pace::admission_step::go)
        go_to(choice);
    else if (step == pace::admission_step::choose_again)
        try_next_target();
    else
        refuse(engines_are_full);
}

void forwarding::go_to(const placement_choice& choice)
{
    target_load_when_chosen_ = choice.load;
    target_ = choice.target;
    adapter_expected_ = false;
    if (choice.resident) {
        send(choice.target);
        return;
    }
    logging::write(logging::level::info, "adapter_wanted",
                   {{"request", facts_.attempt_id},
                    {"target", choice.target},
                    {"adapter", adapter_},
                    {"rank", std::uint64_t{choice.rank}},
                    {"passed_over", choice.first_rank_rejection}});
    wait_for_adapter(choice.target, false);
}

bool forwarding::wait_for_permit(time_point now)
{
    // A request that may have run already can't be refused any more.
    if (runs_ > 0 || head_sent_)
        return false;
    const std::uint64_t workspace =
        identity_.workspace ? stable_hash(identity_.name()) : 0;
    return permit_.ask(
        {service_, *route_, identity_.rank, workspace, message_.arrived,
         facts_.time_left, deadline_},
        [this] { on_permit_decided(); }, now);
}

void forwarding::on_permit_decided()
{
    if (done_)
        return;
    if (permit_.refused_for())
        refuse("no permit in time");
    else
        try_next_target();
}

void forwarding::wait_for_adapter(const std::string& target, bool was_missing)
{
    const std::uint64_t version = context_.state.releases.newest(
        adapter_, false, net::event_loop::now().mono);
    const adapter_ref wanted{facts_.model, facts_.adapter,
                             facts_.version != 0 ? facts_.version : version};
    const auto alive = alive_;
    const auto number = context_.adapters.request_adapter(
        target, wanted, was_missing, adapter_wait_end(),
        [this, target, alive](adapter_status status, std::uint64_t held) {
            if (!*alive || done_)
                return;
            adapter_request_id_ = 0;
            const time_point now = net::event_loop::now().mono;
            if (status == adapter_status::resident ||
                status == adapter_status::expected) {
                adapter_expected_ = status == adapter_status::expected;
                context_.state.placements.on_resident(target, adapter_, held,
                                                      now);
                send(target);
                return;
            }
            context_.state.counts.add("adapter_asks_refused");
            if (adapter_wait_end() - now < min_attempt_time) {
                refuse("no adapter slot in time");
                return;
            }
            context_.state.placements.on_load_refused(target, now);
            excluded_.push_back(target);
            try_next_target();
        });
    if (*alive && !done_)
        adapter_request_id_ = number;
}

time_point forwarding::adapter_wait_end() const
{
    // A request that was sent before may have run, so it is not refused.
    if (sends_ > 0 || head_sent_)
        return deadline_;
    const auto longest = std::chrono::duration_cast<duration>(
        route_->latency_objective * adapter_wait_objective_factor);
    return std::min(deadline_,
                    message_.arrived + std::max(min_adapter_wait, longest));
}

void forwarding::send(const std::string& target)
{
    gateway_state& s = context_.state;
    const instant now = net::event_loop::now();
    const target_state* t = s.targets.find(target);
    // Another request may have used up what the target's limit allows.
    if (t == nullptr || t->use(now.mono) == target_use::none ||
        !is_allowed(*t)) {
        excluded_.push_back(target);
        try_next_target();
        return;
    }
    if (deadline_ - now.mono < min_attempt_time) {
        refuse("no time left");
        return;
    }
    if (runs_ == 0 && is_too_late_to_run(now.mono)) {
        ending_ = true;
        refuse("the instance ends");
        return;
    }
    // Other requests may have shown it since this one was admitted.
    if (reject_if_crashing(now.mono))
        return;
    if (sends_ > 0 && !std::exchange(retry_reserved_, false) &&
        !consume_retry(now.mono)) {
        s.counts.add("refusals", "reason", "retry_budget");
        retry_or_fail(unavailable, "retry budget used up");
        return;
    }
    is_trial_ = context_.crashes.verdict(traits_, now.mono) ==
                crash_verdict::may_try_prompt_part;
    target_ = target;
    target_started_ms_ = t->entry.started_ms;
    if (s.targets.take_ended_pause(target, now.mono))
        log("target_pause_ended", "request sent");
    target_fields fields;
    fields.target = target;
    fields.time_left = deadline_ - now.mono;
    if (message_.workspaces->needs_keys())
        fields.workspace = identity_.name();
    if (!facts_.model.empty())
        fields.priority = std::min(identity_.rank, lowest_priority);
    if (facts_.version == 0 && !adapter_.empty())
        fields.required_version = s.releases.required(
            adapter_, s.placements.held_version(target, adapter_), now.mono);
    if (head_sent_ || !splitter_.last_id().empty())
        fields.resume_after = splitter_.last_id();
    const bool has_body = !message_.body.empty() ||
                          message_.head.has("Content-Length") ||
                          message_.head.has("Transfer-Encoding");
    target_request request;
    request.target = target;
    request.address = t->entry.address;
    request.head = platform_wire::write_target_head(
        message_.head, fields,
        has_body ? std::optional(message_.body.size()) : std::nullopt);
    request.body = message_.body;
    request.attempt_id = facts_.attempt_id;
    request.is_head_method = message_.head.method == "HEAD";
    request.needs_fresh_connection = !may_repeat();
    answer_ = {};
    answer_facts_ = {};
    rejected_ = discarding_ = forwarding_events_ = answer_begun_ = false;
    events_before_send_ = splitter_.event_count();
    buffer_.clear();
    call_ = context_.pool.send(request, connection_limit(), *this);
    if (!call_) {
        s.counts.add("sends_failed", "reason", "no_connection");
        excluded_.push_back(target);
        try_next_target();
        return;
    }
    if (t->limit.per_second)
        s.allowance.take(target);
    if (is_trial_)
        context_.crashes.begin_trial(traits_, facts_.attempt_id, now.mono);
    backpressure_.begin(target, *call_);
    at_target_ = true;
    ++sends_;
    ++runs_;
    new_run_target_ =
        std::ranges::find(run_targets_, target) == run_targets_.end();
    if (new_run_target_)
        run_targets_.push_back(target);
    // A later configuration may no longer name the service.
    if (const service_spec* spec = s.routes.service(service_))
        is_at_engine_ = spec->engine.has_value();
    s.placements.on_sent(target, now.mono,
                         std::uint64_t{facts_.prompt_tokens} +
                             facts_.output_tokens);
    permit_.on_sent(now.mono);
    admission_.on_sent();
    if (!adapter_.empty())
        context_.adapters.begin_use(target, adapter_);
    if (sends_ == 1)
        time_to_first_send_ = elapsed();
    sent_at_ = now.mono;
    silent_since_ = now.mono;
    log("sent", head_sent_ ? "resume" : (sends_ > 1 ? "again" : "first"));
    arm_timer();
}

bool forwarding::is_too_late_to_run(time_point now) const
{
    const gateway_state& s = context_.state;
    const auto usual = s.placements.mean_run_time(service_);
    return s.stopping && usual &&
           s.gives_up_at - now <
               std::chrono::duration_cast<duration>(*usual * long_run_factor);
}

bool forwarding::consume_retry(time_point now)
{
    gateway_state& s = context_.state;
    return s.retries.try_consume(service_, s.members.count(now), now,
                                 head_sent_ ? retry_of::begun_stream
                                            : retry_of::whole_request);
}

std::size_t forwarding::connection_limit() const
{
    constexpr std::size_t default_connections = 64;
    const service_spec* spec = context_.state.routes.service(service_);
    return spec && spec->max_connections > 0 ? spec->max_connections
                                             : default_connections;
}

void forwarding::release_target()
{
    if (!at_target_)
        return;
    at_target_ = false;
    is_trial_ = false;
    backpressure_.end();
    call_.reset();
    admission_.reset();
    probe_.reset();
    discarded_.reset();
    const time_point now = net::event_loop::now().mono;
    context_.state.placements.on_left(target_, now);
    permit_.on_left(run_outcome(), now);
    if (!adapter_.empty())
        context_.adapters.end_use(target_, adapter_);
}

permit_outcome forwarding::run_outcome() const
{
    if (rejected_)
        return permit_outcome::rejected;
    if (done_)
        return permit_outcome::unused; // the caller left
    return answer_.status != 0 && answer_.status < first_server_error &&
                   !discarding_
               ? permit_outcome::answered
               : permit_outcome::failed;
}

bool forwarding::may_run_again() const
{
    // An answer that has begun can be continued by another target only after a
    // complete event.
    if (head_sent_ && splitter_.event_count() == 0)
        return false;
    if (!may_repeat())
        return false;
    // Another run at the same targets is better than a truncated stream. A
    // request without an answer fails instead, so that its caller can retry.
    return head_sent_ || runs_ < std::max(1U, route_->max_attempts);
}

bool forwarding::is_at_target_limit() const
{
    return run_targets_.size() >= std::max(1U, route_->max_attempts);
}

std::vector<const target_state*> forwarding::candidates(time_point now) const
{
    auto all = context_.state.targets.usable(service_, now);
    if (is_at_target_limit())
        std::erase_if(all, [this](const target_state* t) {
            return std::ranges::find(run_targets_, t->entry.id) ==
                   run_targets_.end();
        });
    std::erase_if(all,
                  [this](const target_state* t) { return !is_allowed(*t); });
    return all;
}

bool forwarding::is_allowed(const target_state& t) const
{
    if (!t.limit.per_second)
        return true;
    gateway_state& s = context_.state;
    const instant now = net::event_loop::now();
    return s.allowance.may_send(
        t.entry.id, *t.limit.per_second,
        [&] { return s.members.alive(now.mono); }, now);
}

std::string_view forwarding::no_target_reason(time_point now) const
{
    const target_directory& targets = context_.state.targets;
    if (targets.next_pause_end(service_, now))
        return all_targets_pause;
    return targets.usable(service_, now).empty() ? "no target"
                                                 : targets_limit_requests;
}

void forwarding::on_not_run()
{
    if (runs_ > 0)
        --runs_;
    if (new_run_target_)
        std::erase(run_targets_, target_);
}

void forwarding::apply_notices(const net::message_head& head)
{
    gateway_state& s = context_.state;
    const bool is_own_answer =
        platform_wire::answer_attempt_id(head) == facts_.attempt_id &&
        (answer_facts_.signed_by_target || answer_facts_.not_run);
    if (!is_own_answer)
        return;
    if (answer_facts_.has_malformed_notice) {
        s.counts.add("target_notices", "reason", "malformed");
        log("target_notice_malformed", "ignored");
    }
    const time_point now = net::event_loop::now().mono;
    if (answer_facts_.target_leaves)
        on_leaving_notice(now);
    if (answer_facts_.accepts_again_after)
        on_pause(*answer_facts_.accepts_again_after, now);
    if (answer_facts_.has_malformed_limit) {
        s.counts.add("target_notices", "reason", "malformed");
        log("target_notice_malformed", "limit ignored");
    } else if (answer_facts_.request_limit || !answer_facts_.not_run) {
        on_limit(answer_facts_.request_limit, now);
    }
}

void forwarding::on_limit(std::optional<double> per_second, time_point now)
{
    gateway_state& s = context_.state;
    const bool changed =
        s.targets.on_limit(target_, target_started_ms_, per_second, now);
    if (changed) {
        s.counts.add("target_notices", "reason",
                     per_second ? "limits" : "limit_ended");
        log("target_limit", per_second ? std::to_string(*per_second) + "/s"
                                       : std::string("none"));
    }
    if (s.targets.take_limit_news(target_, changed, now))
        context_.send_limit_notice(
            {target_, target_started_ms_, per_second, duration::zero()});
}

void forwarding::on_leaving_notice(time_point now)
{
    gateway_state& s = context_.state;
    if (!s.targets.on_leaving_notice(target_, target_started_ms_, now))
        return;
    s.counts.add("target_notices", "reason", "leaves");
    log("target_leaving_notice", std::to_string(answer_.status));
    context_.adapters.on_target_taken_out(target_);
}

void forwarding::on_pause(duration pause, time_point now)
{
    gateway_state& s = context_.state;
    const auto longest =
        std::min(max_pause_extension, std::chrono::duration_cast<duration>(
                                          pause * max_pause_extension_share));
    const bool is_new = s.targets.on_pause(
        target_, target_started_ms_, now + pause + random_up_to(longest), now);
    s.counts.add("target_notices", "reason", "pauses");
    if (!is_new)
        return;
    log("target_pauses",
        std::to_string(static_cast<std::uint64_t>(to_ms(pause))) + " ms");
    context_.adapters.on_target_taken_out(target_);
}

void forwarding::on_answer_head(net::message_head& head)
{
    classify_answer(head);
    apply_notices(head);
    if (is_discarded())
        discarded_ = std::make_unique<discarded_body>(
            context_.loop, [this] { on_discarded(); });
}

void forwarding::classify_answer(const net::message_head& head)
{
    const time_point now = net::event_loop::now().mono;
    silent_since_ = now;
    answer_ = head;
    answer_facts_ = platform_wire::read_answer(head);
    if (answer_facts_.not_run) {
        rejected_ = true;
        if (head.status == unavailable || head.status == too_many_requests)
            admission_.set_outcome(run_event::rejected);
        return;
    }
    const bool success = is_success(head.status);
    if (success && (!answer_facts_.signed_by_target || answer_facts_.encoded)) {
        discarding_ = true;
        context_.state.counts.add("answers_bad", "reason", "unsigned");
        return;
    }
    if (head_sent_ && !continues_answer(head)) {
        discarding_ = true;
        return;
    }
    if (head.status >= first_server_error) {
        context_.state.placements.on_failure(target_, now);
        admission_.set_outcome(run_event::failed);
        discarding_ = may_run_again() && !head_sent_;
    }
    forwarding_events_ = success && is_stream();
}

bool forwarding::continues_answer(const net::message_head& head) const
{
    return head.status == begun_answer_.status &&
           answer_facts_.is_event_stream == begun_answer_.is_event_stream;
}

bool forwarding::on_answer_body(std::string_view part)
{
    last_byte_at_ = net::event_loop::now().mono;
    // The caller of a stream has nothing from bytes of an unfinished event.
    if (!forwarding_events_)
        silent_since_ = last_byte_at_;
    if (is_discarded()) {
        if (discarded_->add(part.size()))
            return true;
        on_discarded();
        return false;
    }
    if (forwarding_events_) {
        return deliver_events(part);
    }
    if (head_sent_) {
        caller_->send_body(part);
        backpressure_.update(0, max_unsent_answer_bytes);
        return true;
    }
    buffer_.append(part);
    const bool has_memory =
        backpressure_.update(buffer_.size(), max_unsent_answer_bytes);
    const bool is_failure = answer_.status >= first_server_error;
    const bool is_too_long = buffer_.size() > max_buffered_answer_bytes;
    if (is_failure && is_too_long) {
        release_target();
        fail(bad_gateway, "failure too long");
        return false;
    }
    // What the caller reads needs no memory here, but then no other target can
    // replace the answer.
    if (is_too_long || (!has_memory && !is_failure)) {
        deliver_head(answer_, false);
        caller_->send_body(std::exchange(buffer_, {}));
        backpressure_.update(0, max_unsent_answer_bytes);
    }
    return true;
}

void forwarding::deliver_head(const net::message_head& head, bool whole)
{
    const bool close = context_.state.stopping;
    const auto framing = whole ? platform_wire::framing::length
                               : platform_wire::framing::chunked;
    caller_->begin_answer(
        platform_wire::write_answer_head(head, framing, buffer_.size(), close),
        !whole, close);
    head_sent_ = true;
    begun_answer_ = {head.status, answer_facts_.is_event_stream};
    time_to_first_byte_ = elapsed();
}

bool forwarding::deliver_events(std::string_view data)
{
    const std::uint64_t events = splitter_.event_count();
    const std::string_view whole = splitter_.add(data);
    if (splitter_.event_count() > events)
        deliver_whole_events(whole);
    else
        deliver_comments(whole);
    if (!splitter_.is_malformed() &&
        splitter_.partial_event().size() + buffer_.size() <= max_event_bytes) {
        backpressure_.update(splitter_.partial_event().size() + buffer_.size(),
                             max_unsent_stream_bytes);
        return true;
    }
    on_call_failed(call_failure::not_an_answer);
    return false;
}

void forwarding::deliver_whole_events(std::string_view whole)
{
    const time_point now = net::event_loop::now().mono;
    admission_.on_event(now - sent_at_);
    if (!head_sent_) {
        deliver_head(answer_, false);
        context_.state.placements.on_first_event(target_, now - sent_at_);
    } else {
        record_event_gap(now);
    }
    last_event_ = now;
    silent_since_ = now;
    if (splitter_.event_count() - events_before_send_ >= events_of_live_engine)
        on_answer_begun();
    caller_->send_body(std::exchange(buffer_, {}));
    caller_->send_body(whole);
}

void forwarding::deliver_comments(std::string_view whole)
{
    if (whole.empty())
        return;
    if (!head_sent_) {
        buffer_.append(whole);
        return;
    }
    caller_->send_body(whole);
}

void forwarding::on_answer_begun()
{
    if (std::exchange(answer_begun_, true))
        return;
    context_.crashes.on_answer_begun(traits_, net::event_loop::now().mono);
}

void forwarding::record_event_gap(time_point now)
{
    const duration gap = now - last_event_;
    longest_event_gap_ = std::max(longest_event_gap_, gap);
    if (!backpressure_.is_paused())
        context_.state.placements.on_event(target_, gap, now);
}

void forwarding::on_answer_end()
{
    gateway_state& s = context_.state;
    if (is_discarded()) {
        on_discarded();
        return;
    }
    const std::string target = target_;
    release_target();
    if (forwarding_events_ && !splitter_.partial_event().empty()) {
        on_interrupted(call_failure::within_answer);
        return;
    }
    if (answer_.status < first_server_error) {
        s.placements.on_success(target, net::event_loop::now().mono - sent_at_);
        if (may_have_been_cut())
            report_broken_connection();
        else if (answer_begun_)
            context_.crashes.on_begun_answer_ended(traits_,
                                                   net::event_loop::now().mono);
        else if (is_success(answer_.status))
            context_.crashes.on_answered(traits_, net::event_loop::now().mono);
    }
    if (head_sent_) {
        caller_->end_answer();
    } else {
        deliver_buffered_answer();
    }
    s.counts.add("answers", "status", std::to_string(answer_.status));
    if (forwarding_events_)
        context_.adapters.on_stream_ended(
            target, route_->max_event_gap > duration::zero() &&
                        longest_event_gap_ > route_->max_event_gap);
    log_answer();
    if (context_.on_answer_times)
        context_.on_answer_times(*route_, time_to_first_byte_, elapsed());
    finish("answered");
}

void forwarding::on_discarded()
{
    const std::string target = target_;
    release_target();
    if (rejected_) {
        on_rejected();
        return;
    }
    excluded_.push_back(target);
    retry_or_fail(bad_gateway, "no usable answer");
}

void forwarding::deliver_buffered_answer()
{
    deliver_head(answer_, true);
    caller_->send_body(buffer_);
    caller_->end_answer();
}

void forwarding::on_rejected()
{
    gateway_state& s = context_.state;
    const time_point now = net::event_loop::now().mono;
    on_not_run();
    s.counts.add("rejections", "status", std::to_string(answer_.status));
    log("rejected", std::to_string(answer_.status));
    if (answer_.status == bad_request && !head_sent_) {
        fail(bad_request, "refused by the target");
        return;
    }
    const target_state* const t = s.targets.find(target_);
    const bool is_usable = t != nullptr && t->use(now) != target_use::none;
    if (adapter_expected_ && is_usable && early_sends_ < max_early_sends) {
        ++early_sends_;
        s.counts.add("sends_too_early");
        wait_for_adapter(std::string(target_), true);
        return;
    }
    const bool lacks_adapter =
        answer_.status == misdirected && !adapter_.empty();
    if (lacks_adapter)
        s.placements.on_absent(target_, adapter_, now);
    else if (answer_.status == misdirected)
        s.placements.on_unreachable(target_, now);
    else
        s.placements.on_full(target_, now);
    // If an adapter was evicted, the engine's owner is requested to load it
    // before the next attempt. If the same target rejects the request again,
    // the owner's information is wrong as well.
    if (lacks_adapter && last_misdirected_ != target_) {
        last_misdirected_ = target_;
    } else {
        if (lacks_adapter)
            s.placements.on_load_refused(target_, now);
        excluded_.push_back(target_);
    }
    if (sends_ >= max_sends) {
        retry_or_fail(unavailable, "targets are full");
        return;
    }
    try_next_target();
}

void forwarding::retry_or_fail(int status, std::string_view reason)
{
    const bool sent = runs_ > 0;
    if (status != unavailable && (runs_ == 0 || may_run_again())) {
        try_next_target();
        return;
    }
    if (retry_after_pause())
        return;
    if (head_sent_)
        abort_answer(reason);
    else if (sent)
        fail(bad_gateway, reason);
    else
        refuse(reason);
}

void forwarding::on_call_failed(call_failure f)
{
    gateway_state& s = context_.state;
    const time_point now = net::event_loop::now().mono;
    s.counts.add("sends_failed", "reason", to_string(f));
    log("send_failed", to_string(f));
    admission_.set_outcome(run_event::failed);
    release_target();
    if (nothing_sent(f)) {
        on_not_run();
        --sends_;
        s.placements.on_unreachable(target_, now);
        if (f == call_failure::refused) {
            context_.on_connect_refused(target_);
            std::erase(run_targets_, target_); // it has ended
        }
        excluded_.push_back(target_);
        try_next_target();
        return;
    }
    s.placements.on_failure(target_, now);
    on_interrupted(f);
}

void forwarding::report_broken_connection()
{
    context_.crashes.on_connection_broken(
        traits_, engine_run(target_, target_started_ms_), answer_begun_,
        net::event_loop::now().mono);
    context_.on_crash_notice();
}

bool forwarding::may_have_been_cut() const
{
    return forwarding_events_ && !answer_begun_ &&
           !answer_.has("Content-Length") && !answer_.has("Transfer-Encoding");
}

void forwarding::on_interrupted(call_failure f)
{
    if (rejected_) {
        on_rejected();
        return;
    }
    if (f != call_failure::not_an_answer)
        report_broken_connection();
    excluded_.push_back(target_);
    splitter_.discard_partial_event();
    if (head_sent_ && !is_stream()) {
        abort_answer("answer broke off");
        return;
    }
    if (may_run_again()) {
        try_next_target();
        return;
    }
    if (head_sent_)
        abort_answer("stream broke off");
    else
        fail(bad_gateway, "target broke off");
}

bool forwarding::retry_after_pause()
{
    const time_point now = net::event_loop::now().mono;
    const bool may_wait = !ending_ && (abandoned_silent_target_ || head_sent_);
    if (!may_wait || !may_run_again() ||
        deadline_ - now < retry_delay_ + min_attempt_time)
        return false;
    excluded_.clear();
    sends_ = std::min(sends_, max_sends - 1);
    const auto alive = alive_;
    context_.loop.call_later(retry_delay_, [this, alive] {
        if (*alive && !done_)
            try_next_target();
    });
    retry_delay_ = std::min(2 * retry_delay_, max_target_retry_delay);
    return true;
}

void forwarding::refuse(std::string_view reason)
{
    if (retry_after_pause())
        return;
    if (head_sent_) {
        abort_answer(reason);
        return;
    }
    if (runs_ > 0) {
        fail(gateway_timeout, reason);
        return;
    }
    context_.state.counts.add("refusals", "reason", reason);
    log("refused", reason);
    duration pause = retry_after(net::event_loop::now().mono);
    if (reason == engines_are_full &&
        context_.admission.applies_to(service_, message_.arrived))
        pause += random_up_to(pause_return_spread);
    caller_->answer(unavailable, reason, pause);
    finish("refused");
}

duration forwarding::retry_after(time_point now)
{
    const gateway_state& s = context_.state;
    if (s.routes.version() == 0)
        return startup_retry_after;
    if (const auto wait = permit_.refused_for())
        return *wait;
    // The deadline of the route binds one attempt only; the caller may have
    // time for another one.
    const time_point latest =
        facts_.time_left ? message_.arrived + *facts_.time_left : deadline_;
    auto next_send = s.targets.next_pause_end(service_, now);
    if (const auto limit = s.targets.total_limit(service_, now))
        next_send = now + time_between_sends(*limit);
    if (!next_send || *next_send >= latest)
        return refusal_retry_after;
    return std::min(*next_send + random_up_to(pause_return_spread), latest) -
           now;
}

duration forwarding::random_up_to(duration longest)
{
    return duration(std::uniform_int_distribution<duration::rep>(
        0, longest.count())(context_.random));
}

void forwarding::fail(int status, std::string_view reason)
{
    if (head_sent_) {
        abort_answer(reason);
        return;
    }
    context_.state.counts.add("failures", "reason", reason);
    log("failed", reason);
    caller_->answer(status, reason);
    finish("failed");
}

void forwarding::abort_answer(std::string_view reason)
{
    context_.state.counts.add("answers_cut", "reason", reason);
    log("cut", reason);
    caller_->abort();
    finish("cut");
}

void forwarding::finish(std::string_view)
{
    if (done_)
        return;
    done_ = true;
    caller_->set_disconnect_handler(nullptr);
    caller_->set_drained_handler(nullptr);
    if (timer_ != 0)
        context_.loop.cancel(timer_);
    timer_ = 0;
    if (adapter_request_id_ != 0)
        context_.adapters.cancel(adapter_request_id_);
    adapter_request_id_ = 0;
    admission_.reset();
    release_target();
    if (holds_tokens_ && runs_ == 0)
        context_.quota.give_back(identity_.name(), identity_.tokens,
                                 boottime_now());
    context_.on_done(*this);
}

void forwarding::arm_timer()
{
    const time_point now = net::event_loop::now().mono;
    time_point at = deadline_;
    if (call_ && !backpressure_.is_paused()) {
        // Silence is checked at this interval instead of resetting a timer at
        // each byte.
        constexpr duration silence_check_interval = 150ms;
        if (may_repeat())
            at = std::min(at, now + silence_check_interval);
    }
    if (timer_ != 0)
        context_.loop.cancel(timer_);
    timer_ = context_.loop.call_later(at - now, [this] {
        timer_ = 0;
        on_timer();
    });
}

void forwarding::on_timer()
{
    const time_point now = net::event_loop::now().mono;
    if (now >= deadline_) {
        context_.state.counts.add("deadlines_passed");
        refuse("no time left");
        return;
    }
    if (call_ && !backpressure_.is_paused())
        check_silence(now);
    if (!done_ && timer_ == 0)
        arm_timer();
}

bool forwarding::has_alternative(time_point now)
{
    auto excluded = excluded_;
    excluded.push_back(target_);
    placement_request wanted = make_placement_request(now);
    wanted.excluded = excluded;
    const gateway_state& s = context_.state;
    const auto choice = context_.state.placements.choose(
        wanted, candidates(now), s.members.count(now), now);
    return choice && choice->resident && choice->load < busy_load_threshold;
}

void forwarding::check_silence(time_point now)
{
    const duration silent = now - silent_since_;
    duration limit{};
    if (is_stream()) {
        limit = head_sent_ ? stalled_stream_timeout : first_event_timeout;
        if (target_load_when_chosen_ > busy_load_threshold)
            return;
    } else {
        limit = std::max(
            min_slow_answer_timeout,
            std::chrono::duration_cast<duration>(route_->latency_objective *
                                                 slow_answer_objective_factor));
    }
    if (silent < limit || !may_run_again() || !has_alternative(now))
        return;
    const bool overdue = is_first_event_overdue(now);
    // Only engines serve reports; a plain target would treat the probe as a
    // request, so that only its bytes show that it lives.
    const bool lives = !is_at_engine_ && now - last_byte_at_ < limit;
    if (is_at_engine_ && !overdue)
        probe_target(now);
    else if (!lives || overdue)
        abandon_silent_target(now);
}

bool forwarding::is_first_event_overdue(time_point now) const
{
    const auto usual =
        context_.state.placements.mean_first_event_time(service_);
    return is_stream() && !head_sent_ && usual &&
           now - sent_at_ >
               std::max(first_event_timeout, slow_first_event_factor * *usual);
}

void forwarding::probe_target(time_point now)
{
    const target_state* t = context_.state.targets.find(target_);
    if (probe_ || t == nullptr || now < next_probe_)
        return;
    if (!is_allowed(*t)) {
        next_probe_ = now + probe_retry_delay;
        return;
    }
    if (t->limit.per_second)
        context_.state.allowance.take(target_);
    probe_ = std::make_unique<liveness_probe>(
        context_.loop, context_.pool, t->entry, connection_limit(),
        [this, asked = now, alive = alive_](probe_result result) {
            // Deferred, because the probe would be destroyed in its own
            // callback.
            context_.loop.call_later(duration::zero(),
                                     [this, asked, result, alive] {
                                         if (*alive && !done_)
                                             on_probed(asked, result);
                                     });
        });
}

void forwarding::on_probed(time_point asked, probe_result result)
{
    probe_.reset();
    context_.state.counts.add("liveness_probes", "result", to_string(result));
    log("probed", to_string(result));
    // An event may have arrived since the probe was sent.
    if (!call_ || silent_since_ > asked)
        return;
    const time_point now = net::event_loop::now().mono;
    switch (liveness_shown_by(result)) {
    case liveness::alive:
        silent_since_ = now;
        break;
    case liveness::unknown:
        next_probe_ = now + probe_retry_delay;
        break;
    case liveness::gone:
        abandon_silent_target(now);
        break;
    }
}

void forwarding::abandon_silent_target(time_point now)
{
    // The retry is taken from the budget before the target is abandoned: if
    // the budget is used up, no other target could continue the request.
    gateway_state& s = context_.state;
    if (!consume_retry(now))
        return;
    retry_reserved_ = true;
    abandoned_silent_target_ = true;
    s.counts.add("sends_failed", "reason", "silent");
    log("send_failed", "silent");
    s.placements.on_failure(target_, now);
    admission_.set_outcome(run_event::failed);
    const std::string target = target_;
    release_target();
    excluded_.push_back(target);
    splitter_.discard_partial_event();
    try_next_target();
}

} // namespace lovagegate::gateway
