#include "store.hpp"

namespace lovagegate::review {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int not_found = 404;

std::string base64(const std::string& text)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U | (i + k < text.size()
                                     ? static_cast<unsigned char>(text[i + k])
                                     : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > text.size() ? '='
                                       : digits[bits >> (18U - 6U * k) & 63U];
    }
    return out;
}

std::string unescape(const std::string& text)
{
    constexpr int hex_base = 16;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, hex_base));
            i += 2;
        } else {
            out += text[i];
        }
    return out;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + '=');
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return unescape(target.substr(from, target.find('&', from) - from));
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

store::store(record& log, const std::string& ip, std::size_t machines)
    : log_(log), cut_(machines, false)
{
    for (std::size_t m = 0; m < machines; ++m)
        ports_.push_back(
            listen_on(ip, 0, [this, m](channel& c, const message& request) {
                return serve(m, c, request);
            }));
}

std::int64_t store::put(const std::string& key, const json& value)
{
    const std::lock_guard lock(mutex_);
    const std::string text = value.dump();
    items_[key] = {text, ++revision_};
    history_.push_back({key, text, revision_, false});
    changed_.notify_all();
    std::string shown = text;
    constexpr std::size_t most = 200;
    if (shown.size() > most)
        shown.resize(most);
    return log_.write("store: revision " + std::to_string(revision_) +
                      " writes " + key + " = " + shown);
}

std::int64_t store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    history_.push_back({key, {}, ++revision_, true});
    changed_.notify_all();
    return log_.write("store: revision " + std::to_string(revision_) +
                      " removes " + key);
}

json store::value(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto it = items_.find(key);
    return it == items_.end() ? json() : json::parse(it->second.value);
}

bool store::is_watching(std::size_t machine, const std::string& prefix)
{
    const std::lock_guard lock(mutex_);
    return watches_[{machine, prefix}] > 0;
}

void store::cut(std::size_t machine, bool on)
{
    const std::lock_guard lock(mutex_);
    cut_[machine] = on;
    changed_.notify_all();
    log_.write(
        "machine " + std::to_string(machine) +
        (on ? " is cut off from the store" : " reaches the store again"));
}

void store::wait_until_linked(std::size_t machine)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return !cut_[machine]; });
}

bool store::serve(std::size_t machine, channel& c, const message& request)
{
    wait_until_linked(machine);
    const std::string& target = request.target;
    const std::string prefix = parameter(target, "prefix");
    json body;
    int status = ok;
    if (target.starts_with("/-/kv-range"))
        body = range(prefix, parameter(target, "after"));
    else if (target.starts_with("/-/kv-watch"))
        body = watch(machine, prefix, number(parameter(target, "after")),
                     milliseconds(number(parameter(target, "waitMs"))));
    else
        status = not_found;
    wait_until_linked(machine);
    return c.write(
        answer(status, "Content-Type: application/json\r\n", body.dump()));
}

json store::range(const std::string& prefix, const std::string& after)
{
    const std::lock_guard lock(mutex_);
    json items = json::array();
    for (const auto& [key, i] : items_)
        if (key.starts_with(prefix) && key > after)
            items.push_back({{"key", key},
                             {"value", base64(i.value)},
                             {"revision", i.revision},
                             {"created", i.revision},
                             {"lease", 0}});
    return {{"items", items}, {"morePages", false}, {"currentRev", revision_}};
}

json store::events_after(const std::string& prefix, std::uint64_t after)
{
    json events = json::array();
    for (const auto& e : history_) {
        if (e.revision <= after || !e.key.starts_with(prefix))
            continue;
        if (e.deleted)
            events.push_back({{"key", e.key},
                              {"revision", e.revision},
                              {"tombstone", true}});
        else
            events.push_back({{"key", e.key},
                              {"value", base64(e.value)},
                              {"revision", e.revision},
                              {"created", e.revision},
                              {"lease", 0}});
    }
    return events;
}

json store::watch(std::size_t machine, const std::string& prefix,
                  std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock(mutex_);
    int& open = watches_[{machine, prefix}];
    ++open;
    json events;
    changed_.wait_for(lock, wait, [&] {
        events = events_after(prefix, after);
        return !events.empty();
    });
    --open;
    return {{"events", events}, {"currentRev", revision_}};
}

} // namespace lovagegate::review
