#include "lovagegate/gateway/news_assembler.hpp"

#include "lovagegate/core/hash.hpp"
#include "lovagegate/gateway/news_codec.hpp"

#include <algorithm>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// Messages of which parts are missing; a part that is lost leaves one here.
constexpr std::size_t max_incomplete_messages = 4;

} // namespace

std::optional<store_changes> news_assembler::add(store_changes part,
                                                 time_point now)
{
    if (part.part_count == 1)
        return part;
    if (part.part >= part.part_count || part.part_count > max_message_parts ||
        part.packed.empty())
        return std::nullopt;
    if (!incomplete_.contains(part.content) &&
        incomplete_.size() >= max_incomplete_messages)
        discard_oldest();
    const auto [it, is_new] = incomplete_.try_emplace(part.content);
    incomplete& message = it->second;
    if (is_new)
        message = {std::vector<std::string>(part.part_count), part.part_count,
                   now};
    if (message.parts.size() != part.part_count ||
        !message.parts[part.part].empty())
        return std::nullopt;
    message.parts[part.part] = std::move(part.packed);
    if (--message.missing > 0)
        return std::nullopt;
    part.packed.clear();
    for (const auto& packed : message.parts)
        part.packed += packed;
    incomplete_.erase(it);
    if (stable_hash(part.packed) != part.content)
        return std::nullopt;
    part.part = 0;
    part.part_count = 1;
    return part;
}

void news_assembler::discard_oldest()
{
    incomplete_.erase(std::ranges::min_element(
        incomplete_, {}, [](const auto& entry) { return entry.second.since; }));
}

} // namespace lovagegate::gateway
