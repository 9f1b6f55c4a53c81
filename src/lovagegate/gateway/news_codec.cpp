#include "lovagegate/gateway/news_codec.hpp"

#include "lovagegate/core/cbor.hpp"
#include "lovagegate/core/compression.hpp"
#include "lovagegate/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::gateway {

namespace {

using nlohmann::json;
using platform_wire::store_item;

/// Size of the values in one message before compression; about one packet when
/// compressed.
constexpr std::size_t target_message_bytes = 6000;
/// Compressed bytes in one datagram.
constexpr std::size_t max_message_bytes = 12000;
/// A value has at most a megabyte, and a message that contains such a value
/// holds little else.
constexpr std::size_t max_content_bytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t max_state_bytes = std::size_t{16} * 1024 * 1024;

/// @return the era at a position of an array, 0 if the array comes from an
///         earlier version, which doesn't know eras
std::uint64_t era_at(const json& j, std::size_t position)
{
    return j.size() > position ? j.at(position).get<std::uint64_t>() : 0;
}

json write(const store_item& i)
{
    return json::array(
        {i.key, i.value, i.revision.number, i.deleted, i.revision.era});
}

store_item read(const json& j, store_revision known)
{
    return {j.at(0).get<std::string>(), j.at(1).get<std::string>(),
            in_era({j.at(2).get<std::uint64_t>(), era_at(j, 4)}, known),
            j.at(3).get<bool>()};
}

/// Appends a message, in parts if it is too large for one datagram.
void append_parts(std::vector<store_changes>& out, store_changes message)
{
    const std::string packed = std::exchange(message.packed, {});
    const std::size_t count =
        (packed.size() + max_message_bytes - 1) / max_message_bytes;
    if (count > max_message_parts) {
        out.push_back(std::move(message));
        return;
    }
    message.part_count = static_cast<std::uint32_t>(count);
    if (count > 1)
        message.content = stable_hash(packed);
    for (; message.part < count; ++message.part) {
        out.push_back(message);
        out.back().packed =
            packed.substr(message.part * max_message_bytes, max_message_bytes);
    }
}

store_changes pack(bool of_targets, const store_reader::batch& news,
                   time_point now, store_revision after,
                   store_revision revision, std::span<const store_item> items)
{
    store_changes out{of_targets, after, revision,
                      std::max(duration::zero(), news.doubt_until - now)};
    std::string dictionary;
    json content = json::array();
    for (const auto& item : items) {
        content.push_back(write(item));
        const auto before = news.previous_values.find(item.key);
        if (before == news.previous_values.end() || item.deleted)
            continue;
        out.bases.push_back({item.key, before->second.revision});
        dictionary += before->second.value;
    }
    out.packed = compress(write_cbor(content), dictionary);
    return out;
}

} // namespace

std::vector<store_changes>
pack_changes(bool of_targets, const store_reader::batch& news, time_point now)
{
    auto items = news.items;
    std::ranges::sort(items, {}, &store_item::revision);
    std::vector<store_changes> out;
    store_revision after = news.after;
    for (std::size_t from = 0; from < items.size();) {
        std::size_t to = from;
        std::size_t bytes = 0;
        while (to < items.size() &&
               (to == from ||
                bytes + items[to].value.size() <= target_message_bytes))
            bytes += items[to++].value.size();
        const bool last = to == items.size();
        const store_revision revision =
            last ? news.revision
                 : std::min(items[to - 1].revision, news.revision);
        append_parts(out, pack(of_targets, news, now, after, revision,
                               std::span(items).subspan(from, to - from)));
        after = revision;
        from = to;
    }
    return out;
}

std::optional<store_reader::batch>
unpack_changes(const store_changes& message,
               const store_reader::item_map& known, time_point now,
               store_revision newest)
{
    if (message.packed.empty())
        return std::nullopt;
    std::string dictionary;
    for (const auto& base : message.bases) {
        const auto it = known.find(base.key);
        if (it == known.end() ||
            it->second.revision != in_era(base.revision, newest))
            return std::nullopt;
        dictionary += it->second.value;
    }
    store_reader::batch out;
    out.after = in_era(message.after, newest);
    out.revision = in_era(message.revision, newest);
    out.doubt_until = now + message.doubt_left;
    try {
        const json content = read_cbor(
            decompress(message.packed, max_content_bytes, dictionary));
        for (const json& item : content)
            out.items.push_back(read(item, newest));
    } catch (const compression_error&) {
        return std::nullopt; // the caller counts the failure
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return out;
}

std::string pack_state(const store_reader& operator_keys,
                       const store_reader& targets, known_revisions known,
                       time_point now)
{
    json keys = json::array();
    json items = json::array();
    const auto add = [&](const store_reader& reader, store_revision after) {
        for (const auto& [key, item] : reader.items()) {
            keys.push_back(key);
            if (item.revision > after)
                items.push_back(write(item));
        }
    };
    add(operator_keys, known.operator_keys);
    add(targets, known.targets);
    return compress(write_cbor(json::array(
        {operator_keys.newest().number, targets.newest().number,
         std::move(keys), std::move(items), targets.doubt_left(now).count(),
         operator_keys.newest().era, targets.newest().era})));
}

state_snapshot unpack_state(std::string_view packed, known_revisions known)
{
    const json page = read_cbor(decompress(packed, max_state_bytes));
    state_snapshot out;
    out.newest = {in_era({page.at(0).get<std::uint64_t>(), era_at(page, 5)},
                         known.operator_keys),
                  in_era({page.at(1).get<std::uint64_t>(), era_at(page, 6)},
                         known.targets)};
    out.keys = page.at(2).get<std::vector<std::string>>();
    for (const json& item : page.at(3))
        out.items.push_back(read(item, out.newest.targets));
    constexpr std::size_t doubt_position = 4;
    if (page.size() > doubt_position) // absent in states of earlier versions
        out.doubt_left = duration(page.at(doubt_position).get<duration::rep>());
    return out;
}

} // namespace lovagegate::gateway
