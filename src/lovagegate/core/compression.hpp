#ifndef LOVAGEGATE_CORE_COMPRESSION_HPP
#define LOVAGEGATE_CORE_COMPRESSION_HPP

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace lovagegate {

/// Thrown for invalid compressed data, results over the limit and lack of
/// memory.
class compression_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Compresses data to raw deflate (RFC 1951).
/// @param dictionary preset dictionary, which decompress() needs as well; parts
///        of the data that occur in it are not stored. Only its last 32 KiB
///        are used.
/// @throws compression_error if memory is exhausted
[[nodiscard]] std::string compress(std::string_view data,
                                   std::string_view dictionary = {});

/// Decompresses the result of compress() with the same dictionary.
/// @param max_bytes size limit of the result
/// @throws compression_error for invalid data or a longer result
[[nodiscard]] std::string decompress(std::string_view compressed,
                                     std::size_t max_bytes,
                                     std::string_view dictionary = {});

} // namespace lovagegate

#endif
