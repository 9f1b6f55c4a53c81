#include "lovagegate/core/compression.hpp"

#include <algorithm>
#include <array>
#include <zlib.h>

namespace lovagegate {

namespace {

constexpr int raw_window_bits = -15; ///< raw deflate, 32 KiB of history
constexpr int memory_level = 6;      ///< about 100 KB during compression
constexpr std::size_t chunk_bytes = 4096;

/// zlib does not write through its input pointers.
Bytef* input(std::string_view data)
{
    return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(data.data()));
}

uInt length(std::string_view data)
{
    return static_cast<uInt>(data.size());
}

/// Releases a z_stream at the end of the scope.
template <typename Release>
class stream_guard
{
public:
    stream_guard(z_stream& stream, Release release)
        : stream_(stream), release_(release)
    {
    }
    ~stream_guard() { release_(&stream_); }
    stream_guard(const stream_guard&) = delete;
    stream_guard& operator=(const stream_guard&) = delete;

private:
    z_stream& stream_;
    Release release_;
};

} // namespace

std::string compress(std::string_view data, std::string_view dictionary)
{
    z_stream stream{};
    if (deflateInit2(&stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED,
                     raw_window_bits, memory_level, Z_DEFAULT_STRATEGY) != Z_OK)
        throw compression_error("out of memory while initializing compression");
    const stream_guard guard(stream, deflateEnd);
    if (!dictionary.empty())
        deflateSetDictionary(&stream, input(dictionary), length(dictionary));
    std::string out(deflateBound(&stream, data.size()), '\0');
    stream.next_in = input(data);
    stream.avail_in = length(data);
    stream.next_out = reinterpret_cast<Bytef*>(out.data());
    stream.avail_out = static_cast<uInt>(out.size());
    if (deflate(&stream, Z_FINISH) != Z_STREAM_END)
        throw compression_error("compression did not finish");
    out.resize(stream.total_out);
    return out;
}

std::string decompress(std::string_view compressed, std::size_t max_bytes,
                       std::string_view dictionary)
{
    z_stream stream{};
    if (inflateInit2(&stream, raw_window_bits) != Z_OK)
        throw compression_error(
            "out of memory while initializing decompression");
    const stream_guard guard(stream, inflateEnd);
    if (!dictionary.empty())
        inflateSetDictionary(&stream, input(dictionary), length(dictionary));
    stream.next_in = input(compressed);
    stream.avail_in = length(compressed);
    std::string out;
    std::array<char, chunk_bytes> chunk;
    int result = Z_OK;
    while (result == Z_OK) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        result = inflate(&stream, Z_NO_FLUSH);
        out.append(chunk.data(), chunk.size() - stream.avail_out);
        if (out.size() > max_bytes)
            throw compression_error("decompressed data exceeds the size limit");
    }
    if (result != Z_STREAM_END)
        throw compression_error("compressed data is invalid or truncated");
    return out;
}

} // namespace lovagegate
