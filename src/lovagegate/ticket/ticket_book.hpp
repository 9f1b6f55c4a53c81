#ifndef LOVAGEGATE_TICKET_TICKET_BOOK_HPP
#define LOVAGEGATE_TICKET_TICKET_BOOK_HPP

#include "lovagegate/core/counters.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/protocol/messages.hpp"
#include "lovagegate/ticket/ticket_parser.hpp"

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lovagegate::ticket {

enum class object_kind : std::uint8_t
{
    service,
    adapter,
    target,
    store,
};

/// @return the plural used as section name in tickets
[[nodiscard]] std::string_view to_string(object_kind k) noexcept;

/// Orders tickets by number. Two tickets with the same number are an operator
/// error; the hash then breaks the tie, so that all instances agree.
struct ticket_rank
{
    ticket_number number = 0;
    std::uint64_t content = 0; ///< stable hash of the whole text

    friend auto operator<=>(const ticket_rank&, const ticket_rank&) = default;
};

enum class apply_result : std::uint8_t
{
    accepted,   ///< in force for at least one object
    superseded, ///< valid, but every object has a newer state
    duplicate,  ///< the same text was applied before
    refused,    ///< invalid; the state in force is unchanged
};

struct apply_outcome
{
    apply_result result = apply_result::accepted;
    ticket_rank rank;
    bool conflict = false; ///< another text has the same number
    std::optional<parse_error> error;
};

/// A refused ticket, as shown on the status page.
struct refused_ticket
{
    std::uint64_t content = 0;
    parse_failure failure = parse_failure::not_json;
    std::string path;
    std::string expected;
};

enum class change_kind : std::uint8_t
{
    created,
    changed,
    deleted,
    unchanged,  ///< the same state with a higher number
    superseded, ///< a higher ticket is in force; no effect
};

/// The effect that a ticket would have on one object.
struct object_change
{
    object_kind kind = object_kind::service;
    std::string name;
    change_kind change = change_kind::unchanged;
};

/// The declared state in force: for each object, the state from the ticket with
/// the highest rank that names it. The result does not depend on the order,
/// repetition or delay in which tickets arrive.
class ticket_book
{
public:
    /// @param c counters of the instance; must outlive the book
    explicit ticket_book(counters& c) : counters_(c) {}

    /// Applies a ticket completely, or refuses it without any effect.
    /// @param raw the ticket as published
    apply_outcome apply(std::string_view raw);
    /// @copydoc apply(std::string_view)
    /// @param now unused; present for the caller's log
    apply_outcome apply(std::string_view raw, time_point now);

    [[nodiscard]] const declared_state& state() const noexcept
    {
        return state_;
    }

    /// @return a digest that is equal for two books if and only if they hold
    /// the same state, except for hash collisions
    [[nodiscard]] protocol::ticket_digest digest() const noexcept;

    /// @return number of the ticket in force for the object, which may be
    /// deleted; 0 if no ticket names it
    [[nodiscard]] ticket_number number_of(object_kind kind,
                                          std::string_view name) const;

    /// @param from lowest number
    /// @return content hashes of the stored tickets with at least that number
    [[nodiscard]] std::vector<std::uint64_t>
    held_hashes(ticket_number from = 0) const;

    /// @param pull hashes of the tickets that a peer holds
    /// @param max_bytes limit of the total size; the first text is always
    /// returned
    /// @return texts that the peer lacks, highest number first
    [[nodiscard]] std::vector<std::string>
    missing_tickets(const protocol::ticket_pull& pull,
                    std::size_t max_bytes) const;

    /// @param count number of tickets
    /// @return the ticket number of the count-th newest stored ticket; 0 if no
    /// more than count tickets are stored
    [[nodiscard]] ticket_number lowest_recent_number(std::size_t count) const;

    /// @return number of stored tickets
    [[nodiscard]] std::size_t ticket_count() const noexcept
    {
        return tickets_.size();
    }

    /// @return total size of the stored tickets in bytes
    [[nodiscard]] std::size_t ticket_bytes() const noexcept
    {
        return ticket_bytes_;
    }

    /// @return the most recent refusals, at most max_refusals
    [[nodiscard]] const std::deque<refused_ticket>& refusals() const noexcept
    {
        return refusals_;
    }

    /// @return a number that increases whenever a ticket is accepted
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    /// @param raw a ticket
    /// @return its effect on each object it names; nothing is changed
    /// @throws parse_error if it would be refused
    [[nodiscard]] std::vector<object_change>
    preview(std::string_view raw) const;

    static constexpr std::size_t max_refusals = 16;
    /// Maximum number of text hashes stored to detect repeats without parsing.
    static constexpr std::size_t max_seen = 65'536;

private:
    struct object_key
    {
        object_kind kind;
        std::string name;

        friend auto operator<=>(const object_key&, const object_key&) = default;
    };
    struct stored_ticket
    {
        std::string text;
        std::size_t objects = 0; ///< objects for which it is in force
    };

    apply_outcome refuse(std::uint64_t content, const parse_error& e);
    apply_outcome accept(std::string_view raw, const change_ticket& t,
                         std::uint64_t content);
    template <typename Map, typename State>
    std::size_t apply_section(object_kind kind, const Map& changes,
                              State& objects, ticket_rank rank);
    bool raise_rank(object_kind kind, const std::string& name,
                    ticket_rank rank);
    void release_reference(ticket_rank rank);
    void mark_seen(std::uint64_t content);
    template <typename Map, typename State>
    void preview_section(object_kind kind, const Map& changes,
                         const State& objects, ticket_rank rank,
                         std::vector<object_change>& into) const;

    counters& counters_;
    declared_state state_;
    std::map<object_key, ticket_rank> ranks_; ///< deleted objects included
    std::map<ticket_rank, stored_ticket> tickets_;
    std::unordered_set<std::uint64_t> seen_;
    std::deque<refused_ticket> refusals_;
    std::uint64_t digest_ = 0;
    std::uint64_t revision_ = 0;
    std::size_t ticket_bytes_ = 0;
};

} // namespace lovagegate::ticket

#endif
