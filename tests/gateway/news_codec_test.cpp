#include "lovagegate/gateway/news_codec.hpp"

#include "lovagegate/core/compression.hpp"
#include "lovagegate/gateway/news_assembler.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lovagegate;
using namespace lovagegate::gateway;
using platform_wire::store_item;

namespace {

constexpr time_point now{10s};

std::string entry_value(int sequence)
{
    return R"({"service":"llm","address":"10.1.64.9:8007","zone":"rijeka-a",)"
           R"("slots":64,"state":"ready","sequence":)" +
           std::to_string(sequence) +
           R"(,"models":[{"name":"m0","adapters":["a17@1","a4@2","a903@1",)"
           R"("a1@1","a2@1","a77@3","a78@1","a2000@1","a1999@4","a5@1"]}]})";
}

store_item entry(int number, int sequence, std::uint64_t revision)
{
    return {"servers/i-" + std::to_string(number), entry_value(sequence),
            revision, false};
}

/// Twelve entries, each of which is written again with a small change, as
/// engines do.
struct writes
{
    store_reader::batch news;
    store_reader::item_map known;

    writes()
    {
        news.after = 100;
        news.revision = 112;
        for (int i = 0; i < 12; ++i) {
            const auto old = entry(i, 7, 50 + static_cast<std::uint64_t>(i));
            known.emplace(old.key, old);
            news.previous_values.emplace(old.key, old);
            news.items.push_back(
                entry(i, 8, 101 + static_cast<std::uint64_t>(i)));
        }
    }
};

/// @return bytes that can't be compressed
std::string noise(std::size_t size)
{
    std::string out;
    for (unsigned x = 1; out.size() < size; x = x * 1664525 + 1013904223)
        out += static_cast<char>(x >> 24);
    return out;
}

} // namespace

TEST_CASE("changes are unpacked as they were packed", "[gateway]")
{
    const writes w;
    std::vector<store_item> got;
    store_revision told = w.news.after;
    for (const auto& message : pack_changes(true, w.news, now)) {
        CHECK(message.after == told);
        told = message.revision;
        const auto batch = unpack_changes(message, w.known, now);
        REQUIRE(batch);
        got.insert(got.end(), batch->items.begin(), batch->items.end());
    }
    CHECK(told == w.news.revision);
    REQUIRE(got.size() == 12);
    CHECK(got.front().value == entry_value(8));
    CHECK(got.back().revision == 112);
}

TEST_CASE("a small change of a large value takes few bytes", "[gateway]")
{
    const writes w;
    std::size_t bytes = 0;
    for (const auto& message : pack_changes(true, w.news, now))
        bytes += encode(message).size();
    // 95 engines that each write every 1.2 s may use a third of the 15 KB/s
    // that control messages may cost a node.
    CHECK(bytes < 12 * 5000 / 80);
}

TEST_CASE("changes compressed with an unknown value are rejected", "[gateway]")
{
    writes w;
    const auto messages = pack_changes(true, w.news, now);
    ++w.known.begin()->second.revision.number;
    CHECK_FALSE(unpack_changes(messages.front(), w.known, now));
    w.known.clear();
    CHECK_FALSE(unpack_changes(messages.front(), w.known, now));
}

TEST_CASE("a large change is sent in parts, so that instances need not pull it "
          "from its reader",
          "[gateway]")
{
    const store_item large{"op/config", noise(40000), 3, false};
    store_reader::batch news;
    news.after = 2;
    news.revision = 3;
    news.items = {large};
    news_assembler assembler;
    std::optional<store_changes> whole;
    for (const auto& message : pack_changes(false, news, now)) {
        REQUIRE_FALSE(message.packed.empty());
        CHECK(encode(message).size() < 13000);
        CHECK_FALSE(whole);
        whole = assembler.add(std::get<store_changes>(*decode(encode(message))),
                              {});
    }
    REQUIRE(whole);
    const auto batch = unpack_changes(*whole, {}, now);
    REQUIRE(batch);
    CHECK(batch->after == 2);
    CHECK(batch->revision == 3);
    CHECK(batch->items.front().value == large.value);
}

TEST_CASE("a change that is too large for the parts of a message is announced "
          "without its value",
          "[gateway]")
{
    store_reader::batch news;
    news.after = 1;
    news.revision = 3;
    news.items = {{"op/a", "small", 2, false},
                  {"op/b", noise(400000), 3, false}};
    const auto messages = pack_changes(false, news, now);
    REQUIRE(messages.size() == 2);
    CHECK(unpack_changes(messages.front(), {}, now));
    CHECK(messages.back().packed.empty());
    CHECK(messages.back().revision == 3);
    CHECK_FALSE(unpack_changes(messages.back(), {}, now));
}

TEST_CASE("the deletion of an entry can be unpacked without its previous "
          "value",
          "[gateway]")
{
    store_reader::batch news;
    news.revision = 9;
    const auto old = entry(1, 7, 5);
    news.previous_values.emplace(old.key, old);
    news.items = {{old.key, {}, 9, true}};
    const auto batch =
        unpack_changes(pack_changes(true, news, now).front(), {}, now);
    REQUIRE(batch);
    CHECK(batch->items.front().deleted);
}

TEST_CASE("the doubt of a deletion ends at the receiver when it ends at the "
          "sender",
          "[gateway]")
{
    // With a grace of the receiver's own, a target that had left got requests
    // for longer the later the news came.
    store_reader::batch news;
    news.revision = 9;
    news.doubt_until = now + 2s;
    news.items = {{"servers/t", {}, 9, true}};
    const duration late = 600ms;
    const auto message = pack_changes(true, news, now + late).front();
    const auto received = std::get<store_changes>(*decode(encode(message)));
    const auto batch = unpack_changes(received, {}, now + late);
    REQUIRE(batch);
    CHECK(batch->doubt_until == news.doubt_until);
    const auto certain = pack_changes(true, news, now + 3s).front();
    CHECK(certain.doubt_left == 0s);
}

TEST_CASE("arbitrary bytes can be unpacked or are rejected", "[gateway]")
{
    CHECK(rc::check([](const std::string& bytes) {
        (void)unpack_changes({true, 1, 2, {}, {}, bytes}, {}, now);
        try {
            (void)unpack_state(bytes);
        } catch (const std::exception&) {
            // Rejected with a reason, which the daemon logs.
        }
    }));
    CHECK(rc::check([](const std::string& data, const std::string& dictionary) {
        RC_ASSERT(decompress(compress(data, dictionary), data.size(),
                             dictionary) == data);
    }));
}

TEST_CASE("data that exceeds the size limit is not decompressed", "[gateway]")
{
    const auto packed = compress(std::string(100000, 'x'));
    CHECK_THROWS_AS(decompress(packed, 1000), compression_error);
}

TEST_CASE(
    "changes from an instance that doesn't tell eras are of the known era",
    "[gateway]")
{
    const writes w;
    const store_revision newest(112, 3);
    auto known = w.known;
    for (auto& [key, item] : known)
        item.revision.era = 3;
    for (const auto& message : pack_changes(true, w.news, now)) {
        const auto batch = unpack_changes(message, known, now, newest);
        REQUIRE(batch);
        CHECK(batch->revision.era == 3);
        CHECK(batch->items.front().revision.era == 3);
    }
}
