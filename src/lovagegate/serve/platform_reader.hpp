#ifndef LOVAGEGATE_SERVE_PLATFORM_READER_HPP
#define LOVAGEGATE_SERVE_PLATFORM_READER_HPP

#include "lovagegate/net/event_loop.hpp"
#include "lovagegate/net/http_client.hpp"
#include "lovagegate/node/outputs.hpp"
#include "lovagegate/serve/core_port.hpp"
#include "lovagegate/settings/settings.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace lovagegate::serve {

/// Reads the platform's two services when the core asks. Each question gets
/// exactly one answer, also when the service is silent.
class platform_reader
{
public:
    /// @param client outlives the reader
    /// @param core called with each answer; what it refers to outlives the
    ///        reader
    platform_reader(net::http_client& client,
                    const settings::platform_settings& settings,
                    core_port core);

    void read(const node::read_platform& question);

private:
    struct reading;

    void finish(reading& r);
    void fail(node::platform_part part);

    net::http_client& client_;
    settings::platform_settings settings_;
    core_port core_;
    std::array<std::uint64_t, 2> index_{}; ///< newest known, by platform_part
};

} // namespace lovagegate::serve

#endif
