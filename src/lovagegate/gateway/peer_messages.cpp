#include "lovagegate/gateway/peer_messages.hpp"

#include "lovagegate/core/cbor.hpp"
#include "lovagegate/gateway/internal/crash_message_codec.hpp"
#include "lovagegate/gateway/internal/message_tag.hpp"

namespace lovagegate::gateway {

namespace {

using json = nlohmann::json;
using internal::read_enum;
using internal::tag;
using internal::write;

json write(const engine_claim& c)
{
    return json::array({c.engine, c.token, c.since_last_order.count(),
                        c.running, c.waiting, c.kv_permille, c.halting_permille,
                        c.free_adapter_slots});
}

json write(const member_record& m)
{
    json claims = json::array();
    for (const auto& c : m.claims)
        claims.push_back(write(c));
    return json::array({m.address, m.start, m.beat, m.leaving, m.config_version,
                        m.operator_revision.number, m.target_revision.number,
                        m.store_silent, m.failure_domain, m.members,
                        m.claims_omitted, std::move(claims),
                        m.operator_revision.era, m.target_revision.era,
                        m.established, m.cpu_permille});
}

json write(const heartbeat& m)
{
    json others = json::array();
    for (const auto& o : m.others)
        others.push_back(write(o));
    json out = json::array({tag::heartbeat, write(m.self), std::move(others)});
    if (m.contact) {
        out.push_back(m.contact->age.count());
        out.push_back(m.contact->hops);
    }
    return out;
}

json write(const adapter_request& m)
{
    return json::array({tag::adapter_request, m.number, m.engine,
                        m.wanted.model, m.wanted.adapter, m.wanted.version,
                        m.was_absent, m.time_left.count()});
}

json write(const adapter_reply& m)
{
    return json::array(
        {tag::adapter_reply, m.number, m.engine, m.status, m.version});
}

json write(const adapter_usage& m)
{
    return json::array({tag::adapter_usage, m.engine, m.adapters, m.streams,
                        m.halting, m.open_requests});
}

json write(const reader_keepalive& m)
{
    return json::array({tag::reader_keepalive, m.reader, m.relay_to});
}

json write(const limit_notice& m)
{
    return json::array({tag::limit_notice, m.target, m.started_ms,
                        m.per_second ? json(*m.per_second) : json(),
                        m.age.count()});
}

json write(const quota_report& m)
{
    json entries = json::array();
    for (const auto& e : m.entries) {
        entries.push_back(e.workspace);
        entries.push_back(e.admitted);
        entries.push_back(e.demand_per_s);
    }
    return json::array({tag::quota_report, m.start, m.sequence, m.coordinators,
                        m.instances, m.part, m.part_count, std::move(entries)});
}

json write(const quota_share& m)
{
    json entries = json::array();
    for (const auto& e : m.entries) {
        entries.push_back(e.workspace);
        entries.push_back(e.fraction);
        entries.push_back(e.room);
        entries.push_back(e.horizon_ms);
    }
    return json::array({tag::quota_share, m.start, m.sequence, m.coordinators,
                        m.report_start, m.report_sequence, m.reporters,
                        m.instances, m.part, m.part_count, std::move(entries)});
}

json write(const std::vector<place_release::entry>& entries)
{
    json out = json::array();
    for (const auto& e : entries)
        out.push_back(json::array({e.number, e.outcome, e.run_time.count()}));
    return out;
}

json write(const place_request& m)
{
    return json::array({tag::place_request, m.service, m.number, m.priority,
                        m.workspace, m.kind, m.objective_left.count(),
                        m.deadline_left.count(), m.needs_no_permit,
                        m.unpermitted, m.unpermitted_run_time.count(),
                        write(m.released)});
}

json write(const place_grant& m)
{
    return json::array({tag::place_grant, m.number, m.answer, m.target,
                        m.expected_wait.count(), m.no_request_for.count()});
}

json write(const place_refusal& m)
{
    return json::array(
        {tag::place_refusal, m.number, m.retry_after.count(), m.reason});
}

json write(const place_release& m)
{
    return json::array({tag::place_release, m.service, write(m.entries)});
}

json write(const run_request& m)
{
    return json::array({tag::run_request, m.number, m.engine, m.priority,
                        m.prompt_tokens, m.all_tokens, m.objective.count(),
                        m.must_run, m.waits_for_adapter});
}

json write(const run_reply& m)
{
    return json::array({tag::run_reply, m.number, m.engine, m.verdict,
                        m.open_requests, m.usable_slots});
}

json write(const run_update& m)
{
    json entries = json::array();
    for (const auto& e : m.entries)
        entries.push_back(json::array(
            {e.engine, e.number, e.event, e.first_event_time.count()}));
    return json::array({tag::run_update, std::move(entries)});
}

json write(const store_changes& m)
{
    json bases = json::array();
    for (const auto& b : m.bases)
        bases.push_back(
            json::array({b.key, b.revision.number, b.revision.era}));
    return json::array({tag::store_changes, m.of_targets, m.after.number,
                        m.revision.number, m.doubt_left > duration::zero(),
                        std::move(bases), m.packed, m.relay_to, m.part,
                        m.part_count, m.content, m.after.era, m.revision.era,
                        m.doubt_left.count()});
}

/// @param number_position position of the revision's number in the array
/// @param era_position of its era, which messages of earlier versions lack
store_revision read_revision(const json& j, std::size_t number_position,
                             std::size_t era_position)
{
    return {j.at(number_position).get<std::uint64_t>(),
            j.size() > era_position ? j.at(era_position).get<std::uint64_t>()
                                    : 0};
}

/// Doubt in news of earlier versions, which say only that there is some.
constexpr duration unspecified_doubt = 1s;

duration read_doubt(const json& news)
{
    constexpr std::size_t time_position = 13;
    if (news.size() > time_position)
        return duration(news.at(time_position).get<duration::rep>());
    const bool in_doubt = news.at(4).get<bool>();
    return in_doubt ? unspecified_doubt : duration::zero();
}

store_changes read_news(const json& j)
{
    store_changes n;
    n.of_targets = j.at(1).get<bool>();
    n.after = read_revision(j, 2, 11);
    n.revision = read_revision(j, 3, 12);
    n.doubt_left = read_doubt(j);
    for (const json& b : j.at(5))
        n.bases.push_back({b.at(0).get<std::string>(), read_revision(b, 1, 2)});
    n.packed = j.at(6).get<std::string>();
    constexpr std::size_t relay_position = 7;
    if (j.size() > relay_position) // absent in messages of earlier versions
        n.relay_to = j.at(relay_position).get<std::vector<std::string>>();
    constexpr std::size_t part_position = 8;
    if (j.size() > part_position) {
        n.part = j.at(part_position).get<std::uint32_t>();
        n.part_count = j.at(part_position + 1).get<std::uint32_t>();
        n.content = j.at(part_position + 2).get<fingerprint>();
    }
    return n;
}

engine_claim read_claim(const json& j)
{
    return {j.at(0).get<std::string>(),
            j.at(1).get<std::uint64_t>(),
            duration(j.at(2).get<duration::rep>()),
            j.at(3).get<std::uint32_t>(),
            j.at(4).get<std::uint32_t>(),
            j.at(5).get<std::uint32_t>(),
            j.at(6).get<std::uint32_t>(),
            j.at(7).get<std::uint32_t>()};
}

member_record read_member(const json& j)
{
    member_record m;
    m.address = j.at(0).get<std::string>();
    m.start = j.at(1).get<std::uint64_t>();
    m.beat = j.at(2).get<std::uint64_t>();
    m.leaving = j.at(3).get<bool>();
    m.config_version = j.at(4).get<std::uint64_t>();
    m.operator_revision = read_revision(j, 5, 12);
    m.target_revision = read_revision(j, 6, 13);
    m.store_silent = j.at(7).get<bool>();
    m.failure_domain = j.at(8).get<std::string>();
    m.members = j.at(9).get<std::uint64_t>();
    m.claims_omitted = j.at(10).get<bool>();
    for (const json& c : j.at(11))
        m.claims.push_back(read_claim(c));
    constexpr std::size_t established_position = 14;
    m.established = j.size() <= established_position ||
                    j.at(established_position).get<bool>();
    constexpr std::size_t cpu_position = 15;
    if (j.size() > cpu_position) // absent in messages of earlier versions
        m.cpu_permille = j.at(cpu_position).get<std::uint32_t>();
    return m;
}

heartbeat read_heartbeat(const json& j)
{
    heartbeat h;
    h.self = read_member(j.at(1));
    for (const json& o : j.at(2))
        h.others.push_back(read_member(o));
    constexpr std::size_t contact_position = 3;
    if (j.size() > contact_position) // absent in messages of earlier versions
        h.contact = access::contact_age{
            duration(j.at(contact_position).get<duration::rep>()),
            j.at(contact_position + 1).get<std::uint32_t>()};
    return h;
}

adapter_status read_status(const json& j)
{
    const auto n = j.get<unsigned>();
    return n <= static_cast<unsigned>(adapter_status::refused)
               ? static_cast<adapter_status>(n)
               : adapter_status::refused;
}

duration read_time_left(const json& adapter_request)
{
    // Instances of earlier versions don't say how long a request can wait.
    constexpr std::size_t position = 7;
    return adapter_request.size() > position
               ? duration(adapter_request.at(position).get<duration::rep>())
               : duration::max();
}

limit_notice read_limit_notice(const json& j)
{
    limit_notice m;
    m.target = j.at(1).get<std::string>();
    m.started_ms = j.at(2).get<std::int64_t>();
    if (!j.at(3).is_null())
        m.per_second = j.at(3).get<double>();
    m.age = duration(j.at(4).get<duration::rep>());
    return m;
}

/// Number of elements that an entry of a quota message takes.
constexpr std::size_t quota_report_entry_size = 3;
constexpr std::size_t quota_share_entry_size = 4;

quota_report read_quota_report(const json& j)
{
    quota_report m{j.at(1).get<incarnation>(),
                   j.at(2).get<std::uint64_t>(),
                   j.at(3).get<std::uint32_t>(),
                   j.at(4).get<std::uint32_t>(),
                   j.at(5).get<std::uint32_t>(),
                   j.at(6).get<std::uint32_t>(),
                   {}};
    const json& e = j.at(7);
    for (std::size_t i = 0; i < e.size(); i += quota_report_entry_size)
        m.entries.push_back({e.at(i).get<std::uint64_t>(),
                             e.at(i + 1).get<std::int64_t>(),
                             e.at(i + 2).get<std::int64_t>()});
    return m;
}

quota_share read_quota_share(const json& j)
{
    quota_share m{j.at(1).get<incarnation>(),   j.at(2).get<std::uint64_t>(),
                  j.at(3).get<std::uint32_t>(), j.at(4).get<incarnation>(),
                  j.at(5).get<std::uint64_t>(), j.at(6).get<std::uint32_t>(),
                  j.at(7).get<std::uint32_t>(), j.at(8).get<std::uint32_t>(),
                  j.at(9).get<std::uint32_t>(), {}};
    const json& e = j.at(10);
    for (std::size_t i = 0; i < e.size(); i += quota_share_entry_size)
        m.entries.push_back({e.at(i).get<std::uint64_t>(),
                             e.at(i + 1).get<std::uint32_t>(),
                             e.at(i + 2).get<std::int64_t>(),
                             e.at(i + 3).get<std::uint32_t>()});
    return m;
}

std::vector<place_release::entry> read_place_entries(const json& j)
{
    std::vector<place_release::entry> out;
    for (const json& e : j)
        out.push_back({e.at(0).get<std::uint64_t>(),
                       read_enum(e.at(1), permit_outcome::unused),
                       duration(e.at(2).get<duration::rep>())});
    return out;
}

place_request read_place_request(const json& j)
{
    return {j.at(1).get<std::string>(),
            j.at(2).get<std::uint64_t>(),
            j.at(3).get<std::uint32_t>(),
            j.at(4).get<std::uint64_t>(),
            j.at(5).get<std::uint64_t>(),
            duration(j.at(6).get<duration::rep>()),
            duration(j.at(7).get<duration::rep>()),
            j.at(8).get<bool>(),
            j.at(9).get<std::uint32_t>(),
            duration(j.at(10).get<duration::rep>()),
            read_place_entries(j.at(11))};
}

place_grant read_place_grant(const json& j)
{
    return {j.at(1).get<std::uint64_t>(),
            read_enum(j.at(2), place_answer::unmanaged),
            j.at(3).get<std::string>(), duration(j.at(4).get<duration::rep>()),
            duration(j.at(5).get<duration::rep>())};
}

place_refusal read_place_refusal(const json& j)
{
    return {j.at(1).get<std::uint64_t>(),
            duration(j.at(2).get<duration::rep>()),
            read_enum(j.at(3), place_refusal_reason::deadline)};
}

adapter_usage read_adapter_usage(const json& j)
{
    adapter_usage m{j.at(1).get<std::string>(),
                    j.at(2).get<std::vector<std::string>>(),
                    j.at(3).get<std::uint32_t>(), j.at(4).get<std::uint32_t>()};
    constexpr std::size_t open_position = 5;
    if (j.size() > open_position) // absent in messages of earlier versions
        m.open_requests = j.at(open_position).get<std::uint32_t>();
    return m;
}

run_request read_run_request(const json& j)
{
    return {
        j.at(1).get<std::uint64_t>(), j.at(2).get<std::string>(),
        j.at(3).get<std::uint32_t>(), j.at(4).get<std::uint32_t>(),
        j.at(5).get<std::uint32_t>(), duration(j.at(6).get<duration::rep>()),
        j.at(7).get<bool>(),          j.at(8).get<bool>()};
}

run_reply read_run_reply(const json& j)
{
    const auto verdict = j.at(3).get<unsigned>();
    return {j.at(1).get<std::uint64_t>(), j.at(2).get<std::string>(),
            verdict <= static_cast<unsigned>(run_verdict::not_owner)
                ? static_cast<run_verdict>(verdict)
                : run_verdict::not_owner,
            j.at(4).get<std::uint32_t>(), j.at(5).get<std::uint32_t>()};
}

run_update read_run_update(const json& j)
{
    run_update m;
    for (const json& e : j.at(1)) {
        const auto event = e.at(2).get<unsigned>();
        if (event <= static_cast<unsigned>(run_event::sent))
            m.entries.push_back({e.at(0).get<std::string>(),
                                 e.at(1).get<std::uint64_t>(),
                                 static_cast<run_event>(event),
                                 duration(e.at(3).get<duration::rep>())});
    }
    return m;
}

std::optional<peer_message> read(const json& j)
{
    switch (static_cast<tag>(j.at(0).get<unsigned>())) {
    case tag::heartbeat:
        return read_heartbeat(j);
    case tag::adapter_request:
        return adapter_request{j.at(1).get<std::uint64_t>(),
                               j.at(2).get<std::string>(),
                               {j.at(3).get<std::string>(),
                                j.at(4).get<std::string>(),
                                j.at(5).get<std::uint64_t>()},
                               j.at(6).get<bool>(),
                               read_time_left(j)};
    case tag::adapter_reply:
        return adapter_reply{j.at(1).get<std::uint64_t>(),
                             j.at(2).get<std::string>(), read_status(j.at(3)),
                             j.at(4).get<std::uint64_t>()};
    case tag::adapter_usage:
        return read_adapter_usage(j);
    case tag::store_changes:
        return read_news(j);
    case tag::single_crash_notice:
        return internal::read_single_crash_notice(j);
    case tag::crash_notice:
        return internal::read_crash_notice(j);
    case tag::answered_prompt_parts:
        return internal::read_answered_parts(j);
    case tag::blocked_prompt_parts:
        return internal::read_blocked_parts(j);
    case tag::crash_digest:
        return internal::read_crash_digest(j);
    case tag::reader_keepalive:
        return reader_keepalive{j.at(1).get<std::string>(),
                                j.at(2).get<std::vector<std::string>>()};
    case tag::limit_notice:
        return read_limit_notice(j);
    case tag::quota_report:
        return read_quota_report(j);
    case tag::quota_share:
        return read_quota_share(j);
    case tag::place_request:
        return read_place_request(j);
    case tag::place_grant:
        return read_place_grant(j);
    case tag::place_refusal:
        return read_place_refusal(j);
    case tag::place_release:
        return place_release{j.at(1).get<std::string>(),
                             read_place_entries(j.at(2))};
    case tag::run_request:
        return read_run_request(j);
    case tag::run_reply:
        return read_run_reply(j);
    case tag::run_update:
        return read_run_update(j);
    }
    return std::nullopt;
}

} // namespace

std::string encode(const peer_message& message)
{
    const json j = std::visit([](const auto& m) { return write(m); }, message);
    return write_cbor(j);
}

std::optional<peer_message> decode(std::string_view datagram)
{
    try {
        return read(read_cbor(datagram));
    } catch (const json::exception&) {
        return std::nullopt; // the caller counts unreadable datagrams
    }
}

} // namespace lovagegate::gateway
