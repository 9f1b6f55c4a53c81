#include "lovagegate/access/authentication.hpp"
#include "lovagegate/access/store_contact.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using namespace lovagegate::access;

namespace {

int hashes = 0;

struct counting_hash
{
    key_digest operator()(std::string_view key) const
    {
        ++hashes;
        return digest_of(key);
    }
};

std::shared_ptr<const gateway::site_config> config_of(std::size_t workspaces)
{
    gateway::site_config c;
    c.workspaces.emplace();
    for (std::size_t n = 0; n < workspaces; ++n) {
        gateway::workspace_spec w;
        w.name = "w" + std::to_string(n);
        for (const char* const of : {"old ", "new "})
            w.keys.push_back(digest_of(of + w.name));
        c.workspaces->push_back(std::move(w));
    }
    return std::make_shared<const gateway::site_config>(std::move(c));
}

gateway::request_facts with_key(std::string key)
{
    gateway::request_facts f;
    f.key = std::move(key);
    return f;
}

} // namespace

TEST_CASE("a key is found with one hash, however many workspaces there are",
          "[access]")
{
    const std::size_t count = GENERATE(16U, 16'000U);
    const basic_workspace_table<counting_hash> table(config_of(count));
    hashes = 0;
    CHECK(table.find("old w7")->name == "w7");
    CHECK(table.find("new w" + std::to_string(count - 1))->name ==
          "w" + std::to_string(count - 1));
    CHECK_FALSE(table.find("old w" + std::to_string(count)));
    CHECK(hashes == 3);
}

TEST_CASE("a digest is the same on all instances and survives a message",
          "[access]")
{
    const auto digest = digest_of("abc");
    CHECK(to_string(digest) == "ba7816bf8f01cfea414140de5dae2223");
    CHECK(parse_key_digest(to_string(digest)) == digest);
    CHECK_FALSE(parse_key_digest("ba7816bf8f01cfea414140de5dae222"));
    CHECK_FALSE(parse_key_digest("ba7816bf8f01cfea414140de5dae222g"));
}

TEST_CASE("a request without exactly one known key is refused unless its route "
          "is anonymous",
          "[access]")
{
    const workspace_table table(config_of(2));
    gateway::route r;
    auto repeated = with_key("old w1");
    repeated.key_repeated = true;
    const std::vector<std::pair<gateway::request_facts, key_failure>> bad{
        {with_key(""), key_failure::missing},
        {repeated, key_failure::repeated},
        {with_key("old w2"), key_failure::unknown}};
    for (const auto& [facts, failure] : bad) {
        const auto found = authenticate(table, facts, r, true);
        CHECK(found.failure == failure);
        CHECK(answer_status(failure) == 401);
    }
    // The key may have been added while this instance was cut off.
    const auto late = authenticate(table, with_key("old w2"), r, false);
    CHECK(late.failure == key_failure::may_be_new);
    CHECK(answer_status(*late.failure) == 503);
    CHECK_FALSE(authenticate(table, with_key("old w1"), r, false).failure);
    r.anonymous = true;
    for (const auto& [facts, failure] : bad) {
        const auto found = authenticate(table, facts, r, true);
        CHECK_FALSE(found.failure);
        CHECK(found.identity.name().empty());
    }
    const workspace_table off(std::make_shared<gateway::site_config>());
    r.anonymous = false;
    CHECK_FALSE(authenticate(off, repeated, r, true).failure);
}

TEST_CASE("a workspace decides a request's rank and what it counts as",
          "[access]")
{
    gateway::site_config c = *config_of(2);
    auto& w = c.workspaces->front();
    w.rank = 7;
    w.unit = gateway::quota_unit::tokens;
    w.plain_tokens = 900;
    const workspace_table table(
        std::make_shared<const gateway::site_config>(std::move(c)));
    gateway::route r;
    r.rank = 2;
    auto facts = with_key("old w0");
    CHECK(authenticate(table, facts, r, true).identity.rank == 7);
    CHECK(authenticate(table, facts, r, true).identity.tokens == 900);
    facts.token_count = 1540;
    CHECK(authenticate(table, facts, r, true).identity.tokens == 1540);
    facts.key = "old w1";
    CHECK(authenticate(table, facts, r, true).identity.rank == 2);
    CHECK(authenticate(table, facts, r, true).identity.tokens == 1);
}

TEST_CASE("an instance is current while it or one that it hears from is in "
          "contact with the store",
          "[access]")
{
    const time_point start{1h};
    store_contact reader;
    store_contact other;
    CHECK_FALSE(reader.is_current(start));
    reader.on_store_answer(start);
    CHECK(reader.is_current(start + 3s));
    CHECK_FALSE(reader.is_current(start + 3001ms));
    // The age counts from the store's answer, not from the heartbeat.
    other.on_peer(*reader.age(start + 2s), start + 2s);
    CHECK(other.is_current(start + 3s));
    CHECK_FALSE(other.is_current(start + 3001ms));
    other.on_peer({-1s, 0}, start + 9s);
    other.on_peer({4s, 0}, start + 9s);
    CHECK_FALSE(other.is_current(start + 9s));
}

TEST_CASE("instances that hear only from each other don't stay current",
          "[access]")
{
    // Delays of datagrams make what is passed on seem newer each time.
    const duration delay = GENERATE(5ms, 150ms);
    store_contact a;
    store_contact b;
    const time_point start{1h};
    a.on_store_answer(start);
    time_point now = start;
    for (; now < start + 8s; now += 400ms)
        for (const auto& [from, to] : {std::pair(&a, &b), std::pair(&b, &a)})
            if (const auto told = from->age(now))
                to->on_peer(*told, now + delay);
    CHECK_FALSE(a.is_current(now));
    CHECK_FALSE(b.is_current(now));
}
