#ifndef LOVAGEGATE_TICKET_TICKET_PARSER_HPP
#define LOVAGEGATE_TICKET_TICKET_PARSER_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/ticket/model.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Parsing of change tickets. A ticket has a number and holds the complete new
/// state of each object that it names.
namespace lovagegate::ticket {

/// Maximum size of a ticket in bytes, equal to the platform's limit for a
/// value.
inline constexpr std::size_t max_ticket_bytes = std::size_t(1024) * 1024;

/// Reason why a ticket was refused.
enum class parse_failure : std::uint8_t
{
    too_large,     ///< over max_ticket_bytes
    not_json,      ///< not one JSON text in UTF-8
    wrong_type,    ///< a value does not have the expected type
    out_of_range,  ///< a number or a length outside its range
    unknown_key,   ///< a key that is not part of the format
    missing_key,   ///< a required key is absent
    duplicate_key, ///< the same key twice in one object
    bad_value,     ///< a text that is not permitted
    empty,         ///< it names no object
};

/// @return the name used in counters and status
[[nodiscard]] std::string_view to_string(parse_failure f) noexcept;

/// Thrown when a ticket is not valid.
class parse_error : public error
{
public:
    /// @param failure the kind of failure
    /// @param path JSON pointer to the faulty value; empty for the whole text
    /// @param expected description of a valid value
    parse_error(parse_failure failure, std::string path, std::string expected);

    [[nodiscard]] parse_failure failure() const noexcept { return failure_; }
    [[nodiscard]] const std::string& path() const noexcept { return path_; }
    [[nodiscard]] const std::string& expected() const noexcept
    {
        return expected_;
    }

private:
    parse_failure failure_;
    std::string path_;
    std::string expected_;
};

/// One ticket. An object without a value is deleted by the ticket.
struct change_ticket
{
    ticket_number number = 0;
    std::map<service_id, std::optional<service>> services;
    std::map<std::string, std::optional<adapter>> adapters;
    std::map<target_id, std::optional<target>> targets;
    std::map<std::string, std::optional<weight_store>> stores;

    /// @return number of objects that the ticket names
    [[nodiscard]] std::size_t size() const noexcept
    {
        return services.size() + adapters.size() + targets.size() +
               stores.size();
    }
};

/// @param text a JSON text
/// @return the ticket, completely validated
/// @throws parse_error for the first error
[[nodiscard]] change_ticket parse(std::string_view text);

} // namespace lovagegate::ticket

#endif
