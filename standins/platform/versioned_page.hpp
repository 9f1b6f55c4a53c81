#ifndef LOVAGEGATE_STANDINS_PLATFORM_VERSIONED_PAGE_HPP
#define LOVAGEGATE_STANDINS_PLATFORM_VERSIONED_PAGE_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_exchange.hpp"

#include <cstdint>
#include <list>
#include <string>

namespace lovagegate::standins {

/// Whether the platform answers.
enum class platform_mode : std::uint8_t
{
    up,
    down,  ///< HTTP 500 at once
    stale, ///< answers as of the change to this mode
};

/// A text with an index that is read by blocking queries: a reader that knows
/// the newest index waits for the next one.
class versioned_page
{
public:
    /// @param loop for the timers of waiting readers
    explicit versioned_page(net::event_loop& loop) : loop_(loop) {}

    /// A new text under the next index; waiting readers get it.
    void publish(std::string text);
    void set_mode(platform_mode mode);

    /// Answers now or later.
    /// @param e a GET with the arguments index and wait
    void read(const net::exchange_ptr& e);

    /// @return how many reads were made, each waiting one counted once
    [[nodiscard]] std::uint64_t reads() const noexcept { return reads_; }

private:
    struct version
    {
        std::uint64_t index = 1;
        std::string text = "[]";
    };

    [[nodiscard]] const version& shown() const noexcept
    {
        return mode_ == platform_mode::stale ? stale_ : newest_;
    }
    void answer(net::exchange& e) const;
    void answer_all();

    net::event_loop& loop_;
    version newest_;
    version stale_;
    platform_mode mode_ = platform_mode::up;
    std::list<net::exchange_ptr> waiting_;
    std::uint64_t reads_ = 0;
};

} // namespace lovagegate::standins

#endif
