#include "lovagegate/core/cbor.hpp"

#include <cstddef>
#include <cstdint>

namespace lovagegate {

namespace {

using nlohmann::json;

/// Messages of instances nest about six levels.
constexpr int max_nesting = 32;

/// Accepts values up to the maximum depth and keeps none of them.
class depth_check final : public nlohmann::json_sax<json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= max_nesting; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++depth_ <= max_nesting; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&,
                     const nlohmann::detail::exception&) override
    {
        return false;
    }

    [[nodiscard]] bool is_too_deep() const { return depth_ > max_nesting; }

private:
    bool leave()
    {
        --depth_;
        return true;
    }

    int depth_ = 0;
};

} // namespace

json read_cbor(std::string_view bytes)
{
    depth_check check;
    json::sax_parse(bytes, &check, json::input_format_t::cbor);
    if (check.is_too_deep())
        throw json::other_error::create(
            501, "CBOR: expected at most 32 levels, found more", nullptr);
    return json::from_cbor(bytes);
}

std::string write_cbor(const json& value)
{
    std::string out;
    json::to_cbor(value, nlohmann::detail::output_adapter<char>(out));
    return out;
}

} // namespace lovagegate
