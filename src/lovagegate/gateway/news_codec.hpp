#ifndef LOVAGEGATE_GATEWAY_NEWS_CODEC_HPP
#define LOVAGEGATE_GATEWAY_NEWS_CODEC_HPP

#include "lovagegate/gateway/peer_messages.hpp"
#include "lovagegate/gateway/store_reader.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages by which instances exchange the contents of the platform's store.
/// Entries change by a few bytes, many times a second, so changes are
/// compressed with the previous values, which the receivers have as well, as
/// the dictionary.
namespace lovagegate::gateway {

/// Largest number of messages into which changes are divided: room for a value
/// of a megabyte that compresses to a third. More would block the link for too
/// long.
inline constexpr std::uint32_t max_message_parts = 32;

/// Packs changes into messages of bounded size.
/// @param of_targets whether the changes are of the targets' entries
/// @param now when they are sent
/// @return the messages in order. Changes that don't fit into one message are
///         divided into parts, see news_assembler; if they don't fit into the
///         largest number of parts, `packed` is empty, and receivers must pull
///         the changes.
[[nodiscard]] std::vector<store_changes>
pack_changes(bool of_targets, const store_reader::batch& news, time_point now);

/// @param message a whole message
/// @param known values known to this instance
/// @param now when the message was received
/// @param newest revision up to which they are complete
/// @return nothing if the changes were too large to be sent, or are compressed
///         with values that this instance doesn't have
[[nodiscard]] std::optional<store_reader::batch>
unpack_changes(const store_changes& message,
               const store_reader::item_map& known, time_point now,
               store_revision newest = {});

/// Newest revisions that an instance knows.
struct known_revisions
{
    store_revision operator_keys;
    store_revision targets;
};

/// State that is sent to an instance which has missed changes.
struct state_snapshot
{
    known_revisions newest;
    std::vector<std::string> keys;                ///< all existing keys
    std::vector<platform_wire::store_item> items; ///< changed ones only
    /// Time for which deleted entries of targets may merely have expired.
    duration doubt_left{};
};

/// @param known newest revisions of the instance that requests the state
/// @return the compressed state
[[nodiscard]] std::string pack_state(const store_reader& operator_keys,
                                     const store_reader& targets,
                                     known_revisions known, time_point now);

/// @param known newest revisions of this instance
/// @throws compression_error, nlohmann::json::exception if the bytes are
///         invalid
[[nodiscard]] state_snapshot unpack_state(std::string_view packed,
                                          known_revisions known = {});

} // namespace lovagegate::gateway

#endif
