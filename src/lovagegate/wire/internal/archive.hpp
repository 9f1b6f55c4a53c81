#ifndef LOVAGEGATE_WIRE_INTERNAL_ARCHIVE_HPP
#define LOVAGEGATE_WIRE_INTERNAL_ARCHIVE_HPP

#include "lovagegate/core/identifiers.hpp"
#include "lovagegate/core/time.hpp"
#include "lovagegate/wire/codec.hpp"

#include <json/value.h>

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace lovagegate::wire::internal {

/// Maximum number of elements in a list of a message.
inline constexpr Json::ArrayIndex max_elements = 200'000;

/// Highest valid value of an enumeration; specialized in fields.hpp.
template <typename Enum>
inline constexpr Enum last_value{};

/// Visitor with an empty body, used to detect fields() overloads.
struct field_probe
{
    template <typename T>
    void operator()(const char* /*key*/, T& /*value*/)
    {
    }
};

/// A type that has a fields() overload.
template <typename T>
concept structure = requires(field_probe p, T& t)
{
    fields(p, t);
};

/// Writes the fields of one message into a JSON object.
class writer
{
public:
    explicit writer(Json::Value& into) : object_(into) {}

    template <typename T>
    void operator()(const char* key, T& value)
    {
        object_[key] = to_json(value);
    }

    template <typename T>
    void operator()(const char* key, std::optional<T>& value)
    {
        if (value)
            object_[key] = to_json(*value);
    }

private:
    static Json::Value to_json(const std::string& s) { return s; }
    static Json::Value to_json(bool b) { return b; }
    static Json::Value to_json(double d) { return d; }
    template <std::integral T>
    static Json::Value to_json(T i)
    {
        if constexpr (std::is_signed_v<T>)
            return Json::Int64(i);
        else
            return Json::UInt64(i);
    }
    template <typename T>
    requires std::is_enum_v<T>
    static Json::Value to_json(T e) { return Json::UInt64(e); }
    template <typename Tag>
    static Json::Value to_json(const name<Tag>& n)
    {
        return n.str();
    }
    template <typename Rep, typename Period>
    static Json::Value to_json(std::chrono::duration<Rep, Period> d)
    {
        return Json::Int64(d.count());
    }
    static Json::Value to_json(wall_time t)
    {
        return Json::Int64(t.time_since_epoch().count());
    }
    template <typename T>
    static Json::Value to_json(std::vector<T>& list)
    {
        Json::Value result(Json::arrayValue);
        for (T& element : list)
            result.append(to_json(element));
        return result;
    }
    template <structure T>
    static Json::Value to_json(T& value)
    {
        Json::Value result(Json::objectValue);
        writer w(result);
        fields(w, value);
        return result;
    }

    Json::Value& object_;
};

/// Reads the fields of one message from a JSON object. An absent field keeps
/// its default.
class reader
{
public:
    explicit reader(const Json::Value& from) : object_(from)
    {
        if (!object_.isObject())
            throw decode_error(decode_failure::wrong_type, "");
    }

    template <typename T>
    void operator()(const char* key, T& value)
    {
        const Json::Value& v = object_[key];
        if (!v.isNull())
            read(key, v, value);
    }

    template <typename T>
    void operator()(const char* key, std::optional<T>& value)
    {
        const Json::Value& v = object_[key];
        if (!v.isNull())
            read(key, v, value.emplace());
    }

private:
    static void require_type(bool ok, const char* key)
    {
        if (!ok)
            throw decode_error(decode_failure::wrong_type, key);
    }
    static void read(const char* key, const Json::Value& v, std::string& into)
    {
        require_type(v.isString(), key);
        into = v.asString();
    }
    static void read(const char* key, const Json::Value& v, bool& into)
    {
        require_type(v.isBool(), key);
        into = v.asBool();
    }
    static void read(const char* key, const Json::Value& v, double& into)
    {
        require_type(v.isNumeric(), key);
        into = v.asDouble();
    }
    template <std::integral T>
    static void read(const char* key, const Json::Value& v, T& into)
    {
        using limits = std::numeric_limits<T>;
        if constexpr (std::is_signed_v<T>) {
            require_type(v.isInt64(), key);
            if (v.asInt64() < limits::min() || v.asInt64() > limits::max())
                throw decode_error(decode_failure::bad_value, key);
            into = T(v.asInt64());
        } else {
            require_type(v.isUInt64(), key);
            if (v.asUInt64() > limits::max())
                throw decode_error(decode_failure::bad_value, key);
            into = T(v.asUInt64());
        }
    }
    template <typename T>
    requires std::is_enum_v<T>
    static void read(const char* key, const Json::Value& v, T& into)
    {
        std::uint64_t number = 0;
        read(key, v, number);
        if (number > std::uint64_t(last_value<T>))
            throw decode_error(decode_failure::bad_value, key);
        into = T(number);
    }
    template <typename Tag>
    static void read(const char* key, const Json::Value& v, name<Tag>& into)
    {
        require_type(v.isString(), key);
        into = name<Tag>(v.asString());
    }
    template <typename Rep, typename Period>
    static void read(const char* key, const Json::Value& v,
                     std::chrono::duration<Rep, Period>& into)
    {
        // A quarter of the range, so that sums of durations do not overflow.
        constexpr std::int64_t max_count = std::numeric_limits<Rep>::max() / 4;
        std::int64_t count = 0;
        read(key, v, count);
        if (count < -max_count || count > max_count)
            throw decode_error(decode_failure::bad_value, key);
        into = std::chrono::duration<Rep, Period>(count);
    }
    static void read(const char* key, const Json::Value& v, wall_time& into)
    {
        // The year 5138: conversions to microseconds do not overflow.
        constexpr std::int64_t max_count = 100'000'000'000'000;
        std::int64_t count = 0;
        read(key, v, count);
        if (count < 0 || count > max_count)
            throw decode_error(decode_failure::bad_value, key);
        into = wall_time(wall_time::duration(count));
    }
    template <typename T>
    static void read(const char* key, const Json::Value& v,
                     std::vector<T>& into)
    {
        require_type(v.isArray(), key);
        if (v.size() > max_elements)
            throw decode_error(decode_failure::bad_value, key);
        into.resize(v.size());
        for (Json::ArrayIndex i = 0; i < v.size(); ++i)
            read(key, v[i], into[i]);
    }
    template <typename T>
    static void read(const char* /*key*/, const Json::Value& v,
                     T& into) requires std::is_class_v<T>
    {
        reader r(v);
        fields(r, into);
    }

    const Json::Value& object_;
};

} // namespace lovagegate::wire::internal

#endif
