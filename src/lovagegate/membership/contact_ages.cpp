#include "lovagegate/membership/contact_ages.hpp"

namespace lovagegate::membership {

namespace {

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::size_t entry_size = 5;
constexpr std::size_t key_digits = 4;
constexpr std::uint32_t digit_bits = 6;

} // namespace

bool append_contact_age(std::string& text, contact_age entry)
{
    const auto units =
        (entry.age + contact_age_unit - duration(1)) / contact_age_unit;
    if (units < 0 || units >= std::int64_t(digits.size()))
        return false;
    for (std::size_t k = 0; k < key_digits; ++k)
        text += digits[(entry.instance >> (digit_bits * k)) & 63U];
    text += digits[std::size_t(units)];
    return true;
}

std::vector<contact_age> parse_contact_ages(std::string_view text)
{
    std::vector<contact_age> result;
    for (; text.size() >= entry_size; text.remove_prefix(entry_size)) {
        contact_age entry;
        bool good = true;
        for (std::size_t k = 0; k < entry_size; ++k) {
            const std::size_t digit = digits.find(text[k]);
            good = good && digit != std::string_view::npos;
            if (k < key_digits)
                entry.instance |= std::uint32_t(digit & 63U)
                                  << (digit_bits * k);
            else
                entry.age = contact_age_unit * std::int64_t(digit & 63U);
        }
        if (good)
            result.push_back(entry);
    }
    return result;
}

} // namespace lovagegate::membership
