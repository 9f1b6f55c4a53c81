#ifndef LOVAGEGATE_REVIEW_STANDIN_2_SERVICE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_2_SERVICE_HPP

#include "http.hpp"

#include <memory>

namespace review {

/// One engine of a plain service.
struct engine_address
{
    std::string id;
    std::string service;
    endpoint at;
    std::string zone;
};

/// A request that an engine has run.
struct engine_run
{
    std::string attempt;
    std::string engine;
    std::string service;
    std::int64_t arrived = 0;
};

/// Runs of all engines, in the order of their arrival.
class run_log
{
public:
    void add(engine_run run);
    [[nodiscard]] std::vector<engine_run> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<engine_run> runs_;
};

/// An engine of a plain service: runs every request that expects it and
/// answers after a fixed time.
class engine
{
public:
    engine(engine_address self, run_log& log, std::int64_t work_ms);

    [[nodiscard]] const engine_address& self() const { return self_; }
    /// @return key of the engine's entry in the store
    [[nodiscard]] std::string key() const { return "servers/" + self_.id; }
    /// @param state ready or draining
    /// @return the engine's entry in the store
    [[nodiscard]] std::string entry(const std::string& state) const;

    /// Ends the engine: what it runs is lost and nothing listens any more.
    void exit() { server_->stop(); }

private:
    void serve(int fd);

    engine_address self_;
    run_log& log_;
    std::int64_t work_ms_;
    std::unique_ptr<server> server_;
};

} // namespace review

#endif
