#ifndef LOVAGEGATE_TESTS_FUZZ_BYTE_MUTATOR_HPP
#define LOVAGEGATE_TESTS_FUZZ_BYTE_MUTATOR_HPP

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace lovagegate::fuzz {

/// Damages a valid text a little, so that it passes the first checks of a
/// parser and meets the deeper ones.
class byte_mutator
{
public:
    explicit byte_mutator(std::uint64_t seed) : random_(seed) {}

    /// @return the text after one to four changes
    [[nodiscard]] std::string operator()(std::string text)
    {
        for (std::uint64_t n = 1 + below(4); n > 0; --n) {
            change(text);
        }
        return text;
    }

    /// @return a number below the bound
    [[nodiscard]] std::uint64_t below(std::uint64_t bound)
    {
        return random_() % bound;
    }

private:
    void change(std::string& text)
    {
        const std::size_t at = below(text.size() + 1);
        const std::size_t length = below(12);
        switch (below(7)) {
        case 0: // another byte
            text.insert(at, 1, static_cast<char>(below(256)));
            return;
        case 1: // one bit
            if (at < text.size()) {
                text[at] = static_cast<char>(text[at] ^ (1U << below(8)));
            }
            return;
        case 2: // a gap
            text.erase(at, length);
            return;
        case 3: // the end is missing
            text.resize(at);
            return;
        case 4: // a part twice
            text.insert(below(text.size() + 1), text.substr(at, length * 8));
            return;
        case 5: // what parsers stumble over
            text.insert(at, awkward());
            return;
        default: // many levels
            text.insert(at, std::string(below(3000), below(2) ? '[' : '{'));
            return;
        }
    }

    [[nodiscard]] std::string awkward()
    {
        using namespace std::string_view_literals;
        constexpr std::string_view texts[] = {
            "\0"sv,   "\r\n\r\n"sv, "\xc0\x80"sv, "\xed\xa0\x80"sv,
            "\xff"sv, "-1"sv,       "1e999"sv,    "99999999999999999999"sv,
            "null"sv, "\\u0000"sv,  "\\ud800"sv,  "\"\""sv,
            "{}"sv,   "data: "sv,   "@"sv,        "\xef\xbb\xbf"sv};
        return std::string(texts[below(std::size(texts))]);
    }

    std::mt19937_64 random_;
};

} // namespace lovagegate::fuzz

#endif
