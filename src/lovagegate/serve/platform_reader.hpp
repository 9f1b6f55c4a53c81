#ifndef LOVAGEGATE_SERVE_PLATFORM_READER_HPP
#define LOVAGEGATE_SERVE_PLATFORM_READER_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_client.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/serve/core_input.hpp"
#include "lovagegate/settings/settings.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace lovagegate::serve {

/// Reads the platform's two services when the core requests it. Each read
/// submits exactly one input, also when the service does not answer.
class platform_reader
{
public:
    /// @param client outlives the reader
    /// @param core called with each answer; what it refers to outlives the
    ///        reader
    platform_reader(net::http_client& client,
                    const settings::platform_settings& settings,
                    core_input core);

    void read(const node::read_platform& command);

private:
    struct pending_read;

    void finish(pending_read& r);
    void fail(node::platform_part part);

    net::http_client& client_;
    settings::platform_settings settings_;
    core_input core_;
    std::array<std::uint64_t, 2>
        known_indexes_{}; ///< last index, by platform_part
};

} // namespace lovagegate::serve

#endif
