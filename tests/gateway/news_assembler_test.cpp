#include "lovagegate/gateway/news_assembler.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/gateway/news_codec.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

std::vector<store_changes> parts_of(const std::vector<std::string>& texts)
{
    std::string whole;
    for (const auto& text : texts)
        whole += text;
    std::vector<store_changes> out;
    for (std::uint32_t i = 0; i < texts.size(); ++i) {
        store_changes part;
        part.packed = texts[i];
        part.part = i;
        part.part_count = static_cast<std::uint32_t>(texts.size());
        part.content = stable_hash(whole);
        out.push_back(part);
    }
    return out;
}

} // namespace

TEST_CASE("a message without further parts is whole", "[gateway]")
{
    news_assembler assembler;
    store_changes message;
    message.revision = 7;
    const auto whole = assembler.add(message, {});
    REQUIRE(whole);
    CHECK(whole->revision == 7);
}

TEST_CASE("parts of several messages are joined in any order", "[gateway]")
{
    CHECK(rc::check([] {
        const auto first = parts_of({"a1", "a2", "a3"});
        const auto second = parts_of({"b1", "b2"});
        auto all = first;
        all.insert(all.end(), second.begin(), second.end());
        all.push_back(first.front());
        for (std::size_t i = all.size(); i > 1; --i)
            std::swap(all[i - 1], all[*rc::gen::inRange<std::size_t>(0, i)]);
        news_assembler assembler;
        std::vector<std::string> joined;
        for (const auto& part : all)
            if (const auto whole = assembler.add(part, {})) {
                RC_ASSERT(whole->part_count == 1U);
                joined.push_back(whole->packed);
            }
        std::ranges::sort(joined);
        RC_ASSERT(joined == (std::vector<std::string>{"a1a2a3", "b1b2"}));
    }));
}

TEST_CASE("messages with a lost part are not kept for long", "[gateway]")
{
    news_assembler assembler;
    const auto first = parts_of({"old1", "old2"});
    CHECK_FALSE(assembler.add(first[0], time_point(1s)));
    for (int i = 0; i < 10; ++i) {
        const auto lost = parts_of({"x" + std::to_string(i), "y"});
        CHECK_FALSE(assembler.add(lost[0], time_point(2s + i * 1s)));
    }
    CHECK_FALSE(assembler.add(first[1], time_point(20s)));
}

TEST_CASE("parts that contradict their message are dropped", "[gateway]")
{
    news_assembler assembler;
    auto parts = parts_of({"a", "b"});
    SECTION("a number beyond the last part")
    {
        parts[0].part = 2;
        CHECK_FALSE(assembler.add(parts[0], {}));
    }
    SECTION("more parts than messages may have")
    {
        parts[0].part_count = max_message_parts + 1;
        CHECK_FALSE(assembler.add(parts[0], {}));
    }
    SECTION("no parts")
    {
        parts[0].part_count = 0;
        CHECK_FALSE(assembler.add(parts[0], {}));
    }
    SECTION("another number of parts")
    {
        CHECK_FALSE(assembler.add(parts[0], {}));
        parts[1].part_count = 3;
        CHECK_FALSE(assembler.add(parts[1], {}));
    }
    SECTION("other bytes than announced")
    {
        CHECK_FALSE(assembler.add(parts[0], {}));
        parts[1].packed = "c";
        CHECK_FALSE(assembler.add(parts[1], {}));
    }
}
