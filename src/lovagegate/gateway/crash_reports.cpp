#include "lovagegate/gateway/crash_reports.hpp"

#include "lovagegate/logging/log.hpp"

#include <utility>

namespace lovagegate::gateway {

namespace {

/// Fingerprints in one datagram, each of up to nine bytes.
constexpr std::size_t max_fingerprints = 100;
/// Blocked parts that are repeated, those with the latest crashes.
constexpr std::size_t max_repeated_parts = 32;

std::size_t fingerprint_count(const crash_notice& notice)
{
    std::size_t count = 0;
    for (const auto& r : notice.requests)
        count += 2 + r.prompt_parts.size();
    return count;
}

} // namespace

crash_reports::crash_reports(counters& counts, callbacks c)
    : counts_(counts), callbacks_(std::move(c))
{
}

void crash_reports::on_connection_broken(const crash_traits& request,
                                         std::string_view run,
                                         bool answer_begun, time_point now)
{
    crash_traits evidence = request;
    if (answer_begun)
        evidence.prompt_parts.clear();
    record_break(evidence, run, now);
    crash_notice& notice = notices_[std::string(run)];
    notice.engine = run;
    notice.requests.push_back(evidence);
    if (fingerprint_count(notice) >= max_fingerprints)
        send_notices();
}

void crash_reports::record_break(const crash_traits& request,
                                 std::string_view run, time_point now)
{
    requests_.on_connection_broken(request.request, run, now);
    on_parts_blocked(prompt_parts_.on_connection_broken(request, run, now),
                     run);
}

void crash_reports::send_notices()
{
    for (const auto& [run, notice] : std::exchange(notices_, {}))
        callbacks_.send_to_all(notice);
}

void crash_reports::record_run_end(std::string_view run, time_point now)
{
    counts_.add("crashes_counted", requests_.on_run_ended(run, now));
    on_parts_blocked(prompt_parts_.on_run_ended(run, now), run);
}

void crash_reports::on_run_ended(std::string_view run, time_point now)
{
    record_run_end(run, now);
}

void crash_reports::on_connection_refused(std::string_view run, time_point now)
{
    const bool awaited = is_end_awaited(run);
    record_run_end(run, now);
    if (awaited)
        callbacks_.send_to_all(crash_notice{std::string(run), {}, true});
}

void crash_reports::on_answer_begun(const crash_traits& request, time_point now)
{
    auto parts = prompt_parts_.on_answer(request.prompt_parts, now);
    if (!parts.empty())
        callbacks_.send_to_all(answered_prompt_parts{std::move(parts)});
}

void crash_reports::on_answered(const crash_traits& request, time_point now)
{
    requests_.on_answer(request.request);
    on_answer_begun(request, now);
}

void crash_reports::on_message(const crash_notice& notice, time_point now)
{
    for (const auto& request : notice.requests)
        record_break(request, notice.engine, now);
    if (notice.run_ended)
        record_run_end(notice.engine, now);
}

void crash_reports::on_message(const answered_prompt_parts& answered,
                               time_point now)
{
    prompt_parts_.on_answer(answered.parts, now);
}

void crash_reports::on_message(const std::string& from,
                               const blocked_prompt_parts& blocked,
                               time_point now)
{
    answered_prompt_parts refuted;
    std::vector<fingerprint> added;
    for (const auto& [part, since_last_crash] : blocked.parts) {
        switch (prompt_parts_.on_blocked_by_peer(part, now - since_last_crash,
                                                 now)) {
        case peer_block::added:
            added.push_back(part);
            break;
        case peer_block::refuted:
            refuted.parts.push_back(part);
            break;
        case peer_block::known:
            break;
        }
    }
    on_parts_blocked(added, "told by " + from);
    if (!refuted.parts.empty())
        callbacks_.send_to(from, refuted);
}

crash_verdict crash_reports::verdict(const crash_traits& request,
                                     time_point now) const
{
    if (requests_.is_blocked(request.request, now))
        return crash_verdict::crashing_request;
    return prompt_parts_.blocked_among(request.prompt_parts, now)
               ? crash_verdict::crashing_prompt_part
               : crash_verdict::harmless;
}

bool crash_reports::is_end_awaited(std::string_view run) const
{
    return prompt_parts_.is_end_awaited(run);
}

void crash_reports::repeat_blocked_parts(const std::string& address,
                                         time_point now)
{
    blocked_prompt_parts message;
    for (const auto& [part, last_crash] :
         prompt_parts_.blocked(max_repeated_parts, now))
        message.parts.push_back({part, now - last_crash});
    if (!message.parts.empty())
        callbacks_.send_to(address, message);
}

void crash_reports::on_parts_blocked(std::span<const fingerprint> parts,
                                     std::string_view evidence)
{
    for (const fingerprint part : parts) {
        counts_.add("prompt_parts_blocked");
        logging::write(logging::level::warning, "prompt_part_blocked",
                       {{"part", part}, {"evidence", evidence}});
    }
    if (!parts.empty())
        callbacks_.on_parts_blocked();
}

void crash_reports::expire(time_point now)
{
    requests_.expire(now);
    prompt_parts_.expire(now);
}

} // namespace lovagegate::gateway
