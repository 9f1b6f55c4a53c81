#include "review/standin-3/engine.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lovagegate::review {

namespace {

using nlohmann::json;

constexpr duration beat_interval = 1200ms;
constexpr std::size_t cached_adapters = 60;
constexpr int last_adapter = 3000; ///< of those named a1, a2, and so on

bool exists(const std::string& adapter)
{
    return adapter.size() > 1 && adapter.size() < 6 && adapter[0] == 'a' &&
           adapter.find_first_not_of("0123456789", 1) == std::string::npos &&
           std::stoi(adapter.substr(1)) <= last_adapter;
}

std::string field(const std::string& name, const std::string& value)
{
    return name + ": " + value + "\r\n";
}

std::string chunk(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx", text.size());
    return std::string(size) + "\r\n" + text + "\r\n";
}

} // namespace

template <typename Json>
void engine::describe_models(Json& to, const Json& adapters) const
{
    to["models"] = Json::array();
    if (has_model_)
        to["models"].push_back(
            {{"name", options_.model}, {"version", 1}, {"adapters", adapters}});
}

engine::engine(net::event_loop& loop, site& s, record& r,
               const engine_options& options)
    : loop_(loop), site_(s), record_(r), options_(options), born_(unix_ms()),
      has_model_(!options.empty),
      server_(loop, {"127.0.0.1", 0},
              [this](const connection_ptr& c, const request& q) {
                  on_request(c, q);
              })
{
    keep_state();
    publish();
    beat();
}

void engine::release(const std::string& adapter, std::uint64_t version)
{
    newest_[adapter] = version;
}

std::uint64_t engine::newest(const std::string& adapter) const
{
    const auto it = newest_.find(adapter);
    return it == newest_.end() ? options_.first_version : it->second;
}

std::size_t engine::in_transit() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        held_, [](const auto& h) { return h.second.loading; }));
}

std::string engine::state_text() const
{
    json adapters = json::array();
    json coming = json::array();
    for (const auto& [name, h] : held_) {
        const std::string text = name + '@' + std::to_string(h.version);
        if (h.loading)
            coming.push_back(options_.model + '/' + text);
        else
            adapters.push_back(text);
    }
    json state{{"born", born_},
               {"stage", "unified"},
               {"busy", busy_},
               {"sequence", sequence_},
               {"waiting", queue_.size()},
               {"running", running_.size()},
               {"kvCacheUsed", 1000 * running_.size()},
               {"kvCacheTotal", 156703},
               {"handles", 0},
               {"coming", coming}};
    describe_models(state, adapters);
    return state.dump();
}

void engine::keep_state()
{
    const time_point now = net::event_loop::now().mono;
    states_.emplace_back(now, state_text());
    while (states_.size() > 1 && states_[1].first + options_.report_lag <= now)
        states_.pop_front();
}

void engine::publish()
{
    json adapters = json::array();
    for (const auto& [name, h] : held_)
        if (!h.loading)
            adapters.push_back(name + '@' + std::to_string(h.version));
    json entry{{"service", options_.service},
               {"address", "127.0.0.1:" + std::to_string(server_.port())},
               {"zone", "z"},
               {"version", "1"},
               {"slots", options_.slots},
               {"state", "ready"},
               {"coldRemainingMs", 0},
               {"sequence", ++beats_},
               {"born", born_},
               {"stage", "unified"}};
    describe_models(entry, adapters);
    json same = entry;
    same.erase("sequence");
    if (std::exchange(last_entry_, same.dump()) != same.dump())
        site_.store().put_target(options_.id, entry.dump());
}

void engine::beat()
{
    loop_.call_later(beat_interval, [this] {
        if (up_)
            publish();
        beat();
    });
}

void engine::plan_extra(const connection_ptr& c, std::string copy)
{
    std::bernoulli_distribution doubled(extra_share);
    if (extra_share <= 0 || !doubled(random_))
        return;
    ++extras;
    c->extra = std::move(copy);
}

void engine::respond(const connection_ptr& c, int status,
                     const std::string& headers, const std::string& body,
                     const std::string& attempt)
{
    const std::string bytes =
        whole_answer(status, field("X-Attempt-Id", attempt) + headers, body);
    c->write(bytes);
    c->finish();
    ++refusals;
    plan_extra(c, bytes);
}

void engine::on_request(const connection_ptr& c, const request& r)
{
    const std::string expected = r.header("X-Expected-Instance");
    const std::string attempt = r.header("X-Attempt-Id");
    if (!expected.empty() && expected != options_.id) {
        respond(c, 421, {}, {}, attempt);
        return;
    }
    if (r.head.target == "/-/report") {
        on_report(c);
        return;
    }
    if (r.head.target == "/-/order") {
        carry_out(c, r);
        return;
    }
    const std::string model = r.header("X-Model-Name");
    const auto slash = model.find('/');
    const std::string adapter =
        slash == std::string::npos ? "" : model.substr(slash + 1);
    const auto it = held_.find(adapter);
    if (it == held_.end()) {
        respond(c, 421, {}, {}, attempt);
        return;
    }
    const std::string version = r.header("X-Expected-Version");
    if (!version.empty() && !it->second.loading &&
        version != std::to_string(it->second.version)) {
        respond(c, 421, {}, {}, attempt);
        return;
    }
    if (it->second.loading || it->second.leaving ||
        it->second.next_version != 0 || queue_.size() >= options_.queue) {
        respond(c, 503, field("X-Not-Executed", "1"), {}, attempt);
        return;
    }
    const std::string counts = r.header("X-Token-Counts");
    const auto comma = counts.find(',');
    const std::size_t tokens =
        comma == std::string::npos ? 10 : std::stoul(counts.substr(comma + 1));
    auto j = std::make_shared<job>();
    j->to = c;
    j->attempt = attempt;
    j->adapter = adapter;
    j->events = std::max<std::size_t>(1, tokens / 6);
    j->arrived = r.arrived;
    c->on_left = [this, weak = std::weak_ptr<job>(j)] {
        if (const auto left = weak.lock())
            end(left, false);
    };
    queue_.push_back(j);
    begin_next();
}

void engine::begin_next()
{
    while (!queue_.empty() && running_.size() < options_.slots) {
        const job_ptr j = queue_.front();
        queue_.pop_front();
        const auto it = held_.find(j->adapter);
        // An order that concerns it came while it waited.
        if (it == held_.end() || it->second.leaving ||
            it->second.next_version != 0) {
            j->ended = true;
            j->to->on_left = nullptr;
            respond(j->to, 503, field("X-Not-Executed", "1"), {}, j->attempt);
            continue;
        }
        running_.push_back(j);
        ++it->second.users;
        loop_.call_later(options_.prefill, [this, j, life = life_] {
            if (j->ended || life != life_)
                return;
            j->begun = true;
            if (on_run)
                on_run({j->attempt, j->adapter, held_[j->adapter].version,
                        net::event_loop::now().mono, j->arrived, j->sender});
            j->to->write("HTTP/1.1 200 OK\r\n" +
                         field("X-Attempt-Id", j->attempt) +
                         field("X-Server-Seal", "seal." + options_.id) +
                         field("X-Weight-Versions",
                               std::to_string(held_[j->adapter].version)) +
                         field("Content-Type", "text/event-stream") +
                         field("Transfer-Encoding", "chunked") + "\r\n");
            step(j);
        });
    }
    keep_state();
}

void engine::step(const job_ptr& j)
{
    if (j->ended)
        return;
    ++j->made;
    const std::string event =
        "id: " + std::to_string(j->made) + "\ndata: " + j->attempt + "\n\n";
    j->text += event;
    j->to->write(chunk(event));
    if (j->made >= j->events) {
        end(j, true);
        return;
    }
    loop_.call_later(options_.event_gap, [this, j, life = life_] {
        if (life == life_)
            step(j);
    });
}

void engine::end(const job_ptr& j, bool whole)
{
    if (std::exchange(j->ended, true))
        return;
    std::erase(queue_, j);
    const bool ran = std::erase(running_, j) > 0;
    const connection_ptr c = j->to;
    if (whole) {
        c->write("0\r\n\r\n");
        c->finish();
        plan_extra(
            c, whole_answer(200,
                            field("X-Attempt-Id", j->attempt) +
                                field("X-Server-Seal", "seal." + options_.id) +
                                field("Content-Type", "text/event-stream"),
                            j->text));
    }
    const auto it = held_.find(j->adapter);
    if (ran && it != held_.end() && it->second.users > 0) {
        held& h = it->second;
        --h.users;
        if (h.users == 0 && h.leaving) {
            cached_.push_back(it->first);
            held_.erase(it);
        } else if (h.users == 0 && h.next_version != 0) {
            h.version = std::exchange(h.next_version, 0);
        }
    }
    begin_next();
}

void engine::on_report(const connection_ptr& c)
{
    keep_state();
    c->write(whole_answer(200, field("Content-Type", "application/json"),
                          states_.front().second));
    c->finish();
}

duration engine::load_time(const std::string& adapter)
{
    const bool cached = std::ranges::find(cached_, adapter) != cached_.end();
    std::uniform_real_distribution<double> spread(1, options_.load_spread);
    return std::chrono::duration_cast<duration>(
        options_.load_time * spread(random_) *
        (cached ? options_.cached_factor : 1.0));
}

void engine::carry_out(const connection_ptr& c, const request& r)
{
    const json order = json::parse(r.body, nullptr, false);
    const auto plain = [&](int status) {
        c->write(whole_answer(status, {}, {}));
        c->finish();
    };
    if (!order.is_object() || !order.contains("holder") ||
        !order.contains("fencingToken")) {
        plain(400);
        return;
    }
    const auto token = order["fencingToken"].get<std::uint64_t>();
    if (options_.check_fencing && token < highest_token_) {
        plain(412);
        return;
    }
    if (order.contains("expect") && order["expect"] != sequence_) {
        plain(409);
        return;
    }
    highest_token_ = std::max(highest_token_, token);
    const bool is_load = order.value("operation", "") == "load";
    const std::string adapter = order.value("adapter", "");
    if (on_order)
        on_order(order.value("holder", ""), is_load, adapter);
    if (adapter.empty() && is_load)
        load_model(c);
    else if (busy_ || !has_model_)
        plain(409);
    else if (adapter.empty())
        plain(400);
    else if (!exists(adapter))
        plain(400);
    else if (is_load)
        load(c, adapter, order.value("version", std::uint64_t{0}));
    else
        unload(c, adapter);
}

void engine::load_model(const connection_ptr& c)
{
    const int status = has_model_ ? 200 : busy_ ? 409 : 202;
    if (status == 202) {
        ++sequence_;
        busy_ = true;
        loop_.call_later(options_.model_load_time, [this, life = life_] {
            if (life != life_)
                return;
            busy_ = false;
            has_model_ = true;
            keep_state();
            publish();
        });
    }
    keep_state();
    c->write(whole_answer(status, {}, {}));
    c->finish();
}

void engine::load(const connection_ptr& c, const std::string& adapter,
                  std::uint64_t version)
{
    const auto plain = [&](int status) {
        c->write(whole_answer(status, {}, {}));
        c->finish();
    };
    const std::uint64_t wanted = version == 0 ? newest(adapter) : version;
    const auto known = held_.find(adapter);
    if (known != held_.end()) {
        held& h = known->second;
        if (h.loading || h.next_version == wanted) {
            plain(202);
            return;
        }
        if (h.version == wanted && !h.leaving) {
            plain(200);
            return;
        }
        ++sequence_;
        h.leaving = false;
        if (h.users == 0)
            h.version = wanted;
        else
            h.next_version = wanted;
        keep_state();
        plain(202);
        return;
    }
    if (in_transit() >= options_.max_transit) {
        plain(409);
        return;
    }
    if (held_.size() >= options_.adapter_slots) {
        std::string all;
        for (const auto& [name, h] : held_)
            all += ' ' + name + (h.loading ? "(coming)" : "");
        crash("ordered to load " + adapter + " beyond its " +
              std::to_string(options_.adapter_slots) + " places, holds" + all);
        return;
    }
    ++sequence_;
    ++loads;
    held_[adapter] = {wanted, true};
    keep_state();
    loop_.call_later(load_time(adapter), [this, adapter, life = life_] {
        const auto it = held_.find(adapter);
        if (life != life_ || it == held_.end())
            return;
        it->second.loading = false;
        std::erase(cached_, adapter);
        cached_.push_back(adapter);
        if (cached_.size() > cached_adapters)
            cached_.pop_front();
        keep_state();
    });
    plain(202);
}

void engine::unload(const connection_ptr& c, const std::string& adapter)
{
    const auto plain = [&](int status) {
        c->write(whole_answer(status, {}, {}));
        c->finish();
    };
    const auto it = held_.find(adapter);
    if (it == held_.end()) {
        plain(200);
        return;
    }
    ++sequence_;
    if (it->second.users == 0 && !it->second.loading) {
        held_.erase(it);
        keep_state();
        plain(200);
        return;
    }
    it->second.leaving = true;
    keep_state();
    plain(202);
}

void engine::crash(const std::string& reason)
{
    ++crashes;
    runs_lost += running_.size();
    record_.line("engine " + options_.id + " crashes: " + reason + "; " +
                 std::to_string(running_.size()) + " runs and " +
                 std::to_string(queue_.size()) + " waiting requests are lost");
    ++life_;
    up_ = false;
    for (const auto& j : running_)
        j->ended = true;
    for (const auto& j : queue_)
        j->ended = true;
    running_.clear();
    queue_.clear();
    held_.clear();
    states_.clear();
    sequence_ = highest_token_ = 0;
    server_.crash();
    loop_.call_later(options_.restart_time, [this] {
        up_ = true;
        born_ = unix_ms();
        keep_state();
        server_.open();
        publish();
    });
}

std::string config_text(const route_options& route)
{
    return json{{"version", 1},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 5000},
                  {"idleTimeoutMs", 10000}}},
                {"routes",
                 {{{"name", "shift-sum"},
                   {"host", "gate.example"},
                   {"prefix", "/sum/"},
                   {"kind", route.kind},
                   {"timeoutMs", route.timeout_ms},
                   {"targetLatencyMs", route.target_ms},
                   {"gapAimMs", 250},
                   {"priority", 1},
                   {"service", "llm"},
                   {"maxAttempts", route.attempts},
                   {"sessionAffinity", true},
                   {"resumable", route.resumable}}}},
                {"services",
                 {{{"name", "llm"},
                   {"healthCheckPath", "/health"},
                   {"maxConnections", 370},
                   {"engine",
                    {{"slots", route.slots},
                     {"kvCacheTokens", 156703},
                     {"weightsSize", 16800.0},
                     {"adapterSlots", route.adapter_slots},
                     {"loadsPerS", 4.3},
                     {"models",
                      {{{"name", "m0"},
                        {"weightsSize", 16100.0},
                        {"loadTimeS", 0.6},
                        {"adapters", 3000},
                        {"adapterMb", 14.0}}}}}}}}}}
        .dump();
}

std::string request_text(const std::string& attempt, const std::string& adapter,
                         int deadline_ms, int events)
{
    const std::string body = "{\"prompt\":\"" + attempt + "\"}";
    return "POST /sum/1 HTTP/1.1\r\n" + field("Host", "gate.example") +
           field("X-Attempt-Id", attempt) +
           field("X-Model-Name", "m0/" + adapter) +
           field("X-Token-Counts", "500," + std::to_string(6 * events)) +
           field("X-Prompt-Prefix", "a1:100,b" + adapter.substr(0, 8) +
                                        ":79,c" + attempt + ":321") +
           field("X-Request-Deadline", std::to_string(deadline_ms)) +
           field("Content-Length", std::to_string(body.size())) + "\r\n" + body;
}

} // namespace lovagegate::review
