#ifndef LOVAGEGATE_QUOTA_MESSAGE_PARTS_HPP
#define LOVAGEGATE_QUOTA_MESSAGE_PARTS_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace lovagegate::quota {

/// A message with `entries` that may be split into parts.
template <typename T>
concept partial_message = requires(T m)
{
    m.start;
    m.sequence;
    m.part;
    m.part_count;
    m.entries;
};

/// Entries in one datagram, of at most 28 bytes each.
inline constexpr std::size_t max_entries_per_part = 40;
inline constexpr std::uint32_t max_parts = 512;

/// @param whole a message with any number of entries
/// @return messages that fit into datagrams
template <partial_message Message>
[[nodiscard]] std::vector<Message> split(Message whole)
{
    const auto entries = std::move(whole.entries);
    whole.entries.clear();
    const std::size_t count = std::max<std::size_t>(
        1, (entries.size() + max_entries_per_part - 1) / max_entries_per_part);
    whole.part_count = static_cast<std::uint32_t>(count);
    std::vector<Message> out(count, whole);
    for (std::size_t i = 0; i < entries.size(); ++i)
        out[i / max_entries_per_part].entries.push_back(entries[i]);
    for (std::size_t i = 0; i < count; ++i)
        out[i].part = static_cast<std::uint32_t>(i);
    return out;
}

/// Orders the messages of one sender: ignores those that are duplicated, are
/// older than one that was taken, or come from an earlier run of the sender,
/// and joins parts.
template <partial_message Message>
class message_sequence
{
public:
    /// @return the whole message if it is complete and newer; its entries
    const Message* take(const Message& m)
    {
        if (m.part_count == 0 || m.part_count > max_parts ||
            m.part >= m.part_count)
            return nullptr;
        if (!begun_ || m.start != start_) {
            // Starts are wall clock times, which may step back.
            if (begun_ && m.start == earlier_start_)
                return nullptr;
            earlier_start_ = begun_ ? start_ : m.start - 1;
            begun_ = true;
            start_ = m.start;
            taken_ = joining_ = 0;
        }
        if (m.sequence <= taken_ || m.sequence < joining_)
            return nullptr;
        if (m.sequence > joining_) {
            joining_ = m.sequence;
            parts_.clear();
            whole_ = m;
            whole_.entries.clear();
        }
        if (!parts_.insert(m.part).second)
            return nullptr;
        whole_.entries.insert(whole_.entries.end(), m.entries.begin(),
                              m.entries.end());
        if (parts_.size() < m.part_count)
            return nullptr;
        taken_ = m.sequence;
        return &whole_;
    }

    [[nodiscard]] std::uint64_t start() const noexcept { return start_; }
    [[nodiscard]] std::uint64_t taken() const noexcept { return taken_; }

private:
    bool begun_ = false;
    std::uint64_t start_ = 0;
    std::uint64_t earlier_start_ = 0;
    std::uint64_t taken_ = 0;   ///< sequence number of the last whole message
    std::uint64_t joining_ = 0; ///< that of the message whose parts arrive
    std::set<std::uint32_t> parts_;
    Message whole_;
};

} // namespace lovagegate::quota

#endif
