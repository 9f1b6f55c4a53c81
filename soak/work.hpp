#ifndef LOVAGEGATE_SOAK_WORK_HPP
#define LOVAGEGATE_SOAK_WORK_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Randomized soak: real instances as processes, faults from outside.
namespace lovagegate::soak {

/// How often an attempt may run, and what its answer is.
enum class work_kind : std::uint8_t
{
    once,             ///< whole answer, at most one run
    repeatable,       ///< whole answer, any number of runs
    stream_once,      ///< events, at most one run
    stream_resumable, ///< events; another run may go on
};

/// What one attempt asks a target to do. Path, bodies and events follow from
/// it, so that both ends can check what they get.
struct work
{
    std::string id;
    std::string prefix; ///< of the route, with both slashes
    work_kind kind = work_kind::once;
    int work_ms = 0; ///< until a whole answer, or between two events
    int size = 0;    ///< events of a stream, or lines of a whole answer

    bool operator==(const work&) const = default;
};

/// @return whether a second run is allowed
[[nodiscard]] bool may_repeat(work_kind kind) noexcept;
[[nodiscard]] bool is_stream(work_kind kind) noexcept;

/// @return prefix of the route that only one configuration has
[[nodiscard]] std::string marker_prefix(std::uint64_t version);

/// @return whether the work is a question for the configuration in force
[[nodiscard]] bool is_marker(const work& w);

/// @return the version that such a question is about
[[nodiscard]] std::uint64_t version_of_marker(const work& w);

/// @return the adapter that an engine needs for it, empty for plain targets
[[nodiscard]] std::string adapter_of(const work& w);

/// @return path of the request, which names all of the work
[[nodiscard]] std::string path_of(const work& w);

/// @return the work that a path names, nothing if it names none
[[nodiscard]] std::optional<work> parse_path(std::string_view path);

/// @return method of the request
[[nodiscard]] std::string method_of(work_kind kind);

/// @return body of the request, empty for a GET
[[nodiscard]] std::string request_body(const work& w);

/// @param number from 1 to the size
[[nodiscard]] std::string event_of(const work& w, int number);

/// @return the whole body of the answer
[[nodiscard]] std::string answer_body(const work& w);

} // namespace lovagegate::soak

#endif
