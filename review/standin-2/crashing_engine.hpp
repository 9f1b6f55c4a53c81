#ifndef LOVAGEGATE_REVIEW_STANDIN_2_CRASHING_ENGINE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_2_CRASHING_ENGINE_HPP

#include "machines.hpp"
#include "service.hpp"
#include "store.hpp"

namespace review {

/// An engine of a plain service that crashes when it begins to run a request
/// with a certain path, and is back after some seconds.
class crashing_engine
{
public:
    crashing_engine(engine_address self, std::string crashing_path,
                    std::int64_t work_ms, std::int64_t down_ms, store& platform,
                    run_log& log);
    ~crashing_engine();

    [[nodiscard]] const engine_address& self() const { return self_; }
    [[nodiscard]] std::string key() const { return "servers/" + self_.id; }
    [[nodiscard]] bool is_up() const { return up_; }

private:
    void serve(int fd);
    void live();
    [[nodiscard]] std::string entry(std::int64_t start) const;

    engine_address self_;
    std::string crashing_path_;
    std::int64_t work_ms_;
    std::int64_t down_ms_;
    store& platform_;
    run_log& log_;
    std::atomic<bool> up_ = false;
    std::atomic<bool> crashed_ = false;
    std::atomic<bool> stopping_ = false;
    std::thread life_;
};

} // namespace review

#endif
