#ifndef LOVAGEGATE_REVIEW_STANDIN_3_SITE_HPP
#define LOVAGEGATE_REVIEW_STANDIN_3_SITE_HPP

#include "review/standin-3/http.hpp"
#include "soak/child_process.hpp"
#include "standins/site/platform_store.hpp"

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace lovagegate::review {

/// The lines of record.txt, each with the time since the start.
class record
{
public:
    explicit record(const std::string& file);
    void line(const std::string& text);
    [[nodiscard]] double seconds() const;

private:
    std::ofstream out_;
    time_point start_;
};

/// What a case chooses of the settings of its instances.
struct site_options
{
    std::size_t instances = 1;
    std::string folder; ///< temporary folder for settings and logs
    std::string program = "target/lovagegate";
    int grace_s = 8;
    int drain_ms = 2000;
    int stable_ms = 3000;
    int apply_ms = 2000;
    std::uint16_t store_port = 0; ///< 0: the site's own store
    std::string contracts = "base,drain,config,cost,retry,recover,fleet,"
                            "stream,engine,platform";
};

/// A small deployment: instances as processes on loopback addresses of their
/// own, and the platform's store.
class site
{
public:
    site(net::event_loop& loop, const site_options& options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    [[nodiscard]] standins::platform_store& store() { return store_; }
    /// Starts an instance's process, the first time or again.
    void start(std::size_t instance);
    void signal(std::size_t instance, int number);
    /// Kills the process and waits for its end.
    void kill(std::size_t instance);
    [[nodiscard]] bool is_running(std::size_t instance);
    /// @return memory of the process in megabytes, 0 if it has ended
    [[nodiscard]] double resident_mb(std::size_t instance);
    [[nodiscard]] settings::endpoint callers(std::size_t instance) const;
    [[nodiscard]] settings::endpoint readiness(std::size_t instance) const;
    [[nodiscard]] std::string address(std::size_t instance) const;
    [[nodiscard]] std::string log_file(std::size_t instance) const;
    [[nodiscard]] std::size_t size() const { return processes_.size(); }

private:
    void write_settings(std::size_t instance, bool first_start) const;

    net::event_loop& loop_;
    site_options options_;
    standins::platform_store store_;
    std::vector<std::string> addresses_;
    std::vector<std::unique_ptr<soak::child_process>> processes_;
    std::vector<bool> started_;
};

/// Ends the program without destroying what callbacks still refer to; the
/// instances are killed first.
[[noreturn]] void leave(site& s, const std::string& folder, int result);

/// @return milliseconds since 1970
[[nodiscard]] std::int64_t unix_ms();

/// @return whether the environment asks for a run without the disruption
[[nodiscard]] bool is_calm();

/// @return a new folder, which the caller removes
[[nodiscard]] std::string make_temporary_folder();

/// @return text from the last part of a file, for the lines that hold a word
[[nodiscard]] std::vector<std::string> lines_with(const std::string& file,
                                                  const std::string& word);

} // namespace lovagegate::review

#endif
