#ifndef LOVAGEGATE_IDEMPOTENCY_SETTINGS_HPP
#define LOVAGEGATE_IDEMPOTENCY_SETTINGS_HPP

#include "lovagegate/core/time.hpp"

#include <cstddef>

namespace lovagegate::idempotency {

struct claim_settings
{
    duration record_ttl = 1h; ///< ids issued longer ago are forgotten
    std::size_t max_records = 65'536;
    std::size_t max_answer_bytes = 4096;            ///< of one stored answer
    std::size_t max_total_answer_bytes = 8'388'608; ///< of all stored answers
    duration transfer_timeout = 400ms; ///< for the previous home to answer
};

} // namespace lovagegate::idempotency

#endif
