#ifndef LOVAGEGATE_BENCH_LOAD_SOURCE_HPP
#define LOVAGEGATE_BENCH_LOAD_SOURCE_HPP

#include "bench/samples.hpp"
#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_client.hpp"
#include "lovagegate/settings/endpoint.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lovagegate::bench {

/// Describes a closed-loop load of streamed chat completions.
struct load_options
{
    settings::endpoint target;
    std::string model;
    std::size_t streams = 1;  ///< open concurrently
    std::size_t requests = 1; ///< total of all streams
    std::size_t tokens = 16;  ///< per response
    /// Time over which the first request of each stream is spread.
    duration ramp = 0s;
};

/// Counts and latencies of the requests of a load.
struct load_result
{
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::size_t tokens = 0;
    samples first_token; ///< from sending the request to its first token
    samples token_gap;   ///< between consecutive tokens of one stream
    /// Number of failed requests by HTTP status or kind of failure.
    std::map<std::string, std::size_t> failures;
};

/// Sends requests so that a fixed number of streams is open, until all requests
/// have ended.
class load_source
{
public:
    /// @param loop event loop, which must outlive the source
    /// @param options load to generate
    /// @param on_end called once when the last request has ended
    load_source(net::event_loop& loop, load_options options,
                std::function<void()> on_end);

    void start();
    /// Stops sending requests. Open streams continue to their end.
    void stop_sending() { stopped_ = true; }
    [[nodiscard]] const load_result& result() const noexcept { return result_; }
    [[nodiscard]] std::size_t open_streams() const noexcept
    {
        return open_streams_;
    }

private:
    struct stream;

    void send();
    void parse_events(stream& s, std::string_view data);
    void on_event(stream& s, std::string_view event, time_point now);
    void end(stream& s, const std::string& failure);
    [[nodiscard]] net::client_request request() const;

    net::event_loop& loop_;
    net::http_client client_;
    load_options options_;
    std::function<void()> on_end_;
    load_result result_;
    std::size_t sent_ = 0;
    std::size_t open_streams_ = 0;
    bool stopped_ = false;
};

} // namespace lovagegate::bench

#endif
