#ifndef LOVAGEGATE_NET_HTTP_MESSAGE_HPP
#define LOVAGEGATE_NET_HTTP_MESSAGE_HPP

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagegate::net {

/// One header as received.
struct message_header
{
    std::string name;
    std::string value;
};

/// Start line and headers of a request or response.
struct message_head
{
    std::string method; ///< of a request
    std::string target; ///< of a request: path and query as received
    int status = 0;     ///< of a response
    bool keep_alive = true;
    std::vector<message_header> headers;

    /// @param name header name, case-insensitive
    /// @return the first value, empty if the header is absent
    [[nodiscard]] std::string_view header(std::string_view name) const;

    /// @return whether a header of that name is present
    [[nodiscard]] bool has(std::string_view name) const;
};

/// @return whether two header names are equal, ignoring case
[[nodiscard]] bool same_name(std::string_view a, std::string_view b) noexcept;

/// Why a message could not be parsed.
enum class parse_failure : std::uint8_t
{
    none,
    malformed,
    head_too_large,
    body_too_large, ///< see message_reader::limit_body()
};

/// Splits a byte stream into HTTP/1.1 messages. Uses http_parser.
class message_reader
{
public:
    enum class kind : std::uint8_t
    {
        requests,
        responses
    };

    /// Result of one call of read().
    struct progress
    {
        std::size_t used = 0; ///< bytes consumed by this message
        parse_failure failure = parse_failure::none;
        bool head_complete = false; ///< the whole head was parsed
        bool complete = false;      ///< the end of the message was reached
    };

    /// @param max_head_bytes maximum size of the start line and headers
    message_reader(kind k, std::size_t max_head_bytes);
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    /// Resets the reader for the next message.
    /// @param without_body set for the response to a HEAD request
    void start(bool without_body = false);

    /// Limits the body of the current message. A chunk that would exceed the
    /// limit fails as soon as its size is read. To be called from on_head; what
    /// Content-Length declares is the caller's to check.
    void limit_body(std::size_t bytes) noexcept { max_body_bytes_ = bytes; }

    /// Parses bytes up to the end of the message.
    /// @param data received bytes
    /// @param on_head called once per message, with the complete head
    /// @param on_body called with parts of the body, transfer coding removed
    template <typename OnHead, typename OnBody>
    progress read(std::string_view data, OnHead&& on_head, OnBody&& on_body)
    {
        on_head_ = std::ref(on_head);
        on_body_ = std::ref(on_body);
        return read_some(data);
    }

    /// Called when the connection has ended.
    /// @return whether that completes the message
    bool end_of_data();

    /// @return bytes of memory that the head takes, which many short fields
    ///         make a multiple of what was received
    [[nodiscard]] std::size_t held_bytes() const noexcept
    {
        return head_.headers.capacity() * sizeof(message_header) +
               head_text_bytes_ + name_.capacity() + value_.capacity();
    }

    /// @return bytes of the body that were read, without transfer coding
    [[nodiscard]] std::size_t body_bytes() const noexcept
    {
        return body_bytes_;
    }

    /// @return whether bytes of a message were read since start()
    [[nodiscard]] bool started() const noexcept { return started_; }
    [[nodiscard]] bool head_complete() const noexcept { return head_complete_; }
    [[nodiscard]] const message_head& head() const noexcept { return head_; }
    [[nodiscard]] message_head& head() noexcept { return head_; }

    /// @return whether the body is delimited by the end of the connection
    [[nodiscard]] bool ends_with_connection() const noexcept
    {
        return ends_with_connection_;
    }

private:
    progress read_some(std::string_view data);
    void finish_header();
    int on_headers();
    int on_chunk_size();
    static message_reader& self(http_parser* p);
    static http_parser_settings make_callbacks();

    http_parser parser_{};
    kind kind_;
    std::size_t max_head_bytes_;
    std::size_t head_bytes_ = 0;
    std::size_t head_text_bytes_ = 0; ///< of names, values and target
    std::size_t body_bytes_ = 0;
    std::size_t max_body_bytes_ = 0;
    message_head head_;
    std::string name_;
    std::string value_;
    bool in_value_ = false;
    bool without_body_ = false;
    bool started_ = false;
    bool head_complete_ = false;
    bool complete_ = false;
    bool ends_with_connection_ = false;
    bool malformed_ = false;
    bool body_too_large_ = false;
    std::function<void(message_head&)> on_head_;
    std::function<void(std::string_view)> on_body_;
};

} // namespace lovagegate::net

#endif
