#include "standins/engine/adapter_slots.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using standins::adapter_slots;
using standins::order_answer;

TEST_CASE("an adapter is held once its load has ended", "[standins]")
{
    adapter_slots s(1, false);
    CHECK(s.begin_load("a@1", 1) == order_answer::done);
    CHECK_FALSE(s.holds("a@1"));
    CHECK(s.begin_load("a@1", 1) == order_answer::already_loaded);
    CHECK(s.begin_load("b@1", 1) == order_answer::no_free_slot);
    CHECK(s.loaded("a@1"));
    CHECK(s.holds("a@1"));
}

TEST_CASE("only an engine that checks refuses old tokens", "[standins]")
{
    adapter_slots strict(2, true);
    CHECK(strict.begin_load("a@1", 7) == order_answer::done);
    CHECK(strict.begin_load("b@1", 6) == order_answer::stale_token);
    CHECK(strict.highest_token() == 7);
    adapter_slots loose(2, false);
    CHECK(loose.begin_load("a@1", 7) == order_answer::done);
    CHECK(loose.begin_load("b@1", 6) == order_answer::done);
}

TEST_CASE("an eviction in use is carried out and counted", "[standins]")
{
    adapter_slots s(2, false);
    s.begin_load("a@1", 1);
    s.loaded("a@1");
    s.use("a@1");
    CHECK(s.unload("a@1", 1) == order_answer::done);
    CHECK(s.evicted_in_use() == 1);
    s.release("a@1");
    CHECK(s.unload("a@1", 1) == order_answer::not_loaded);
    CHECK(s.evicted_in_use() == 1);
}
