#ifndef LOVAGEGATE_MEMBERSHIP_LIST_HISTORY_HPP
#define LOVAGEGATE_MEMBERSHIP_LIST_HISTORY_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/node/inputs.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lovagegate::membership {

/// The period in which one instance has been the rendezvous winner for a key
/// under every list received.
struct tenure
{
    time_point since{};
    /// The preceding winner; none: the history holds no earlier list.
    std::optional<instance_id> previous;
};

/// The instance lists that this instance has used, newest last. The first
/// instance for a key is the rendezvous winner among the listed instances that
/// are not marked as leaving, or among all if every one is leaving. It depends
/// only on the published list.
class list_history
{
public:
    /// Appends a list if it differs from the newest one or follows a gap.
    /// @param list the instances of the new list
    /// @param now when the list was received
    /// @param after_gap whether the previous list went unconfirmed for so long
    /// that intermediate lists may have been missed; every tenure then restarts
    /// @return whether the list differs from the previous one
    bool add(std::span<const node::listed_instance> list, time_point now,
             bool after_gap = false);

    /// Removes the lists that were superseded before a time.
    void forget_before(time_point t);

    /// @return the rendezvous winner for the key in the newest list; none: the
    /// list is empty
    [[nodiscard]] std::optional<instance_id> first(std::string_view key) const;

    /// @return the rendezvous winner for the key in the newest list if one
    /// instance is left out
    [[nodiscard]] std::optional<instance_id>
    first_without(std::string_view key, const instance_id& without) const;

    /// @return the member's tenure; none unless it is the rendezvous winner for
    /// the key in the newest list
    [[nodiscard]] std::optional<tenure>
    tenure_of(std::string_view key, const instance_id& member) const;

    /// Returns the member's tenure up to the point where the successor became
    /// the rendezvous winner for the key, ignoring the newest lists in which
    /// the successor wins.
    /// @return none if neither of the two wins in the newest list, or if an
    /// instance other than the member won before the successor
    [[nodiscard]] std::optional<tenure>
    tenure_before_successor(std::string_view key, const instance_id& member,
                            const instance_id& successor) const;

    /// @return the time since which every list has contained the instance;
    /// none: the newest list does not contain it
    [[nodiscard]] std::optional<time_point>
    listed_since(const instance_id& member) const;

    [[nodiscard]] std::size_t size() const noexcept { return lists_.size(); }

    /// Maximum number of lists in the history.
    static constexpr std::size_t max_lists = 256;

private:
    struct member
    {
        instance_id id;
        std::uint64_t hash = 0;
        bool leaving = false;

        friend bool operator==(const member&, const member&) = default;
    };
    struct list
    {
        time_point from{};
        bool after_gap = false;
        std::vector<member> members; ///< sorted by id
    };

    static const member* winner_in(const list& l, std::uint64_t key,
                                   const instance_id* without = nullptr);
    static const member* find_member(const list& l, const instance_id& id);

    std::deque<list> lists_;
};

/// @return the rendezvous weight of a member for a key; the highest wins
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t key_hash,
                                              std::uint64_t member_hash);

} // namespace lovagegate::membership

#endif
