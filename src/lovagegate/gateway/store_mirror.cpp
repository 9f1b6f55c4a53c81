#include "lovagegate/gateway/store_mirror.hpp"

#include "lovagegate/gateway/news_relay.hpp"
#include "lovagegate/gateway/store_reader_election.hpp"
#include "lovagegate/logging/log.hpp"
#include "platform/http_fields.hpp"
#include "platform/words.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace lovagegate::gateway {

namespace {

/// A reader of the store that isn't the sender of news sends what it has read
/// after this time, unless the sender has: that one may have lost the store or
/// have ended. Longer than the pause between two watches of the sender.
constexpr duration backup_send_delay = 300ms;
/// The full state is requested from another instance if that instance has had
/// newer revisions for this long.
constexpr duration pull_delay = 300ms;
/// An instance that reads the store itself receives changes with the next
/// answer to its watch, so it waits longer.
constexpr duration reader_pull_delay = 1s;
constexpr duration pull_interval = 150ms;
constexpr duration pull_timeout = 900ms;
constexpr std::size_t max_peer_state_bytes = std::size_t{8} * 1024 * 1024;
constexpr const char* peer_state_path = "/peer/state/";

/// @return path that requests what is newer than the known revisions:
///         /peer/state/OPERATOR_NUMBER/TARGET_NUMBER/OPERATOR_ERA/TARGET_ERA
std::string write_peer_state_path(const known_revisions& known)
{
    std::string path = peer_state_path;
    for (const auto n : {known.operator_keys.number, known.targets.number,
                         known.operator_keys.era})
        path += std::to_string(n) + '/';
    return path + std::to_string(known.targets.era);
}

/// @return the known revisions; what the path lacks is 0
known_revisions parse_peer_state_path(std::string_view path)
{
    path.remove_prefix(std::string_view(peer_state_path).size());
    known_revisions known;
    const char* at = path.data();
    const char* const end = at + path.size();
    for (auto* const n : {&known.operator_keys.number, &known.targets.number,
                          &known.operator_keys.era, &known.targets.era}) {
        const auto read = std::from_chars(at, end, *n);
        if (read.ec != std::errc() || read.ptr == end)
            break;
        at = read.ptr + 1;
    }
    return known;
}

} // namespace

store_mirror::store_mirror(net::event_loop& loop, target_pool& pool,
                           gateway_state& state, std::mt19937_64& random,
                           datagram_sender send,
                           store_reader::item_handler on_operator_item,
                           store_reader::item_handler on_target_item,
                           store_reader_settings settings)
    : loop_(loop), pool_(pool), state_(state), random_(random),
      send_(std::move(send)),
      operator_reader_(
          loop, pool, state.boot.store,
          std::string(platform_wire::store_key::operator_prefix), state.counts,
          std::move(on_operator_item),
          [this](const store_reader::batch& b) { tell(false, b); },
          [this] { on_contact_lost(); }, settings),
      target_reader_(
          loop, pool, state.boot.store,
          std::string(platform_wire::store_key::targets), state.counts,
          std::move(on_target_item),
          [this](const store_reader::batch& b) { tell(true, b); },
          [this] { on_contact_lost(); }, settings),
      link_pacer_(state.boot.link_bytes_per_s),
      readers_(net::event_loop::now().mono)
{
}

void store_mirror::start()
{
    operator_reader_.set_answer_handler([this] {
        state_.contact.on_store_answer(net::event_loop::now().mono);
    });
    operator_reader_.start();
    target_reader_.start();
}

void store_mirror::describe(member_record& self) const
{
    self.operator_revision = operator_reader_.newest();
    self.target_revision = target_reader_.newest();
    self.store_silent =
        operator_reader_.is_failing() || target_reader_.is_failing();
}

void store_mirror::describe(heartbeat& h, time_point now) const
{
    const auto workspaces = state_.routes.workspaces();
    if (workspaces && workspaces->needs_keys())
        h.contact = state_.contact.age(now);
}

void store_mirror::on_contact_told(const heartbeat& h, time_point now)
{
    const store_revision mine = operator_reader_.newest();
    if (h.contact && in_era(h.self.operator_revision, mine) <= mine)
        state_.contact.on_peer(*h.contact, now);
}

bool store_mirror::is_state_path(std::string_view path)
{
    return path.starts_with(peer_state_path);
}

void store_mirror::update_duty(time_point now)
{
    const bool reads = has_duty(now);
    operator_reader_.set_active(reads);
    target_reader_.set_active(reads);
}

bool store_mirror::has_duty(time_point now) const
{
    return acts_as_reader_ || is_store_reader(state_.members, now);
}

void store_mirror::tick(time_point now)
{
    readers_.on_check(now);
    if (state_.members.self().leaving)
        return;
    if (readers_.is_keepalive_due(0, now) && has_duty(now)) {
        const std::size_t before =
            acts_as_reader_ ? 0 : instances_before(state_.members, now);
        if (readers_.is_keepalive_due(before, now))
            send_keepalive(now);
    } else if (readers_.is_silent(now) && !state_.members.self().store_silent &&
               readers_.is_take_over_due(instances_before(state_.members, now),
                                         now)) {
        act_as_reader(true, now);
    }
}

void store_mirror::act_as_reader(bool active, time_point now)
{
    acts_as_reader_ = active;
    logging::write(logging::level::warning,
                   active ? "store_readers_lost" : "store_readers_back",
                   {{"live", std::uint64_t{state_.members.count(now)}}});
    update_duty(now);
    if (active) {
        state_.counts.add("store_readers_lost");
        send_keepalive(now);
    }
}

void store_mirror::send_keepalive(time_point now)
{
    readers_.on_keepalive(now);
    for (auto& group : make_relay_groups(state_.members, now, random_))
        send_(group.relay, encode(reader_keepalive{state_.boot.address,
                                                   std::move(group.others)}));
}

void store_mirror::on_keepalive(const reader_keepalive& keepalive,
                                time_point now)
{
    if (keepalive.reader == state_.boot.address)
        return;
    readers_.on_keepalive(now);
    for (const auto& address : keepalive.relay_to)
        if (address != state_.boot.address)
            send_(address, encode(reader_keepalive{keepalive.reader}));
    if (acts_as_reader_ && comes_before(state_.members, keepalive.reader))
        act_as_reader(false, now);
}

void store_mirror::on_contact_lost()
{
    const time_point now = net::event_loop::now().mono;
    member_record& self = state_.members.self();
    const bool had_duty = has_duty(now);
    describe(self);
    acts_as_reader_ = false;
    if (!had_duty || self.leaving)
        return;
    update_duty(now);
    ++self.beat;
    heartbeat notice{self, {}};
    notice.self.claims_omitted = true;
    notice.self.claims.clear();
    const std::string datagram = encode(notice);
    for (const auto& address : next_store_readers(state_.members, now))
        send_(address, datagram);
}

void store_mirror::tell(bool of_targets, const store_reader::batch& news)
{
    const time_point now = net::event_loop::now().mono;
    if (acts_as_reader_ || is_news_sender(state_.members, now)) {
        send_changes(of_targets, news);
        return;
    }
    if (!is_store_reader(state_.members, now))
        return;
    loop_.call_later(backup_send_delay, [this, of_targets, news] {
        const store_revision& told =
            of_targets ? told_.targets : told_.operator_keys;
        if (told >= news.revision)
            return;
        state_.counts.add("news_sent_for_another");
        send_changes(of_targets, news);
    });
}

void store_mirror::send_changes(bool of_targets,
                                const store_reader::batch& news)
{
    const time_point now = net::event_loop::now().mono;
    readers_.on_keepalive(now);
    // All messages take the same ways, so that they arrive in order.
    const auto groups = make_relay_groups(state_.members, now, random_);
    for (auto& message : pack_changes(of_targets, news, now))
        for (const auto& group : groups) {
            message.relay_to = group.others;
            send_to(group.relay, message);
        }
}

void store_mirror::relay(store_changes news)
{
    const auto receivers = std::exchange(news.relay_to, {});
    if (receivers.empty())
        return;
    for (const auto& address : receivers)
        if (address != state_.boot.address)
            send_to(address, news);
}

void store_mirror::on_changes(const settings::endpoint& from,
                              const store_changes& news)
{
    relay(news);
    readers_.on_keepalive(net::event_loop::now().mono);
    store_reader& reader = news.of_targets ? target_reader_ : operator_reader_;
    store_revision& told =
        news.of_targets ? told_.targets : told_.operator_keys;
    told = std::max(told, in_era(news.revision, reader.newest()));
    const time_point now = net::event_loop::now().mono;
    const auto whole = assembler_.add(news, now);
    // If a part is lost, the changes are pulled once a heartbeat shows that
    // they are missing.
    if (!whole)
        return;
    const auto batch =
        unpack_changes(*whole, reader.items(), now, reader.newest());
    if (!batch)
        state_.counts.add("news_to_be_pulled");
    const bool complete = batch && reader.apply_peer_changes(*batch);
    const bool is_ahead =
        in_era(news.revision, reader.newest()) > reader.newest();
    // An instance that reads the store itself gets the changes from there; it
    // pulls only if they stay missing.
    if (!complete && is_ahead && !reader.is_reading())
        pull_from(from.address);
}

known_revisions store_mirror::newest() const
{
    return {operator_reader_.newest(), target_reader_.newest()};
}

void store_mirror::pull_missing(time_point now)
{
    const known_revisions mine = newest();
    known_revisions best = mine;
    std::vector<std::string> ahead;
    for (const auto& [address, m] : state_.members.all()) {
        const member_record& r = m.record;
        const known_revisions theirs{
            in_era(r.operator_revision, mine.operator_keys),
            in_era(r.target_revision, mine.targets)};
        if (!state_.members.is_alive(m, now) ||
            (theirs.operator_keys <= mine.operator_keys &&
             theirs.targets <= mine.targets))
            continue;
        ahead.push_back(address);
        best.operator_keys = std::max(best.operator_keys, theirs.operator_keys);
        best.targets = std::max(best.targets, theirs.targets);
    }
    const bool caught_up =
        mine.operator_keys >= missing_revisions_.operator_keys &&
        mine.targets >= missing_revisions_.targets;
    if (caught_up) {
        missing_revisions_ = best;
        missing_since_ = now;
    }
    // Changes may still be in transit, so only those that stay missing are
    // requested.
    const bool reads =
        operator_reader_.is_reading() && target_reader_.is_reading();
    if (ahead.empty() ||
        now - missing_since_ < (reads ? reader_pull_delay : pull_delay))
        return;
    pull_from(ahead[random_() % ahead.size()]);
}

void store_mirror::pull_from(const std::string& address)
{
    const time_point now = net::event_loop::now().mono;
    if (pull_ || now - last_pull_ < pull_interval)
        return;
    last_pull_ = now;
    const settings::endpoint peer{address, state_.boot.control.port};
    const known_revisions known =
        pull_everything_ ? known_revisions{} : newest();
    target_request request;
    request.target = "peer " + peer.address;
    request.address = peer;
    request.head = platform_wire::write_get_head(to_string(peer),
                                                 write_peer_state_path(known));
    state_.counts.add("peer_state_pulls");
    pull_ = std::make_unique<short_call>(
        loop_, pool_, request, 2, pull_timeout, max_peer_state_bytes,
        [this](const short_call::result& r) {
            loop_.call_later(duration::zero(), [this] { pull_.reset(); });
            constexpr int ok = 200;
            if (r.status == ok)
                apply_state(r.body);
            else
                state_.counts.add("peer_state_pulls_failed");
        });
}

std::string store_mirror::state_for(std::string_view path) const
{
    known_revisions known = parse_peer_state_path(path);
    known.operator_keys = in_era(known.operator_keys, newest().operator_keys);
    known.targets = in_era(known.targets, newest().targets);
    return pack_state(operator_reader_, target_reader_, known,
                      net::event_loop::now().mono);
}

void store_mirror::apply_state(const std::string& body)
{
    try {
        const state_snapshot page = unpack_state(body, newest());
        const bool whole_keys = operator_reader_.apply_peer_snapshot(
            page.newest.operator_keys, page.keys, page.items, page.doubt_left);
        const bool whole_targets = target_reader_.apply_peer_snapshot(
            page.newest.targets, page.keys, page.items, page.doubt_left);
        pull_everything_ = !whole_keys || !whole_targets;
        logging::write(logging::level::info, "state_from_peer",
                       {{"items", std::uint64_t{page.items.size()}},
                        {"keys", std::uint64_t{page.keys.size()}},
                        {"complete", pull_everything_ ? "no" : "yes"}});
    } catch (const std::runtime_error& e) {
        report_unreadable_state(e.what());
    } catch (const nlohmann::json::exception& e) {
        report_unreadable_state(e.what());
    }
}

void store_mirror::report_unreadable_state(const char* reason)
{
    state_.counts.add("peer_state_unreadable");
    logging::write(logging::level::warning, "peer_state_unreadable",
                   {{"reason", reason}});
}

void store_mirror::send_paced(const std::string& address, std::string datagram)
{
    const duration delay =
        link_pacer_.reserve(datagram.size(), net::event_loop::now().mono);
    loop_.call_later(delay, [this, address, datagram = std::move(datagram)] {
        send_(address, datagram);
    });
}

void store_mirror::send_to(const std::string& address,
                           const store_changes& message)
{
    // Later changes must not overtake parts of earlier ones.
    if (message.part_count > 1 ||
        link_pacer_.is_busy(net::event_loop::now().mono))
        send_paced(address, encode(message));
    else
        send_(address, encode(message));
}

} // namespace lovagegate::gateway
