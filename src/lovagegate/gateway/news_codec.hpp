#ifndef LOVAGEGATE_GATEWAY_NEWS_CODEC_HPP
#define LOVAGEGATE_GATEWAY_NEWS_CODEC_HPP

#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/gateway/store_reader.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// How instances tell each other what the platform's store holds. Entries
/// change in a few bytes, many times a second: changes are compressed with the
/// values before them, which the receivers have as well.
namespace lovagegate::gateway {

/// Packs changes into messages of bounded size.
/// @param of_targets whether they are of the targets' entries
/// @return messages in order; one that would be too large has no bytes, and
///         its changes must be pulled
[[nodiscard]] std::vector<store_changes>
pack_changes(bool of_targets, const store_reader::batch& news);

/// @param known values of this instance
/// @return nothing if the message is too large to be carried, or builds on
///         values that this instance doesn't have
[[nodiscard]] std::optional<store_reader::batch>
unpack_changes(const store_changes& message,
               const store_reader::item_map& known);

/// Newest changes that an instance knows.
struct known_revisions
{
    std::uint64_t operator_keys = 0;
    std::uint64_t targets = 0;
};

/// What an instance that was out of touch must hear.
struct state_snapshot
{
    known_revisions newest;
    std::vector<std::string> keys;                ///< all that there are
    std::vector<platform_wire::store_item> items; ///< changed ones
};

/// @param known to the instance that asks
/// @return the page, compressed
[[nodiscard]] std::string pack_state(const store_reader& operator_keys,
                                     const store_reader& targets,
                                     known_revisions known);

/// @throws compression_error, nlohmann::json::exception for other bytes
[[nodiscard]] state_snapshot unpack_state(std::string_view packed);

} // namespace lovagegate::gateway

#endif
