#ifndef LOVAGEGATE_GATEWAY_SHORT_CALL_HPP
#define LOVAGEGATE_GATEWAY_SHORT_CALL_HPP

#include "lovagegate/gateway/target_pool.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lovagegate::gateway {

/// Request whose answer is short and is read as a whole, such as an order or a
/// report request.
class short_call final : private call_handler
{
public:
    /// Outcome of the call.
    struct result
    {
        int status = 0;             ///< 0 if there is no complete answer
        bool head_received = false; ///< the target began to answer
        net::message_head head;     ///< if it was received
        std::string body;
        std::optional<call_failure>
            failure; ///< nothing if the time limit passed
    };
    using done_handler = std::function<void(const result&)>;

    /// @param limit maximum number of connections to the target
    /// @param time_limit for the complete answer
    /// @param size_limit a longer answer counts as a failure
    /// @param done called once, from the event loop, unless the call is
    ///         destroyed before
    short_call(net::event_loop& loop, target_pool& pool,
               const target_request& request, std::size_t limit,
               duration time_limit, std::size_t size_limit, done_handler done);
    ~short_call();
    short_call(const short_call&) = delete;
    short_call& operator=(const short_call&) = delete;

private:
    void on_answer_head(net::message_head& head) override;
    bool on_answer_body(std::string_view part) override;
    void on_answer_end() override;
    void on_call_failed(call_failure f) override;
    void on_time_limit();
    void finish();

    net::event_loop& loop_;
    done_handler done_;
    result result_;
    std::size_t size_limit_;
    net::timer_id timer_ = 0;
    std::unique_ptr<target_call> call_;
};

} // namespace lovagegate::gateway

#endif
