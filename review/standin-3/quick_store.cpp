#include "review/standin-3/quick_store.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace lovagegate::review {

namespace {

std::string argument(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::string encode(const std::string& bytes)
{
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    out.resize(static_cast<std::size_t>(
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()))));
    return out;
}

} // namespace

quick_store::quick_store(net::event_loop& loop)
    : loop_(loop), server_(loop, {"127.0.0.1", 0},
                           [this](const connection_ptr& c, const request& r) {
                               on_request(c, r);
                           })
{
    check_often();
}

void quick_store::put(const std::string& key, const std::string& value)
{
    change c{key, {}, ++revision_};
    c.text = nlohmann::json{
        {"key", key},
        {"value", encode(value)},
        {"revision", c.revision},
        {"created", c.revision},
        {"lease",
         0}}.dump();
    items_[key] = c;
    history_.push_back(std::move(c));
    check_watches();
}

void quick_store::compact()
{
    compacted_ = revision_;
    history_.clear();
}

std::vector<const quick_store::change*>
quick_store::changes(const std::string& prefix, std::uint64_t after) const
{
    std::vector<const change*> out;
    for (const change& c : history_)
        if (c.revision > after && c.key.starts_with(prefix))
            out.push_back(&c);
    return out;
}

void quick_store::answer(const connection_ptr& c, const char* list,
                         const std::vector<const change*>& items)
{
    const time_point begun = net::event_loop::now().mono;
    std::string body = std::string("{\"") + list + "\":[";
    for (const change* const i : items) {
        body += i == items.front() ? "" : ",";
        body += i->text;
    }
    body += "],\"currentRev\":" + std::to_string(revision_) +
            ",\"morePages\":false}";
    c->write(whole_answer(200, "Content-Type: application/json\r\n", body));
    c->finish();
    slowest_ = std::max(slowest_, net::event_loop::now().mono - begun);
}

void quick_store::on_request(const connection_ptr& c, const request& r)
{
    const std::string& target = r.head.target;
    const std::string prefix = argument(target, "prefix");
    if (target.starts_with("/-/kv-range")) {
        std::vector<const change*> all;
        for (const auto& [key, item] : items_)
            if (key.starts_with(prefix) && key > argument(target, "after"))
                all.push_back(&item);
        answer(c, "items", all);
        return;
    }
    const std::uint64_t after = number(argument(target, "after"));
    if (after < compacted_ || after > revision_) {
        c->write(whole_answer(410, {}, {}));
        c->finish();
        return;
    }
    watches_.push_back({c, prefix, after,
                        r.arrived + std::chrono::milliseconds(
                                        number(argument(target, "waitMs")))});
    check_watches();
}

void quick_store::check_watches()
{
    const time_point now = net::event_loop::now().mono;
    std::list<waiting> due;
    for (auto it = watches_.begin(); it != watches_.end();) {
        const auto next = std::next(it);
        if (!it->to->is_open())
            watches_.erase(it);
        else if (now >= it->until || !changes(it->prefix, it->after).empty())
            due.splice(due.end(), watches_, it);
        it = next;
    }
    for (const waiting& w : due)
        answer(w.to, "events", changes(w.prefix, w.after));
}

void quick_store::check_often()
{
    loop_.call_later(5ms, [this] {
        check_watches();
        check_often();
    });
}

} // namespace lovagegate::review
