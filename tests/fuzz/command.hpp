#ifndef LOVAGEGATE_TESTS_FUZZ_COMMAND_HPP
#define LOVAGEGATE_TESTS_FUZZ_COMMAND_HPP

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace lovagegate::fuzz {

/// What callers, operators and failures do.
enum class deed : std::uint8_t
{
    wait,
    draft,         ///< a completion on an adapter
    draft_version, ///< a completion on an adapter at one version
    overnight,     ///< a batch completion
    lookup,        ///< an idempotent plain call
    signoff,       ///< a non-idempotent call under a new id
    resend,        ///< a non-idempotent call under an id used before
    stale_signoff, ///< a non-idempotent call issued long ago
    poison,        ///< a completion that breaks its engine, sent again often
    leave,         ///< a caller leaves
    adapter_change,
    target_change,
    crash_target,
    lose_answers,
    fail_loads,
    platform_down,
    platform_stale,
    platform_up,
    partition,
    heal,
    lose_messages,
    pause,
    wake,
    kill,
    stop,
    restart,
    skew,
};

inline constexpr std::uint8_t deed_count = 27;

/// One step of a case; `a` and `b` choose instance, adapter, target or number.
struct command
{
    deed what = deed::wait;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
};

/// @param text commands in the form in which a failed case is printed
[[nodiscard]] std::vector<command> parse_commands(const std::string& text);

std::ostream& operator<<(std::ostream& out, const command& c);

} // namespace lovagegate::fuzz

#endif
