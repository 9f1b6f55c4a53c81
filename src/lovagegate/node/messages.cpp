// Dispatches each message of a peer to the component that handles it.
#include "lovagegate/node/node.hpp"

namespace lovagegate::node {

void node::receive(const sender& from, const protocol::lease_request& m,
                   instant now, outbox& out)
{
    pools_.on_lease_request(from, m, now.mono, out);
}

void node::receive(const sender& from, const protocol::lease_grant& m,
                   instant now, outbox& out)
{
    router_.on_grant(from.instance, m, now.mono, out);
}

void node::receive(const sender&, const protocol::lease_refusal& m, instant now,
                   outbox& out)
{
    router_.on_refusal(m, now.mono, out);
}

void node::receive(const sender&, const protocol::lease_queued& m, instant now,
                   outbox&)
{
    router_.on_queued(m, now.mono);
}

void node::receive(const sender& from, const protocol::lease_release& m,
                   instant now, outbox& out)
{
    pools_.on_release(from, m, now.mono, out);
}

void node::receive(const sender& from, const protocol::lease_renewal& m,
                   instant now, outbox& out)
{
    pools_.on_renewal(from, m, now.mono, out);
}

void node::receive(const sender& from, const protocol::lease_cancel& m,
                   instant now, outbox& out)
{
    pools_.on_cancel(from, m, now.mono, out);
}

void node::receive(const sender& from, const protocol::pool_handover& m,
                   instant now, outbox& out)
{
    pools_.on_handover(from, m, now.mono, out);
}

void node::receive(const sender& from, const protocol::permit_request& m,
                   instant now, outbox& out)
{
    permits_.on_request(from, m, now.mono, out);
}

void node::receive(const sender&, const protocol::permit_grant& m, instant now,
                   outbox& out)
{
    pools_.on_permit_grant(m, now.mono, out);
}

void node::receive(const sender& from, const protocol::permit_return& m,
                   instant now, outbox& out)
{
    permits_.on_return(from, m, now.mono, out);
}

void node::receive(const sender& from, const protocol::ticket_push& m,
                   instant now, outbox&)
{
    gossip_.on_push(from, m, ticket_book_, now);
}

void node::receive(const sender& from, const protocol::ticket_digest& m,
                   instant now, outbox& out)
{
    gossip_.on_digest(from, m, view_.phase_of(from.instance), ticket_book_, now,
                      out);
}

void node::receive(const sender& from, const protocol::ticket_pull& m, instant,
                   outbox& out)
{
    gossip_.on_pull(from, m, ticket_book_, out);
}

void node::receive(const sender& from, const protocol::claim_request& m,
                   instant now, outbox& out)
{
    claim_home_.on_claim(from, m, now, view_, out);
}

void node::receive(const sender&, const protocol::claim_answer& m, instant now,
                   outbox& out)
{
    router_.on_claim_answer(m, now.mono, out);
}

void node::receive(const sender& from, const protocol::claim_result& m,
                   instant now, outbox&)
{
    claim_home_.on_result(from, m, now);
}

void node::receive(const sender& from, const protocol::claim_transfer& m,
                   instant now, outbox& out)
{
    claim_home_.on_transfer(from, m, now, view_, out);
}

void node::receive(const sender& from, const protocol::claim_transfer_answer& m,
                   instant now, outbox& out)
{
    claim_home_.on_transfer_answer(from, m, now, view_, out);
}

void node::receive(const sender& from, const protocol::suspicion_push& m,
                   instant now, outbox&)
{
    const auto news = crashes_.on_push(from, m, now.mono);
    pools_.on_suspicions(news, now.mono);
}

void node::receive(const sender& from, const protocol::heartbeat& m,
                   instant now, outbox& out)
{
    view_.on_heartbeat(from, m, now, out);
    gossip_.on_digest(from, m.tickets, m.state, ticket_book_, now, out);
}

} // namespace lovagegate::node
