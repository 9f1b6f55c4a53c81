#include "standins/site/platform_store.hpp"

#include "platform/words.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace lovagegate::standins {

namespace {

using nlohmann::json;

/// A watch without changes is answered after this time, so that tests see
/// changes soon without a list of waiting calls.
constexpr duration watch_time = 20ms;

std::string argument(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::string encode_base64(const std::string& bytes)
{
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int n =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

} // namespace

platform_store::platform_store(net::event_loop& loop, std::size_t entrances)
{
    for (std::size_t i = 0; i < entrances; ++i)
        entrances_.push_back(
            {std::make_unique<scripted_server>(
                 loop,
                 [this, i](const seen_request& r) { return answer(i, r); }),
             false});
}

void platform_store::put(const std::string& key, const std::string& value)
{
    const change c{key, value, ++revision_, false};
    items_[key] = c;
    history_.push_back(c);
}

void platform_store::put_config(const std::string& value)
{
    put(std::string(platform_wire::store_key::config), value);
}

void platform_store::put_target(const std::string& id, const std::string& value)
{
    put(std::string(platform_wire::store_key::targets) + id, value);
}

void platform_store::remove(const std::string& key)
{
    items_.erase(key);
    history_.push_back({key, {}, ++revision_, true});
}

void platform_store::remove_target(const std::string& id)
{
    remove(std::string(platform_wire::store_key::targets) + id);
}

std::string platform_store::range(const std::string& prefix,
                                  const std::string& after) const
{
    json items = json::array();
    bool more = false;
    for (const auto& [key, c] : items_) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        more = items.size() == items_per_page_;
        if (more)
            break;
        items.push_back({{"key", key},
                         {"value", encode_base64(c.value)},
                         {"revision", c.revision}});
    }
    return json{
        {"items", items}, {"currentRev", revision_}, {"morePages", more}}
        .dump();
}

std::string platform_store::changes(const std::string& prefix,
                                    std::uint64_t after) const
{
    json events = json::array();
    for (const auto& c : history_) {
        if (c.revision <= after || !c.key.starts_with(prefix))
            continue;
        json event{{"key", c.key}, {"revision", c.revision}};
        if (c.deleted)
            event["tombstone"] = true;
        else
            event["value"] = encode_base64(c.value);
        events.push_back(std::move(event));
    }
    return json{{"events", events}, {"currentRev", revision_}}.dump();
}

platform_store::copy platform_store::make_copy() const
{
    return {items_, history_, revision_};
}

void platform_store::restore(const copy& from)
{
    items_ = from.items;
    history_ = from.history;
    revision_ = from.revision;
    ++era_;
}

std::string platform_store::with_era(int status, const std::string& body) const
{
    const std::string era = era_text_.value_or(std::to_string(era_));
    std::vector<std::string> headers;
    if (!era.empty())
        headers.push_back(std::string(platform_wire::header::store_era) + ": " +
                          era);
    return whole_answer(status, headers, body);
}

script platform_store::answer(std::size_t entrance, const seen_request& request)
{
    const std::string& target = request.head.target;
    const std::string prefix = argument(target, "prefix");
    if (to_cut_ > 0) {
        --to_cut_;
        return {{{}, {}, then::reset}};
    }
    if (entrances_.at(entrance).silent)
        return {{"", 60s, then::close}};
    if (down_)
        return {{with_era(503, ""), {}, then::go_on}};
    const std::string text = argument(target, "after");
    if (target.starts_with(platform_wire::path::read_range)) {
        const std::string page = with_era(200, range(prefix, text));
        if (on_page_)
            on_page_();
        return {{page, {}, then::go_on}};
    }
    std::uint64_t after = 0;
    std::from_chars(text.data(), text.data() + text.size(), after);
    if (after < compacted_ || after > revision_)
        return {{with_era(410, ""), {}, then::go_on}};
    const std::string events = with_era(200, changes(prefix, after));
    if (on_watch_)
        on_watch_();
    return {{events, watch_time, then::go_on}};
}

} // namespace lovagegate::standins
