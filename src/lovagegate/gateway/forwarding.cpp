#include "lovagegate/gateway/forwarding.hpp"

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
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

/// Answers up to this size are held back until they are whole, so that a
/// broken one can be replaced by another run.
constexpr std::size_t hold_back_bytes = std::size_t{256} * 1024;
/// A longer event is none, and its stream is left.
constexpr std::size_t longest_event_bytes = std::size_t{1024} * 1024;
/// A caller that reads slowly stops its target at this many unsent bytes.
constexpr std::size_t pause_bytes = std::size_t{256} * 1024;
/// The same for an answer that is no stream: its target is free again sooner.
constexpr std::size_t answer_pause_bytes = std::size_t{1024} * 1024;
/// The answer to a deadline leaves this long before it.
constexpr duration deadline_margin = 15ms;
/// Rest of the time under which a further attempt is hopeless.
constexpr duration least_attempt = 30ms;
/// Sends of one request that targets refused without running it.
constexpr std::uint32_t most_sends = 4;
/// The engine of a stream without an event for so long is asked whether it
/// lives; if not, another one takes the stream up, if it may be resumed.
/// Callers leave after two seconds.
constexpr duration stalled_stream = 900ms;
/// The same for its first event, where the engine isn't overloaded.
constexpr duration slow_first_event = 1300ms;
/// An idempotent request without an answer is sent elsewhere after this many
/// latency objectives, within these bounds.
constexpr double slow_answer_objectives = 2.0;
constexpr duration least_slow_answer = 150ms;
/// Engines above this load are slow without being faulty.
constexpr double busy_load = 0.9;
/// Sends before the adapter was there; then the load has failed, or the engine
/// is full.
constexpr std::uint32_t most_early_sends = 3;
/// Pause before targets are looked at again for a request that left one.
constexpr duration look_again_pause = 120ms;
/// Callers that were refused come back when a slot may be free.
constexpr duration refusal_pause = 700ms;
constexpr duration startup_pause = 300ms;
/// After a start, requests wait so long for the first configuration: an eighth
/// of the shortest time that callers of the users' sites have.
constexpr duration longest_config_wait = 75ms;
constexpr duration config_look = 15ms;
constexpr double whole_percent = 100;
/// Lowest urgency that engines know.
constexpr std::uint32_t lowest_priority = 9;

} // namespace

forwarding::forwarding(forward_context& context, caller_ptr caller,
                       caller_message message)
    : context_(context), caller_(std::move(caller)),
      message_(std::move(message)),
      facts_(platform_wire::read_request(message_.head))
{
}

forwarding::~forwarding()
{
    *alive_ = false;
    if (timer_ != 0)
        context_.loop.cancel(timer_);
    if (ask_ != 0)
        context_.adapters.cancel(ask_);
    leave_target();
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
         {"sent_ms", static_cast<std::uint64_t>(to_ms(sent_after_))},
         {"first_ms", static_cast<std::uint64_t>(to_ms(first_byte_))},
         {"gap_ms", static_cast<std::uint64_t>(to_ms(longest_gap_))},
         {"ms", static_cast<std::uint64_t>(to_ms(elapsed()))},
         {"load_percent",
          static_cast<std::uint64_t>(load_at_choice_ * whole_percent)},
         {"config", context_.state.routes.version()}});
}

void forwarding::start()
{
    watch_caller();
    begin();
}

void forwarding::begin()
{
    if (context_.state.routes.version() == 0 &&
        elapsed() < longest_config_wait) {
        // The store answers in milliseconds; a refusal would cost the caller
        // more.
        const auto alive = alive_;
        context_.loop.call_later(config_look, [this, alive] {
            if (*alive && !done_)
                begin();
        });
        return;
    }
    if (accept())
        try_next();
}

void forwarding::give_up()
{
    if (done_)
        return;
    left_living_ = false;
    refuse("the instance ends");
}

void forwarding::watch_caller()
{
    caller_->on_left([this] {
        context_.state.counts.add("callers_left");
        log("caller_left", head_sent_ ? "within answer" : "before answer");
        finish("caller_left");
    });
}

bool forwarding::accept()
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
    if (facts_.attempt_id.empty()) {
        fail(bad_request, "no attempt id");
        return false;
    }
    duration limit = route_->timeout;
    if (facts_.time_left)
        limit = std::min(limit, *facts_.time_left);
    deadline_ = message_.arrived + limit - deadline_margin;
    fingerprint_ = crash_suspects::fingerprint_of(
        message_.head.method, message_.head.target, message_.body);
    if (s.suspects.is_blocked(fingerprint_, message_.arrived)) {
        s.counts.add("refusals", "reason", "crashes_engines");
        log("refused", "the request crashes engines");
        caller_->answer(bad_gateway, "the request crashes engines");
        finish("blocked");
        return false;
    }
    if (!facts_.adapter.empty())
        adapter_ = adapter_name(facts_.model, facts_.adapter);
    service_ = pick_service();
    s.retries.on_request(service_, message_.arrived);
    s.counts.add("requests");
    arm_timer();
    return true;
}

const std::string& forwarding::pick_service() const
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

placement_request forwarding::placement_needs(time_point now) const
{
    placement_request wanted;
    wanted.service = service_;
    wanted.first_part = facts_.first_part;
    wanted.prompt_tokens = facts_.prompt_tokens;
    wanted.excluded = excluded_;
    if (facts_.model.empty())
        return wanted;
    std::uint64_t version = facts_.version;
    if (version == 0 && !adapter_.empty())
        version = context_.state.releases.newest(adapter_, true, now);
    wanted.adapter = adapter_ref{facts_.model, facts_.adapter, version};
    return wanted;
}

void forwarding::try_next()
{
    gateway_state& s = context_.state;
    const time_point now = net::event_loop::now().mono;
    if (deadline_ - now < least_attempt) {
        refuse("no time left");
        return;
    }
    const placement_request wanted = placement_needs(now);
    const auto candidates = s.targets.usable(service_, now);
    const auto choice =
        s.placements.choose(wanted, candidates, s.members.count(now), now);
    if (!choice) {
        refuse(candidates.empty() ? "no target" : "no further target");
        return;
    }
    load_at_choice_ = choice->load;
    if (choice->expected_wait > (deadline_ - now)) {
        refuse("engines are full");
        return;
    }
    target_ = choice->target;
    expected_ = false;
    if (choice->resident) {
        send(choice->target);
        return;
    }
    logging::write(logging::level::info, "adapter_wanted",
                   {{"request", facts_.attempt_id},
                    {"target", choice->target},
                    {"adapter", adapter_},
                    {"rank", std::uint64_t{choice->rank}},
                    {"passed_over", choice->first_rank_rejection}});
    wait_for_adapter(choice->target, false);
}

void forwarding::wait_for_adapter(const std::string& target, bool was_absent)
{
    const std::uint64_t version = context_.state.releases.newest(
        adapter_, false, net::event_loop::now().mono);
    const adapter_ref wanted{facts_.model, facts_.adapter,
                             facts_.version != 0 ? facts_.version : version};
    const auto alive = alive_;
    const auto number = context_.adapters.request_adapter(
        target, wanted, was_absent,
        [this, target, alive](adapter_status status, std::uint64_t held) {
            if (!*alive || done_)
                return;
            ask_ = 0;
            const time_point now = net::event_loop::now().mono;
            if (status == adapter_status::resident ||
                status == adapter_status::expected) {
                expected_ = status == adapter_status::expected;
                context_.state.placements.on_resident(target, adapter_, held,
                                                      now);
                send(target);
                return;
            }
            context_.state.counts.add("adapter_asks_refused");
            context_.state.placements.on_load_refused(target, now);
            excluded_.push_back(target);
            try_next();
        });
    if (*alive && !done_)
        ask_ = number;
}

void forwarding::send(const std::string& target)
{
    gateway_state& s = context_.state;
    const instant now = net::event_loop::now();
    const target_state* t = s.targets.find(target);
    if (t == nullptr || t->use(now.mono) == target_use::none) {
        excluded_.push_back(target);
        try_next();
        return;
    }
    if (deadline_ - now.mono < least_attempt) {
        refuse("no time left");
        return;
    }
    if (sends_ > 0 && !std::exchange(repeat_paid_, false) &&
        !s.retries.try_consume(service_, s.members.count(now.mono), now.mono)) {
        s.counts.add("refusals", "reason", "retry_budget");
        retry_or(unavailable, "retry budget used up");
        return;
    }
    target_ = target;
    target_fields fields;
    fields.target = target;
    fields.time_left = deadline_ - now.mono;
    if (!facts_.model.empty())
        fields.priority = std::min(route_->rank, lowest_priority);
    if (facts_.version == 0 && !adapter_.empty())
        fields.required_version = s.releases.newest(adapter_, true, now.mono);
    if (head_sent_ || !events_.last_id().empty())
        fields.resume_after = events_.last_id();
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
    request.avoid_stale = !may_repeat();
    answer_ = {};
    answer_facts_ = {};
    rejected_ = discarding_ = streaming_out_ = false;
    buffer_.clear();
    call_ = context_.pool.send(request, connection_limit(), *this);
    if (!call_) {
        s.counts.add("sends_failed", "reason", "no_connection");
        excluded_.push_back(target);
        try_next();
        return;
    }
    at_target_ = true;
    ++sends_;
    ++runs_;
    s.placements.on_sent(target, now.mono);
    if (!adapter_.empty())
        context_.adapters.begin_use(target, adapter_);
    if (sends_ == 1)
        sent_after_ = elapsed();
    silent_since_ = now.mono;
    log("sent", head_sent_ ? "resume" : (sends_ > 1 ? "again" : "first"));
    arm_timer();
}

std::size_t forwarding::connection_limit() const
{
    constexpr std::size_t default_connections = 64;
    const service_spec* spec = context_.state.routes.service(service_);
    return spec && spec->max_connections > 0 ? spec->max_connections
                                             : default_connections;
}

void forwarding::leave_target()
{
    if (!at_target_)
        return;
    at_target_ = false;
    call_.reset();
    probe_.reset();
    discarded_.reset();
    context_.state.placements.on_left(target_);
    if (!adapter_.empty())
        context_.adapters.end_use(target_, adapter_);
}

bool forwarding::may_run_again() const
{
    // An answer that has begun can only go on elsewhere after a whole event.
    if (head_sent_ && events_.events() == 0)
        return false;
    return may_repeat() && runs_ < std::max(1U, route_->max_attempts);
}

void forwarding::on_answer_head(net::message_head& head)
{
    judge_answer(head);
    if (is_discarded())
        discarded_ = std::make_unique<discarded_body>(
            context_.loop, [this] { on_discarded(); });
}

void forwarding::judge_answer(const net::message_head& head)
{
    const time_point now = net::event_loop::now().mono;
    silent_since_ = now;
    answer_ = head;
    answer_facts_ = platform_wire::read_answer(head);
    if (answer_facts_.not_run) {
        rejected_ = true;
        return;
    }
    const bool success =
        head.status >= ok_status && head.status < first_redirect;
    if (success && (!answer_facts_.signed_by_target || answer_facts_.encoded)) {
        discarding_ = true;
        context_.state.counts.add("answers_bad", "reason", "unsigned");
        return;
    }
    if (head_sent_ && !success) {
        discarding_ = true; // a resumed stream that the engine doesn't resume
        return;
    }
    if (head.status >= first_server_error) {
        context_.state.placements.on_failure(target_, now);
        discarding_ = may_run_again() && !head_sent_;
    }
    streaming_out_ = success && is_stream();
}

bool forwarding::on_answer_body(std::string_view part)
{
    silent_since_ = net::event_loop::now().mono;
    if (is_discarded()) {
        if (discarded_->add(part.size()))
            return true;
        on_discarded();
        return false;
    }
    if (streaming_out_) {
        return deliver_events(part);
    }
    if (head_sent_) {
        caller_->send_body(part);
        pause_target(answer_pause_bytes);
        return true;
    }
    buffer_.append(part);
    if (buffer_.size() > hold_back_bytes) {
        if (answer_.status >= first_server_error) {
            leave_target();
            fail(bad_gateway, "failure too long");
            return false;
        }
        deliver_head(answer_, false);
        caller_->send_body(buffer_);
        buffer_.clear();
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
    first_byte_ = elapsed();
}

bool forwarding::deliver_events(std::string_view data)
{
    const std::string_view whole = events_.add(data);
    if (!whole.empty())
        deliver_whole_events(whole);
    if (events_.rest().size() <= longest_event_bytes)
        return true;
    on_call_failed(call_failure::not_an_answer);
    return false;
}

void forwarding::deliver_whole_events(std::string_view whole)
{
    const time_point now = net::event_loop::now().mono;
    if (!head_sent_)
        deliver_head(answer_, false);
    else
        note_gap(now);
    last_event_ = now;
    caller_->send_body(whole);
    pause_target(pause_bytes);
}

void forwarding::pause_target(std::size_t unsent_limit)
{
    if (caller_->unsent() < unsent_limit || paused_ || !call_)
        return;
    paused_ = true;
    call_->read_on(false);
    caller_->on_drained([this] {
        paused_ = false;
        silent_since_ = net::event_loop::now().mono;
        if (call_)
            call_->read_on(true);
    });
}

void forwarding::note_gap(time_point now)
{
    const duration gap = now - last_event_;
    longest_gap_ = std::max(longest_gap_, gap);
    if (!paused_)
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
    leave_target();
    if (streaming_out_ && !events_.rest().empty()) {
        on_broken(call_failure::within_answer);
        return;
    }
    if (answer_.status < first_server_error) {
        s.placements.on_success(target);
        s.suspects.on_answer(fingerprint_);
    }
    if (head_sent_) {
        caller_->end_answer();
    } else {
        deliver_whole();
    }
    s.counts.add("answers", "status", std::to_string(answer_.status));
    if (streaming_out_)
        context_.adapters.on_stream_ended(
            target, route_->max_event_gap > duration::zero() &&
                        longest_gap_ > route_->max_event_gap);
    log_answer();
    if (context_.on_times)
        context_.on_times(*route_, first_byte_, elapsed());
    finish("answered");
}

void forwarding::on_discarded()
{
    const std::string target = target_;
    leave_target();
    if (rejected_) {
        on_rejected();
        return;
    }
    excluded_.push_back(target);
    retry_or(bad_gateway, "no usable answer");
}

void forwarding::deliver_whole()
{
    deliver_head(answer_, true);
    caller_->send_body(buffer_);
    caller_->end_answer();
}

void forwarding::on_rejected()
{
    gateway_state& s = context_.state;
    const time_point now = net::event_loop::now().mono;
    if (runs_ > 0)
        --runs_;
    s.counts.add("rejections", "status", std::to_string(answer_.status));
    log("rejected", std::to_string(answer_.status));
    if (answer_.status == bad_request && !head_sent_) {
        fail(bad_request, "refused by the target");
        return;
    }
    if (expected_ && early_sends_ < most_early_sends) {
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
    // Where an adapter was evicted, its owner is asked before the next try; if
    // that doesn't help, the owner is wrong as well.
    if (lacks_adapter && last_misdirected_ != target_) {
        last_misdirected_ = target_;
    } else {
        if (lacks_adapter)
            s.placements.on_load_refused(target_, now);
        excluded_.push_back(target_);
    }
    if (sends_ >= most_sends) {
        retry_or(unavailable, "targets are full");
        return;
    }
    try_next();
}

void forwarding::retry_or(int status, std::string_view reason)
{
    const bool sent = runs_ > 0;
    if (status != unavailable && (runs_ == 0 || may_run_again())) {
        try_next();
        return;
    }
    if (look_again())
        return;
    if (head_sent_)
        cut(reason);
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
    leave_target();
    if (nothing_sent(f)) {
        --runs_;
        --sends_;
        s.placements.on_unreachable(target_, now);
        if (f == call_failure::refused)
            context_.on_refused(target_);
        excluded_.push_back(target_);
        try_next();
        return;
    }
    s.placements.on_failure(target_, now);
    on_broken(f);
}

void forwarding::on_broken(call_failure f)
{
    gateway_state& s = context_.state;
    if (rejected_) {
        on_rejected();
        return;
    }
    const target_state* t = s.targets.find(target_);
    if (f != call_failure::not_an_answer && t != nullptr) {
        const crash_notice notice{fingerprint_,
                                  engine_run(target_, t->entry.started_ms)};
        context_.on_crash(notice);
    }
    excluded_.push_back(target_);
    events_.drop_rest();
    if (head_sent_ && !is_stream()) {
        cut("answer broke off");
        return;
    }
    if (may_run_again()) {
        try_next();
        return;
    }
    if (head_sent_)
        cut("stream broke off");
    else
        fail(bad_gateway, "target broke off");
}

bool forwarding::look_again()
{
    const time_point now = net::event_loop::now().mono;
    if (!left_living_ || !may_run_again() ||
        deadline_ - now < look_again_pause + least_attempt)
        return false;
    excluded_.clear();
    sends_ = std::min(sends_, most_sends - 1);
    const auto alive = alive_;
    context_.loop.call_later(look_again_pause, [this, alive] {
        if (*alive && !done_)
            try_next();
    });
    return true;
}

void forwarding::refuse(std::string_view reason)
{
    if (look_again())
        return;
    if (head_sent_) {
        cut(reason);
        return;
    }
    if (runs_ > 0) {
        fail(gateway_timeout, reason);
        return;
    }
    gateway_state& s = context_.state;
    s.counts.add("refusals", "reason", reason);
    log("refused", reason);
    caller_->answer(unavailable, reason,
                    s.routes.version() == 0 ? startup_pause : refusal_pause);
    finish("refused");
}

void forwarding::fail(int status, std::string_view reason)
{
    if (head_sent_) {
        cut(reason);
        return;
    }
    context_.state.counts.add("failures", "reason", reason);
    log("failed", reason);
    caller_->answer(status, reason);
    finish("failed");
}

void forwarding::cut(std::string_view reason)
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
    caller_->on_left(nullptr);
    caller_->on_drained(nullptr);
    if (timer_ != 0)
        context_.loop.cancel(timer_);
    timer_ = 0;
    if (ask_ != 0)
        context_.adapters.cancel(ask_);
    ask_ = 0;
    leave_target();
    context_.on_done(*this);
}

void forwarding::arm_timer()
{
    const time_point now = net::event_loop::now().mono;
    time_point at = deadline_;
    if (call_ && !paused_) {
        // Silence is looked at now and then, not at each byte.
        constexpr duration look = 150ms;
        if (may_repeat())
            at = std::min(at, now + look);
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
    if (call_ && !paused_)
        on_silence(now);
    if (!done_ && timer_ == 0)
        arm_timer();
}

bool forwarding::has_alternative(time_point now)
{
    auto excluded = excluded_;
    excluded.push_back(target_);
    placement_request wanted = placement_needs(now);
    wanted.excluded = excluded;
    const gateway_state& s = context_.state;
    const auto choice = context_.state.placements.choose(
        wanted, s.targets.usable(service_, now), s.members.count(now), now);
    return choice && choice->resident && choice->load < busy_load;
}

void forwarding::on_silence(time_point now)
{
    const duration silent = now - silent_since_;
    duration limit{};
    if (is_stream()) {
        limit = head_sent_ ? stalled_stream : slow_first_event;
        if (load_at_choice_ > busy_load)
            return;
    } else {
        limit =
            std::max(least_slow_answer,
                     std::chrono::duration_cast<duration>(
                         route_->latency_objective * slow_answer_objectives));
    }
    if (silent < limit || !may_run_again() || !has_alternative(now))
        return;
    // Only engines have reports; a plain target would take it for a request.
    const service_spec* spec = context_.state.routes.service(service_);
    if (head_sent_ && spec != nullptr && spec->engine)
        ask_for_life(now);
    else
        leave_silent(now);
}

void forwarding::ask_for_life(time_point now)
{
    const target_state* t = context_.state.targets.find(target_);
    if (probe_ || t == nullptr)
        return;
    context_.state.counts.add("liveness_probes");
    probe_ = std::make_unique<liveness_probe>(
        context_.loop, context_.pool, t->entry, connection_limit(),
        [this, asked = now, alive = alive_](bool lives) {
            // Not from here: the probe would be destroyed in its own callback.
            context_.loop.call_later(
                duration::zero(), [this, asked, lives, alive] {
                    if (!*alive || done_)
                        return;
                    probe_.reset();
                    // An event may have come meanwhile.
                    if (!call_ || silent_since_ > asked)
                        return;
                    const time_point later = net::event_loop::now().mono;
                    if (lives)
                        silent_since_ = later;
                    else
                        leave_silent(later);
                });
        });
}

void forwarding::leave_silent(time_point now)
{
    // Paid before the target is left: without it nobody could go on.
    gateway_state& s = context_.state;
    if (!s.retries.try_consume(service_, s.members.count(now), now))
        return;
    repeat_paid_ = true;
    left_living_ = true;
    s.counts.add("sends_failed", "reason", "silent");
    log("send_failed", "silent");
    s.placements.on_failure(target_, now);
    const std::string target = target_;
    leave_target();
    excluded_.push_back(target);
    events_.drop_rest();
    try_next();
}

} // namespace lovagegate::gateway
