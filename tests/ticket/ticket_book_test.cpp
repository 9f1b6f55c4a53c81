#include "lovagegate/ticket/ticket_book.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <array>

using namespace lovagegate;
using namespace lovagegate::ticket;

namespace {

/// @return a ticket for the adapters whose bits are set in `objects`; which of
/// them it deletes and what the others contain depends on `variant`
std::string make_ticket(ticket_number number, unsigned objects,
                        unsigned variant)
{
    nlohmann::json adapters = nlohmann::json::object();
    for (unsigned i = 0; i < 5; ++i) {
        if ((objects & (1U << i)) == 0)
            continue;
        auto& slot = adapters["a" + std::to_string(i)];
        if (((variant + i) % 3) != 0)
            slot = {{"model", "m" + std::to_string(variant)},
                    {"versions", {std::to_string(number)}},
                    {"services", {"s"}}};
    }
    return nlohmann::json{{"ticket", number}, {"adapters", adapters}}.dump();
}

std::vector<std::string> any_tickets()
{
    const auto shape =
        rc::gen::tuple(rc::gen::inRange(1U, 9U), rc::gen::inRange(1U, 32U),
                       rc::gen::inRange(0U, 4U));
    std::vector<std::string> tickets;
    for (const auto& [n, objects, variant] :
         *rc::gen::container<
             std::vector<std::tuple<unsigned, unsigned, unsigned>>>(shape))
        tickets.push_back(make_ticket(n, objects, variant));
    return tickets;
}

bool same_state(const ticket_book& a, const ticket_book& b)
{
    return a.state().adapters == b.state().adapters &&
           a.digest().digest == b.digest().digest &&
           a.digest().highest == b.digest().highest &&
           a.held_hashes() == b.held_hashes();
}

} // namespace

TEST_CASE("tickets give the same state in any order and with repeats",
          "[ticket]")
{
    CHECK(rc::check("order and repetition do not matter", [] {
        const std::vector<std::string> tickets = any_tickets();
        counters c;
        ticket_book first(c);
        ticket_book second(c);
        for (const std::string& t : tickets)
            first.apply(t);
        auto shuffled = tickets;
        for (std::size_t i = 0; i < shuffled.size(); ++i)
            std::swap(
                shuffled[i],
                shuffled[*rc::gen::inRange<std::size_t>(0, shuffled.size())]);
        for (const std::string& t : shuffled) {
            second.apply(t);
            second.apply(t);
        }
        RC_ASSERT(same_state(first, second));
    }));
}

TEST_CASE("one exchange of pulls repairs lost tickets", "[ticket]")
{
    CHECK(rc::check("after pulling from each other two books are equal", [] {
        counters c;
        ticket_book first(c);
        ticket_book second(c);
        for (const std::string& t : any_tickets()) {
            const int lost = *rc::gen::inRange(0, 4);
            if (lost != 1)
                first.apply(t);
            if (lost != 2)
                second.apply(t);
        }
        for (const auto& t :
             first.missing_tickets({second.held_hashes(), 0}, 1U << 20U))
            second.apply(t);
        for (const auto& t :
             second.missing_tickets({first.held_hashes(), 0}, 1U << 20U))
            first.apply(t);
        RC_ASSERT(same_state(first, second));
    }));
}

TEST_CASE("no object ever goes back to a lower number", "[ticket]")
{
    CHECK(rc::check("numbers only rise", [] {
        counters c;
        ticket_book book(c);
        std::array<ticket_number, 5> seen{};
        for (const std::string& t : any_tickets()) {
            book.apply(t);
            for (std::size_t i = 0; i < seen.size(); ++i) {
                const auto n = book.number_of(object_kind::adapter,
                                              "a" + std::to_string(i));
                RC_ASSERT(n >= seen[i]);
                seen[i] = n;
            }
        }
    }));
}

TEST_CASE("a late older ticket does not revert a deletion", "[ticket]")
{
    counters c;
    ticket_book book(c);
    book.apply(R"({"ticket":9,"adapters":{"a":null}})");
    const auto late = book.apply(R"({"ticket":8,"adapters":{"a":{"model":"m",
                       "versions":["1"]}}})");
    CHECK(late.result == apply_result::superseded);
    CHECK(book.state().adapters.empty());
    CHECK(book.ticket_count() == 1);
}

TEST_CASE("a ticket is stored only while it is in force for an object",
          "[ticket]")
{
    counters c;
    ticket_book book(c);
    for (ticket_number n = 1; n <= 100; ++n)
        book.apply(make_ticket(n, 31, 1));
    CHECK(book.ticket_count() == 1);
}

TEST_CASE("a refused ticket changes nothing and its error names the path",
          "[ticket]")
{
    counters c;
    ticket_book book(c);
    book.apply(make_ticket(1, 31, 1));
    const auto before = book.digest().digest;
    const auto outcome = book.apply(
        R"({"ticket":2,"adapters":{"a1":null},
            "targets":{"e/1":{"group":"g","kind":"engine","port":70000,
            "address":"127.0.0.1","failure_domain":"d","model":"m"}}})");
    REQUIRE(outcome.result == apply_result::refused);
    CHECK(outcome.error->failure() == parse_failure::out_of_range);
    CHECK(outcome.error->path() == "/targets/e~11/port");
    CHECK(book.digest().digest == before);
    CHECK(c.count("ticket_refusals{reason=\"out_of_range\"}") == 1);
}

TEST_CASE("two tickets with one number are counted as a conflict", "[ticket]")
{
    counters c;
    ticket_book book(c);
    book.apply(make_ticket(3, 1, 1));
    CHECK(book.apply(make_ticket(3, 1, 2)).conflict);
    CHECK(c.count("tickets_conflicting") == 1);
}

TEST_CASE("preview returns the effect of a ticket and changes nothing",
          "[ticket]")
{
    counters c;
    ticket_book book(c);
    book.apply(make_ticket(5, 3, 1));
    const auto before = book.revision();
    const auto changes = book.preview(make_ticket(6, 5, 2));
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].change == change_kind::changed);
    CHECK(changes[1].change == change_kind::created);
    CHECK(book.preview(make_ticket(4, 1, 1)).front().change ==
          change_kind::superseded);
    CHECK(book.revision() == before);
}
