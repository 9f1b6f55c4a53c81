#include "model_engine.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

/// Answer to an order while another one is under way.
constexpr const char* conflict = "409 Conflict";

/// @return value of a member of a flat JSON object, empty if it is missing
std::string member(const std::string& json, const std::string& name)
{
    const std::string key = "\"" + name + "\":";
    auto at = json.find(key);
    if (at == std::string::npos)
        return {};
    at += key.size();
    if (json[at] == '"')
        return json.substr(at + 1, json.find('"', at + 1) - at - 1);
    return json.substr(at, json.find_first_of(",}", at) - at);
}

std::string plain(const std::string& status, const std::string& headers,
                  const std::string& body = {})
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

model_engine::model_engine(engine_address self, model_settings settings,
                           record& out)
    : self_(std::move(self)), settings_(settings), record_(out)
{
    change();
    server_ = std::make_unique<server>(self_.at, [this](int fd) { serve(fd); });
}

model_engine::~model_engine()
{
    server_->stop();
}

std::string model_engine::entry() const
{
    return R"({"service":")" + self_.service + R"(","address":")" +
           self_.at.address + ":" + std::to_string(self_.at.port) +
           R"(","zone":")" + self_.zone +
           R"(","version":"v1","slots":64,"state":"ready",)"
           R"("coldRemainingMs":0,"stage":"unified","models":[)" +
           (model_from_ == 0 ? R"({"name":")" + settings_.model +
                                   R"(","version":1,"adapters":[]})"
                             : std::string()) +
           R"(],"sequence":1,"born":)" + std::to_string(1765000000000 + life_) +
           "}";
}

void model_engine::set_fault(fault f)
{
    const std::lock_guard lock(mutex_);
    fault_ = f;
    answers_ = second_answers_ = 0;
}

bool model_engine::take_restart()
{
    const std::lock_guard lock(mutex_);
    return is_up() && std::exchange(restarts_, false);
}

bool model_engine::has_run(const std::string& attempt) const
{
    const std::lock_guard lock(mutex_);
    return runs_.contains(attempt);
}

bool model_engine::is_up() const
{
    return now_ms() >= down_until_;
}

std::string model_engine::describe() const
{
    std::map<std::string, std::string> resident;
    for (const auto& model : {settings_.model, settings_.second_model})
        if (holds_model(model))
            resident[model] = "";
    std::string coming;
    for (const auto& [name, a] : held_) {
        const auto slash = name.find('/');
        std::string& list = resident[name.substr(0, slash)];
        if (a.ready_at <= now_ms())
            list +=
                (list.empty() ? "\"" : ",\"") + name.substr(slash + 1) + "@1\"";
        else
            coming += (coming.empty() ? "\"" : ",\"") + name + "@1\"";
    }
    std::string models;
    for (const auto& [model, list] : resident)
        models += (models.empty() ? "" : ",") + std::string(R"({"name":")") +
                  model + R"(","version":1,"adapters":[)" + list + "]}";
    return R"({"stage":"unified","models":[)" + models + R"(],"busy":)" +
           (loads_model() ? "true" : "false") + R"(,"sequence":)" +
           std::to_string(sequence_) +
           R"(,"waiting":0,"running":4,"kvCacheUsed":1000,)"
           R"("kvCacheTotal":150000,"handles":0,"coming":[)" +
           coming + "]}";
}

bool model_engine::loads_model() const
{
    for (const auto from : {model_from_, second_model_from_})
        if (from != never && now_ms() < from)
            return true;
    return false;
}

bool model_engine::holds_model(const std::string& model) const
{
    return (model == settings_.model && model_from_ <= now_ms()) ||
           (model == settings_.second_model && second_model_from_ <= now_ms());
}

void model_engine::change()
{
    const std::int64_t now = now_ms();
    reports_.push_back({now, describe()});
    while (reports_.size() > 2 &&
           reports_[1].at <= now - settings_.report_lag_ms)
        reports_.pop_front();
}

std::string model_engine::report()
{
    change(); // a load may have ended
    const std::int64_t seen = now_ms() - settings_.report_lag_ms;
    std::string text = reports_.front().text;
    for (const auto& r : reports_)
        if (r.at <= seen)
            text = r.text;
    return plain("200 OK", "Content-Type: application/json\r\n", text);
}

void model_engine::crash(const std::string& adapter)
{
    ++overflows_;
    std::string all;
    for (const auto& [name, a] : held_)
        all += " " + name;
    record_.add(self_.id + " holds" + all + " and is ordered to load " +
                adapter + ": more than its " +
                std::to_string(settings_.adapter_slots) +
                " places, it crashes");
    held_.clear();
    model_from_ = second_model_from_ = never;
    highest_token_ = 0;
    sequence_ = 1;
    ++life_;
    reports_.clear();
    down_until_ = now_ms() + settings_.restart_ms;
    restarts_ = true;
    change();
}

std::string model_engine::model_order(const std::string& body)
{
    if (member(body, "operation") != "load")
        return plain("400 Bad Request", "");
    const std::string model = member(body, "model");
    std::int64_t& from =
        model == settings_.model ? model_from_ : second_model_from_;
    if (model != settings_.model && model != settings_.second_model)
        return plain("400 Bad Request", "");
    if (from != never)
        return plain("200 OK", "");
    ++sequence_;
    from = now_ms() + settings_.model_load_ms;
    change();
    return plain("202 Accepted", "");
}

std::string model_engine::order(const std::string& body)
{
    const std::string name =
        member(body, "model") + "/" + member(body, "adapter");
    const auto token =
        std::strtoull(member(body, "fencingToken").c_str(), nullptr, 10);
    const std::string expect = member(body, "expect");
    if (token < highest_token_)
        return plain("412 Precondition Failed", "");
    highest_token_ = token;
    if (!expect.empty() &&
        std::strtoull(expect.c_str(), nullptr, 10) != sequence_)
        return plain(conflict, "");
    if (loads_model())
        return plain(conflict, "");
    if (member(body, "adapter").empty())
        return model_order(body);
    if (!holds_model(member(body, "model")))
        return plain("400 Bad Request", "");
    const auto held = held_.find(name);
    const auto coming = std::ranges::count_if(
        held_, [](const auto& h) { return h.second.ready_at > now_ms(); });
    if (member(body, "operation") == "unload") {
        if (held == held_.end())
            return plain("200 OK", "");
        ++sequence_;
        if (held->second.runs > 0) {
            held->second.leaving = true;
            change();
            return plain("202 Accepted", "");
        }
        held_.erase(held);
        change();
        return plain("200 OK", "");
    }
    if (held != held_.end())
        return plain("200 OK", "");
    if (static_cast<std::size_t>(coming) >= settings_.loads_at_once)
        return plain(conflict, "");
    if (held_.size() >= settings_.adapter_slots) {
        crash(name);
        return {};
    }
    ++sequence_;
    held_[name].ready_at = now_ms() + settings_.load_ms;
    change();
    return plain("202 Accepted", "");
}

/// @param life set to the engine's lifetime in which it runs the request; 0 if
///        it doesn't run it
/// @return the answer, empty if the request runs or the engine crashes
std::string model_engine::answer_to(const message& request, std::int64_t& life)
{
    const std::lock_guard lock(mutex_);
    const std::string id = request.header("x-attempt-id");
    const std::string id_line =
        id.empty() ? "" : "X-Attempt-Id: " + id + "\r\n";
    const std::string expected = request.header("x-expected-instance");
    ++answers_;
    if (!expected.empty() && expected != self_.id)
        return plain("421 Misdirected Request", id_line);
    if (request.word(1) == "/-/report")
        return report();
    if (request.word(1) == "/-/order")
        return order(request.body);
    const std::string model = request.header("x-model-name");
    const auto held = held_.find(model);
    if (held == held_.end() || held->second.leaving)
        return plain("421 Misdirected Request",
                     id_line + "X-Not-Executed: 1\r\n");
    if (held->second.ready_at > now_ms())
        return plain("503 Service Unavailable",
                     id_line + "X-Not-Executed: 1\r\n");
    ++held->second.runs;
    runs_.insert(id);
    life = life_;
    return {};
}

bool model_engine::stream(int fd, const message& request, std::int64_t life,
                          const std::string& adapter, std::string& sent)
{
    const std::string id = request.header("x-attempt-id");
    const auto send = [&](const std::string& part) {
        sent += part;
        return send_all(fd, part);
    };
    bool open = send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                     "\r\nX-Server-Seal: " + self_.id + "." + id +
                     "\r\nContent-Type: text/event-stream"
                     "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t i = 1; open && i <= settings_.events; ++i) {
        sleep_ms(settings_.event_ms);
        if (life != life_) {
            ++lost_streams_;
            return false;
        }
        const std::string event = "id: " + std::to_string(i) +
                                  "\ndata: " + adapter + " of " + self_.id +
                                  "\n\n";
        std::array<char, 8> size{};
        std::snprintf(size.data(), size.size(), "%zx", event.size());
        open = send(std::string(size.data()) + "\r\n" + event + "\r\n");
    }
    open = open && send("0\r\n\r\n");
    const std::lock_guard lock(mutex_);
    if (life != life_)
        return false;
    const auto held = held_.find(adapter);
    if (held != held_.end() && --held->second.runs == 0 && held->second.leaving)
        held_.erase(held);
    change();
    return open;
}

bool model_engine::may_copy(fault f)
{
    const std::lock_guard lock(mutex_);
    if (fault_ != f ||
        static_cast<double>(second_answers_ + 1) >
            settings_.second_answers * static_cast<double>(answers_))
        return false;
    ++second_answers_;
    return true;
}

void model_engine::serve(int fd)
{
    std::string rest;
    std::string second;
    while (const auto request = read_message(fd, rest)) {
        {
            const std::lock_guard lock(mutex_);
            if (!is_up())
                return;
        }
        if (!second.empty()) {
            const bool of_stream = second.starts_with("HTTP/1.1 200");
            record_.add(self_.id + " sends a second copy of '" +
                        second.substr(0, second.find("\r\n")) + "' (" +
                        (of_stream ? "a stream" : "an order") +
                        ") where the answer is due to " + request->first_line +
                        " " +
                        (request->word(1) == "/-/order"
                             ? request->body
                             : request->header("x-attempt-id")));
            const bool sent = send_all(fd, std::exchange(second, {}));
            // The channel is at its end: what has just arrived isn't handled.
            if (!sent || of_stream)
                return;
        }
        std::int64_t life = 0;
        const std::string model = request->header("x-model-name");
        std::string answer = answer_to(*request, life);
        if (life != 0) {
            if (!stream(fd, *request, life, model, answer))
                return;
            if (may_copy(fault::copies_streams))
                second = answer;
            continue;
        }
        if (request->word(1) == "/-/order")
            record_.add(self_.id + " answers '" +
                        answer.substr(0, answer.find('\r')) + "' to " +
                        request->body);
        if (answer.empty() || !send_all(fd, answer))
            return;
        if (answer.find(conflict) != std::string::npos &&
            may_copy(fault::copies_order_answers))
            second = answer;
    }
}

} // namespace review
