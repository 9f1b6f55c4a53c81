#ifndef LOVAGEGATE_SERVE_CORE_RUNNER_HPP
#define LOVAGEGATE_SERVE_CORE_RUNNER_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/node/node.hpp"

#include <deque>
#include <functional>

namespace lovagegate::serve {

/// Runs the decision core: inputs come from the tasks, in order; outputs go to
/// them. An input that a task submits while it carries out an output waits
/// until the outputs before it are carried out.
class core_runner
{
public:
    using output_handler = std::function<void(const node::output&)>;

    /// @param loop outlives this object
    /// @param settings checked settings
    /// @param self name in the platform's list
    /// @param start of this process
    /// @param seed of random choices
    core_runner(net::event_loop& loop, const node::node_settings& settings,
                instance_id self, incarnation start, std::uint64_t seed);
    ~core_runner();
    core_runner(const core_runner&) = delete;
    core_runner& operator=(const core_runner&) = delete;

    /// @param handler gets each output; set before start()
    void set_output_handler(output_handler handler);

    /// Begins to tick.
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
