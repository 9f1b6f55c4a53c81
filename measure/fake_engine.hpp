#ifndef LOVAGEGATE_MEASURE_FAKE_ENGINE_HPP
#define LOVAGEGATE_MEASURE_FAKE_ENGINE_HPP

#include "measure/event_queue.hpp"
#include "measure/fake_store.hpp"
#include "measure/scenario.hpp"

#include "lovagegate/core/outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace lovagegate::measure {

/// What happens to a request on an engine.
enum class run_event : std::uint8_t
{
    first_token,
    finished,
    missing, ///< the engine does not hold the adapter: not run
    broken,  ///< the engine went down
};

/// An engine: adapter slots, and a batch in which every running request gets
/// a token each step.
class fake_engine
{
public:
    using listener = std::function<void(run_event)>;

    struct load_state
    {
        std::uint32_t adapter = 0;
        std::uint32_t running = 0; ///< with those that wait on the engine
    };

    fake_engine(event_queue& clock, fake_store& store, const deployment& d);

    /// Runs a request; unknown adapters are answered with `missing`.
    void submit(std::uint32_t adapter, priority importance,
                std::uint32_t tokens, listener l);
    void load(std::uint32_t adapter, fake_store::finished f);
    /// @return whether the adapter was there
    bool unload(std::uint32_t adapter);
    /// Loses all adapters and requests.
    void restart();
    void set_down(bool down);

    [[nodiscard]] bool down() const noexcept { return down_; }
    [[nodiscard]] bool holds(std::uint32_t adapter) const;
    [[nodiscard]] std::size_t taken_slots() const noexcept
    {
        return adapters_.size() + loading_;
    }
    [[nodiscard]] std::size_t requests() const noexcept
    {
        return running_.size() + waiting_.size();
    }
    [[nodiscard]] std::uint32_t use(std::uint32_t adapter) const;
    [[nodiscard]] std::uint64_t start() const noexcept { return start_; }
    [[nodiscard]] std::vector<load_state> resident() const;

    /// @return sum of batch sizes over the steps since the counters' start
    [[nodiscard]] std::uint64_t batch_sum() const noexcept { return batch_; }
    [[nodiscard]] std::uint64_t steps() const noexcept { return steps_; }
    [[nodiscard]] std::uint64_t evicted_in_use() const noexcept
    {
        return evicted_in_use_;
    }
    void reset_counters() noexcept
    {
        batch_ = 0;
        steps_ = 0;
    }

private:
    struct job
    {
        std::uint32_t adapter = 0;
        priority importance = priority::normal;
        std::uint32_t tokens = 0;
        bool started = false;
        listener tell;
    };

    void begin_step();
    void end_step();
    [[nodiscard]] std::size_t admit();
    void drop_all();

    event_queue& clock_;
    fake_store& store_;
    const deployment& deployment_;
    std::map<std::uint32_t, std::uint32_t> adapters_; ///< with requests
    std::deque<job> waiting_;
    std::vector<job> running_;
    std::size_t loading_ = 0;
    bool stepping_ = false;
    bool down_ = false;
    std::uint64_t start_ = 1;
    std::uint64_t batch_ = 0;
    std::uint64_t steps_ = 0;
    std::uint64_t evicted_in_use_ = 0;
};

} // namespace lovagegate::measure

#endif
