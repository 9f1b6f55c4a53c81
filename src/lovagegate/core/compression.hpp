#ifndef LOVAGEGATE_CORE_COMPRESSION_HPP
#define LOVAGEGATE_CORE_COMPRESSION_HPP

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lovagegate {

/// Bytes that are not what compress() makes, or too many of them.
class compression_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Packs bytes as raw deflate (RFC 1951).
/// @param dictionary bytes that the receiver has as well; like parts of the
///        data are not sent again. Only its last 32 KiB are used.
/// @throws compression_error if there is no memory
[[nodiscard]] std::string compress(std::string_view data,
                                   std::string_view dictionary = {});

/// Unpacks what compress() made with the same dictionary.
/// @param most bytes that the result may have
/// @throws compression_error for other bytes, or a longer result
[[nodiscard]] std::string decompress(std::string_view compressed,
                                     std::size_t max_bytes,
                                     std::string_view dictionary = {});

} // namespace lovagegate

#endif
