#include "store.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <sstream>

namespace review {

namespace {

constexpr std::int64_t recent_watch_ms = 1000;

std::string encode_base64(std::string_view text)
{
    constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        const std::size_t n = std::min<std::size_t>(3, text.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U |
                   (k < n ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= n ? alphabet[bits >> (18U - 6U * k) & 63U] : '=';
    }
    return out;
}

std::string decode_percent(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%' || i + 2 >= text.size()) {
            out += text[i];
            continue;
        }
        out += static_cast<char>(std::strtol(
            std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
        i += 2;
    }
    return out;
}

std::map<std::string, std::string> parse_query(std::string_view text)
{
    std::map<std::string, std::string> out;
    std::istringstream parts{std::string(text)};
    for (std::string part; std::getline(parts, part, '&');) {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            out[part.substr(0, equals)] =
                decode_percent(part.substr(equals + 1));
    }
    return out;
}

std::string answer(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

store::store(const std::vector<endpoint>& one_for_each_machine)
{
    for (std::size_t i = 0; i < one_for_each_machine.size(); ++i)
        servers_.push_back(std::make_unique<server>(
            one_for_each_machine[i], [this, i](int fd) { serve(i, fd); }));
}

store::~store()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    servers_.clear();
}

std::int64_t store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    items_[key] = {value, ++revision_, false};
    changed_.notify_all();
    return now_ms();
}

std::int64_t store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    items_[key] = {"", ++revision_, true};
    changed_.notify_all();
    return now_ms();
}

void store::set_down(bool down)
{
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
}

std::vector<std::size_t> store::watching_machines() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::pair<std::int64_t, std::size_t>> recent;
    for (const auto& [machine, at] : last_watch_)
        if (now_ms() - at <= recent_watch_ms)
            recent.emplace_back(-at, machine);
    std::ranges::sort(recent);
    std::vector<std::size_t> out;
    for (const auto& [at, machine] : recent)
        out.push_back(machine);
    return out;
}

void store::serve(std::size_t machine, int fd)
{
    std::string rest;
    while (const auto request = read_message(fd, rest)) {
        const std::string target = request->word(1);
        const auto mark = target.find('?');
        const auto query = parse_query(
            mark == std::string::npos ? "" : target.substr(mark + 1));
        const std::string path = target.substr(0, mark);
        std::string reply;
        {
            const std::lock_guard lock(mutex_);
            if (down_)
                reply = answer("503 Service Unavailable", "{}");
        }
        if (reply.empty() && path == "/-/kv-range")
            reply = read_range(query);
        else if (reply.empty() && path == "/-/kv-watch")
            reply = watch(machine, query);
        else if (reply.empty())
            reply = answer("404 Not Found", "{}");
        if (!send_all(fd, reply))
            return;
    }
}

std::string store::read_range(const std::map<std::string, std::string>& query)
{
    const auto value = [&](const char* name) {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    };
    const std::lock_guard lock(mutex_);
    std::string list;
    for (const auto& [key, i] : items_) {
        if (i.removed || !key.starts_with(value("prefix")) ||
            key <= value("after"))
            continue;
        list += list.empty() ? "" : ",";
        list += R"({"key":")" + key + R"(","value":")" +
                encode_base64(i.value) + R"(","revision":)" +
                std::to_string(i.revision) + R"(,"created":)" +
                std::to_string(i.revision) + R"(,"lease":0})";
    }
    return answer("200 OK", R"({"items":[)" + list +
                                R"(],"morePages":false,"currentRev":)" +
                                std::to_string(revision_) + "}");
}

std::string store::events_after(const std::string& prefix,
                                std::uint64_t revision) const
{
    std::vector<std::pair<std::uint64_t, std::string>> events;
    for (const auto& [key, i] : items_) {
        if (i.revision <= revision || !key.starts_with(prefix))
            continue;
        std::string event = R"({"key":")" + key + R"(","revision":)" +
                            std::to_string(i.revision);
        event += i.removed ? R"(,"tombstone":true})"
                           : R"(,"value":")" + encode_base64(i.value) +
                                 R"(","created":)" +
                                 std::to_string(i.revision) + R"(,"lease":0})";
        events.emplace_back(i.revision, event);
    }
    std::ranges::sort(events);
    std::string list;
    for (const auto& [at, text] : events)
        list += (list.empty() ? "" : ",") + text;
    return list;
}

std::string store::watch(std::size_t machine,
                         const std::map<std::string, std::string>& query)
{
    const auto number = [&](const char* name) {
        const auto it = query.find(name);
        return it == query.end()
                   ? 0ULL
                   : std::strtoull(it->second.c_str(), nullptr, 10);
    };
    const auto named = query.find("prefix");
    const std::string prefix = named == query.end() ? "" : named->second;
    const auto after = number("after");
    std::unique_lock lock(mutex_);
    last_watch_[machine] = now_ms();
    std::string list;
    changed_.wait_for(lock, std::chrono::milliseconds(number("waitMs")), [&] {
        list = events_after(prefix, after);
        return !list.empty() || down_ || stopping_;
    });
    if (down_)
        return answer("503 Service Unavailable", "{}");
    return answer("200 OK", R"({"events":[)" + list + R"(],"currentRev":)" +
                                std::to_string(revision_) + "}");
}

} // namespace review
