#ifndef LOVAGEGATE_SERVE_CORE_RUNNER_HPP
#define LOVAGEGATE_SERVE_CORE_RUNNER_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/node/node.hpp"

#include <deque>
#include <functional>

namespace lovagegate::serve {

/// Runs the decision core: queues the inputs of the tasks in order and passes
/// the outputs to the output handler. An input that is submitted while an
/// output is executed is processed after the remaining outputs.
class core_runner
{
public:
    using output_handler = std::function<void(const node::output&)>;

    /// @param loop outlives this object
    /// @param settings checked settings
    /// @param self name in the platform's list
    /// @param start incarnation of this process
    /// @param seed for the random choices of the core
    core_runner(net::event_loop& loop, const node::node_settings& settings,
                instance_id self, incarnation start, std::uint64_t seed);
    ~core_runner();
    core_runner(const core_runner&) = delete;
    core_runner& operator=(const core_runner&) = delete;

    /// @param handler called with each output; set before start()
    void set_output_handler(output_handler handler);

    /// Starts the tick timer.
    void start();

    void submit(node::input in);

    [[nodiscard]] const node::node& core() const noexcept { return node_; }

private:
    void tick();
    void run();

    net::event_loop& loop_;
    node::node node_;
    output_handler output_handler_;
    std::deque<node::input> inputs_;
    net::timer_id timer_ = 0;
    bool running_ = false;
};

} // namespace lovagegate::serve

#endif
