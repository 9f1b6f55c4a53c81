#include "lovagegate/ticket/internal/object_reader.hpp"

#include <algorithm>

namespace lovagegate::ticket::internal {

namespace {

std::string range_text(std::string_view kind, double low, double high)
{
    return std::string(kind) + " from " + nlohmann::json(low).dump() + " to " +
           nlohmann::json(high).dump();
}

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           std::string_view("._-/:").find(c) != std::string_view::npos;
}

} // namespace

std::string extend(const std::string& path, std::string_view token)
{
    std::string result = path + '/';
    for (const char c : token) {
        if (c == '~')
            result += "~0";
        else if (c == '/')
            result += "~1";
        else
            result += c;
    }
    return result;
}

void check_name(std::string_view text, const std::string& path)
{
    if (text.empty() || text.size() > max_name_bytes)
        throw parse_error(parse_failure::out_of_range, path,
                          "a name of 1 to 200 bytes");
    if (!std::all_of(text.begin(), text.end(), is_name_character))
        throw parse_error(parse_failure::bad_value, path,
                          "a name of letters, digits and . _ - / :");
}

object_reader::object_reader(const nlohmann::json& value, std::string path)
    : value_(value), path_(std::move(path))
{
    if (!value_.is_object())
        throw parse_error(parse_failure::wrong_type, path_, "an object");
}

bool object_reader::has(std::string_view key)
{
    known_.emplace(key);
    return value_.contains(key);
}

const nlohmann::json& object_reader::at(std::string_view key)
{
    if (!has(key))
        throw parse_error(parse_failure::missing_key, path_of(key),
                          "a value, which is required");
    return *value_.find(key);
}

std::string object_reader::path_of(std::string_view key) const
{
    return extend(path_, key);
}

std::string object_reader::text(std::string_view key)
{
    const nlohmann::json& value = at(key);
    if (!value.is_string())
        throw parse_error(parse_failure::wrong_type, path_of(key), "a string");
    return value.get<std::string>();
}

std::string object_reader::text_or(std::string_view key,
                                   std::string_view fallback)
{
    return has(key) ? text(key) : std::string(fallback);
}

bool object_reader::bool_or(std::string_view key, bool fallback)
{
    if (!has(key))
        return fallback;
    const nlohmann::json& value = at(key);
    if (!value.is_boolean())
        throw parse_error(parse_failure::wrong_type, path_of(key),
                          "true or false");
    return value.get<bool>();
}

std::uint64_t object_reader::unsigned_integer(std::string_view key,
                                              std::uint64_t low,
                                              std::uint64_t high)
{
    const nlohmann::json& value = at(key);
    const std::string expected =
        range_text("a whole number", double(low), double(high));
    if (!value.is_number())
        throw parse_error(parse_failure::wrong_type, path_of(key), expected);
    if (!value.is_number_unsigned())
        throw parse_error(parse_failure::out_of_range, path_of(key), expected);
    const auto number = value.get<std::uint64_t>();
    if (number < low || number > high)
        throw parse_error(parse_failure::out_of_range, path_of(key), expected);
    return number;
}

std::uint64_t object_reader::unsigned_integer_or(std::string_view key,
                                                 std::uint64_t fallback,
                                                 std::uint64_t low,
                                                 std::uint64_t high)
{
    return has(key) ? unsigned_integer(key, low, high) : fallback;
}

double object_reader::number_or(std::string_view key, double fallback,
                                double low, double high)
{
    if (!has(key))
        return fallback;
    const nlohmann::json& value = at(key);
    const std::string expected = range_text("a number", low, high);
    if (!value.is_number())
        throw parse_error(parse_failure::wrong_type, path_of(key), expected);
    const double number = value.get<double>();
    if (!(number >= low && number <= high))
        throw parse_error(parse_failure::out_of_range, path_of(key), expected);
    return number;
}

std::vector<std::string> object_reader::name_list(std::string_view key,
                                                  bool required)
{
    std::vector<std::string> result;
    if (!required && !has(key))
        return result;
    const nlohmann::json& value = at(key);
    if (!value.is_array())
        throw parse_error(parse_failure::wrong_type, path_of(key),
                          "a list of names");
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string object_path = extend(path_of(key), std::to_string(i));
        if (!value[i].is_string())
            throw parse_error(parse_failure::wrong_type, object_path, "a name");
        result.push_back(value[i].get<std::string>());
        check_name(result.back(), object_path);
        if (std::find(result.begin(), result.end() - 1, result.back()) !=
            result.end() - 1)
            throw parse_error(parse_failure::bad_value, object_path,
                              "a name that is not yet in the list");
    }
    if (required && result.empty())
        throw parse_error(parse_failure::out_of_range, path_of(key),
                          "a list of at least one name");
    return result;
}

void object_reader::reject_unknown_keys() const
{
    for (const auto& [key, value] : value_.items())
        if (!known_.contains(key))
            throw parse_error(parse_failure::unknown_key, path_of(key),
                              "a key that tickets have");
}

} // namespace lovagegate::ticket::internal
