#ifndef LOVAGEGATE_TICKET_TICKET_PARSER_HPP
#define LOVAGEGATE_TICKET_TICKET_PARSER_HPP

#include "lovagegate/core/error.hpp"
#include "lovagegate/ticket/model.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Change tickets: numbered, each with the whole new state of what it touches.
namespace lovagegate::ticket {

/// Largest ticket in bytes, which is the largest value of the platform.
inline constexpr std::size_t max_ticket_bytes = std::size_t(1024) * 1024;

/// Why a ticket was refused whole.
enum class parse_failure : std::uint8_t
{
    too_large,     ///< over max_ticket_bytes
    not_json,      ///< not one JSON text in UTF-8
    wrong_type,    ///< a value of another type than expected
    out_of_range,  ///< a number or a length outside its range
    unknown_key,   ///< a key that no ticket has
    missing_key,   ///< a required key is absent
    duplicate_key, ///< the same key twice in one object
    bad_value,     ///< right type, but not one of the permitted texts
    empty,         ///< it touches nothing
};

/// @return the name used in counters and status
[[nodiscard]] std::string_view to_string(parse_failure f) noexcept;

/// A ticket that cannot be taken in.
class parse_error : public error
{
public:
    /// @param failure the kind of failure
    /// @param path JSON pointer to the place, empty for the whole text
    /// @param expected what should have been there
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

    /// @return how many objects the ticket touches
    [[nodiscard]] std::size_t size() const noexcept
    {
        return services.size() + adapters.size() + targets.size() +
               stores.size();
    }
};

/// @param text a JSON text
/// @return the ticket, checked whole
/// @throws parse_error at the first thing that is wrong
[[nodiscard]] change_ticket parse(std::string_view text);

} // namespace lovagegate::ticket

#endif
