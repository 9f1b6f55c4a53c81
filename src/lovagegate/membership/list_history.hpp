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

/// Since when one instance has been the first for a key under every list seen.
struct tenure
{
    time_point since{};
    /// The first before that; none: no list is remembered from before.
    std::optional<instance_id> previous;
};

/// The instance lists that were in effect here, newest last. The first for a
/// key is the rendezvous winner over the listed instances that are not marked
/// as leaving, so that it depends on nothing but what the platform published.
class list_history
{
public:
    /// @param list to be in effect from now on
    /// @param now when it was received
    /// @param after_gap the list was not confirmed for so long before that
    /// other lists may have come and gone unseen: every tenure starts anew
    /// @return whether it differs from the list before
    bool add(std::span<const node::listed_instance> list, time_point now,
             bool after_gap = false);

    /// Forgets lists that ceased to be in effect before a time.
    void forget_before(time_point t);

    /// @return the first for the key in the newest list; none: empty list
    [[nodiscard]] std::optional<instance_id> first(std::string_view key) const;

    /// @return the first for the key in the newest list without one member
    [[nodiscard]] std::optional<instance_id>
    first_without(std::string_view key, const instance_id& without) const;

    /// @return the member's tenure; none unless it is the first for the key
    /// under the newest list
    [[nodiscard]] std::optional<tenure>
    tenure_of(std::string_view key, const instance_id& member) const;

    /// @return since when the member has been the first for the key in every
    /// list, apart from the newest ones in which a successor is the first
    /// after it joined; none: neither of the two is the first, or the
    /// successor was the first before the member
    [[nodiscard]] std::optional<tenure>
    tenure_before_successor(std::string_view key, const instance_id& member,
                            const instance_id& successor) const;

    /// @return since when the instance has been in every list without a gap;
    /// none: it is not in the newest list
    [[nodiscard]] std::optional<time_point>
    listed_since(const instance_id& member) const;

    [[nodiscard]] std::size_t size() const noexcept { return lists_.size(); }

    /// Lists remembered at most.
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

/// @return the weight of a member for a key; the highest weight wins
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t key_hash,
                                              std::uint64_t member_hash);

} // namespace lovagegate::membership

#endif
