#include "soak/work.hpp"

#include <charconv>
#include <vector>

namespace lovagegate::soak {

namespace {

constexpr std::string_view kind_letters = "orsu";
constexpr std::string_view engine_start = "/engine-";
/// Adapters that engines are asked for.
constexpr int adapters = 5;
constexpr std::string_view marker_start = "/mark-";
/// Kind, id, time and size, behind the prefix.
constexpr std::size_t named_parts = 4;
/// Longest request body, in repeats of the id.
constexpr int body_repeats = 40;

std::vector<std::string_view> split(std::string_view path)
{
    std::vector<std::string_view> out;
    for (;;) {
        const auto slash = path.find('/');
        out.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos)
            return out;
        path.remove_prefix(slash + 1);
    }
}

std::optional<int> number(std::string_view text)
{
    int n = 0;
    const auto [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    if (failure != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

} // namespace

bool may_repeat(work_kind kind) noexcept
{
    return kind == work_kind::repeatable || kind == work_kind::stream_resumable;
}

bool is_stream(work_kind kind) noexcept
{
    return kind == work_kind::stream_once ||
           kind == work_kind::stream_resumable;
}

std::string marker_prefix(std::uint64_t version)
{
    return std::string(marker_start) + std::to_string(version) + '/';
}

bool is_marker(const work& w)
{
    return w.prefix.starts_with(marker_start);
}

std::uint64_t version_of_marker(const work& w)
{
    std::uint64_t version = 0;
    const char* const from = w.prefix.data() + marker_start.size();
    std::from_chars(from, w.prefix.data() + w.prefix.size(), version);
    return version;
}

std::string adapter_of(const work& w)
{
    if (!w.prefix.starts_with(engine_start))
        return {};
    return "a" + std::to_string(w.size % adapters);
}

std::string path_of(const work& w)
{
    return w.prefix + kind_letters[static_cast<std::size_t>(w.kind)] + '/' +
           w.id + '/' + std::to_string(w.work_ms) + '/' +
           std::to_string(w.size);
}

std::optional<work> parse_path(std::string_view path)
{
    const auto parts = split(path);
    if (parts.size() < named_parts + 2)
        return std::nullopt;
    const auto* const last = &parts[parts.size() - named_parts];
    const auto kind = kind_letters.find(last[0]);
    const auto work_ms = number(last[2]);
    const auto size = number(last[3]);
    if (last[0].size() != 1 || kind == std::string_view::npos || !work_ms ||
        !size)
        return std::nullopt;
    const auto prefix_end =
        static_cast<std::size_t>(last[0].data() - path.data());
    return work{std::string(last[1]), std::string(path.substr(0, prefix_end)),
                static_cast<work_kind>(kind), *work_ms, *size};
}

std::string method_of(work_kind kind)
{
    return kind == work_kind::repeatable ? "GET" : "POST";
}

std::string request_body(const work& w)
{
    std::string out;
    if (w.kind != work_kind::repeatable)
        for (int i = 0; i <= w.size % body_repeats; ++i)
            out += w.id + ';';
    return out;
}

std::string event_of(const work& w, int event)
{
    const std::string n = std::to_string(event);
    return "id: " + n + "\ndata: " + w.id + ' ' + n + "\n\n";
}

std::string answer_body(const work& w)
{
    std::string out;
    for (int i = 1; i <= w.size; ++i)
        out += is_stream(w.kind) ? event_of(w, i)
                                 : w.id + ' ' + std::to_string(i) + '\n';
    return out;
}

} // namespace lovagegate::soak
