#ifndef LOVAGEGATE_CRASHES_CRASH_TRAITS_HPP
#define LOVAGEGATE_CRASHES_CRASH_TRAITS_HPP

#include "lovagegate/core/identifiers.hpp"

#include <vector>

namespace lovagegate::crashes {

/// What a request may have in common with others that crash engines.
struct crash_traits
{
    fingerprint request = 0; ///< method, path and body
    /// Distinguishes requests that share parts of their prompts.
    fingerprint request_and_prompt = 0;
    /// Parts of the prompt that other requests may share.
    std::vector<fingerprint> prompt_parts;
};

} // namespace lovagegate::crashes

#endif
