#include "lovagegate/gateway/internal/crash_message_codec.hpp"

#include "lovagegate/gateway/internal/message_tag.hpp"

namespace lovagegate::gateway::internal {

using nlohmann::json;

json write(const crash_notice& m)
{
    json requests = json::array();
    for (const auto& r : m.requests)
        requests.push_back(
            json::array({r.request, r.request_and_prompt, r.prompt_parts}));
    return json::array({tag::crash_notice, m.engine, std::move(requests),
                        m.run_ended, m.since_break.count(),
                        m.since_end.count()});
}

json write(const crash_digest& m)
{
    return json::array({tag::crash_digest, m.crashes, m.use});
}

json write(const answered_prompt_parts& m)
{
    return json::array(
        {tag::answered_prompt_parts, m.parts, m.age.count(), m.requests});
}

json write(const blocked_prompt_parts& m)
{
    json parts = json::array();
    for (const auto& p : m.parts)
        parts.push_back(json::array({p.part, p.since_first_crash.count(),
                                     p.since_last_crash.count(), p.in_doubt,
                                     p.trials, p.since_last_trial.count()}));
    return json::array({tag::blocked_prompt_parts, std::move(parts)});
}

crash_notice read_single_crash_notice(const json& j)
{
    return {j.at(2).get<std::string>(),
            {{j.at(1).get<fingerprint>(), 0, {}}},
            false};
}

crash_notice read_crash_notice(const json& j)
{
    crash_notice m;
    m.engine = j.at(1).get<std::string>();
    for (const json& r : j.at(2))
        m.requests.push_back({r.at(0).get<fingerprint>(),
                              r.at(1).get<fingerprint>(),
                              r.at(2).get<std::vector<fingerprint>>()});
    m.run_ended = j.at(3).get<bool>();
    constexpr std::size_t age_position = 4;
    if (j.size() > age_position) { // absent in messages of earlier versions
        m.since_break = duration(j.at(age_position).get<duration::rep>());
        m.since_end = duration(j.at(age_position + 1).get<duration::rep>());
    }
    return m;
}

answered_prompt_parts read_answered_parts(const json& j)
{
    constexpr std::size_t age_position = 2;
    answered_prompt_parts m{j.at(1).get<std::vector<fingerprint>>(), {}};
    if (j.size() > age_position) // absent in messages of earlier versions
        m.age = duration(j.at(age_position).get<duration::rep>());
    if (j.size() > age_position + 1)
        m.requests = j.at(age_position + 1).get<std::vector<fingerprint>>();
    return m;
}

blocked_prompt_parts read_blocked_parts(const json& j)
{
    blocked_prompt_parts m;
    for (const json& p : j.at(1)) {
        m.parts.push_back({p.at(0).get<fingerprint>(),
                           duration(p.at(1).get<duration::rep>()),
                           duration(p.at(2).get<duration::rep>())});
        constexpr std::size_t doubt_position = 3;
        if (p.size() <= doubt_position)
            continue; // from an instance of an earlier version
        auto& entry = m.parts.back();
        entry.in_doubt = p.at(doubt_position).get<bool>();
        entry.trials = p.at(doubt_position + 1).get<std::uint32_t>();
        entry.since_last_trial =
            duration(p.at(doubt_position + 2).get<duration::rep>());
    }
    return m;
}

crash_digest read_crash_digest(const json& j)
{
    return {j.at(1).get<std::vector<fingerprint>>(),
            read_enum(j.at(2), crash_digest::purpose::answer)};
}

} // namespace lovagegate::gateway::internal
