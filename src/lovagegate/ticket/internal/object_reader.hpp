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

/// Longest name of an object in bytes.
inline constexpr std::size_t max_name_bytes = 200;

/// Reads the keys of one JSON object, each checked, and refuses the others.
class object_reader
{
public:
    /// @param value to be read; it must outlive the reader
    /// @param path JSON pointer to it
    /// @throws parse_error if it is no object
    object_reader(const nlohmann::json& value, std::string path);

    /// @return whether the key is there
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

    /// @throws parse_error for the first key that was not asked for
    void reject_unknown_keys() const;

private:
    const nlohmann::json& value_;
    std::string path_;
    std::set<std::string, std::less<>> known_;
};

/// @param text to be checked
/// @param path JSON pointer to it
/// @throws parse_error unless it is a name: 1 to max_name_bytes of letters,
/// digits, '.', '_', '-' and, inside, '/' and ':'
void check_name(std::string_view text, const std::string& path);

/// @return path extended by one JSON pointer token
[[nodiscard]] std::string extend(const std::string& path,
                                 std::string_view token);

} // namespace lovagegate::ticket::internal

#endif
