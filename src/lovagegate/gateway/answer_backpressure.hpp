#ifndef LOVAGEGATE_GATEWAY_ANSWER_BACKPRESSURE_HPP
#define LOVAGEGATE_GATEWAY_ANSWER_BACKPRESSURE_HPP

#include "lovagegate/gateway/answer_memory.hpp"
#include "lovagegate/gateway/caller_connection.hpp"
#include "lovagegate/gateway/target_pool.hpp"

#include <cstddef>
#include <functional>
#include <string>

namespace lovagegate::gateway {

/// Stops reading a target's answer while its caller has too much left to read,
/// or while all answers together hold too much. TCP flow control then makes the
/// target wait.
class answer_backpressure
{
public:
    /// @param caller receives the answer; must outlive this object
    /// @param on_resumed called when reading goes on
    answer_backpressure(answer_memory& memory, caller_connection& caller,
                        std::function<void()> on_resumed);
    answer_backpressure(const answer_backpressure&) = delete;
    answer_backpressure& operator=(const answer_backpressure&) = delete;

    /// Starts with the answer of a target.
    /// @param call must live until end()
    void begin(const std::string& target, target_call& call);

    /// Called when nothing more is read from the target.
    void end();

    /// Pauses or resumes reading; called after each read.
    /// @param incomplete bytes that wait for more of the answer
    /// @param unsent_limit bytes buffered for the caller at which reading stops
    /// @return whether there is memory for more of the answer
    bool update(std::size_t incomplete, std::size_t unsent_limit);

    [[nodiscard]] bool is_paused() const noexcept { return paused_; }

private:
    void pause();
    void resume();
    void on_drained();
    void on_room();

    caller_connection& caller_;
    std::function<void()> on_resumed_;
    answer_memory::share share_;
    std::string target_;
    target_call* call_ = nullptr;
    std::size_t incomplete_ = 0;
    std::size_t unsent_limit_ = 0;
    bool paused_ = false;
};

} // namespace lovagegate::gateway

#endif
