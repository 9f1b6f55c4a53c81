#ifndef LOVAGEGATE_TICKET_INTERNAL_OBJECT_READER_HPP
#define LOVAGEGATE_TICKET_INTERNAL_OBJECT_READER_HPP

#include "lovagegate/ticket/ticket_parser.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::ticket::internal {

/// Maximum size of an object's name in bytes.
inline constexpr std::size_t max_name_bytes = 200;

/// Reads and validates the members of one JSON object, and refuses members that
/// were not read.
class object_reader
{
public:
    /// @param value the object; it must outlive the reader
    /// @param path JSON pointer to the object
    /// @throws parse_error if the value is not an object
    object_reader(const nlohmann::json& value, std::string path);

    /// @return whether the object has the key; marks the key as known
    [[nodiscard]] bool has(std::string_view key);

    /// @return the member's value
    /// @throws parse_error if it is missing
    [[nodiscard]] const nlohmann::json& at(std::string_view key);

    /// @return JSON pointer to the member
    [[nodiscard]] std::string path_of(std::string_view key) const;

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::string text_or(std::string_view key,
                                      std::string_view fallback);
    [[nodiscard]] bool bool_or(std::string_view key, bool fallback);
    [[nodiscard]] std::uint64_t unsigned_integer(std::string_view key,
                                                 std::uint64_t low,
                                                 std::uint64_t high);
    [[nodiscard]] std::uint64_t unsigned_integer_or(std::string_view key,
                                                    std::uint64_t fallback,
                                                    std::uint64_t low,
                                                    std::uint64_t high);
    [[nodiscard]] double number_or(std::string_view key, double fallback,
                                   double low, double high);
    [[nodiscard]] std::vector<std::string> name_list(std::string_view key,
                                                     bool required);

    /// @throws parse_error for the first key that is not marked as known
    void reject_unknown_keys() const;

private:
    const nlohmann::json& value_;
    std::string path_;
    std::set<std::string, std::less<>> known_;
};

/// Validates a name: 1 to max_name_bytes letters, digits, '.', '_', '-', '/'
/// and ':'.
/// @param text the name
/// @param path JSON pointer to the name
/// @throws parse_error if the name is not valid
void check_name(std::string_view text, const std::string& path);

/// @return path extended by one JSON pointer token
[[nodiscard]] std::string extend(const std::string& path,
                                 std::string_view token);

} // namespace lovagegate::ticket::internal

#endif
