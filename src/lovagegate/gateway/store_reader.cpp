#include "lovagegate/gateway/store_reader.hpp"

#include "lovagegate/logging/log.hpp"
#include "platform/http_fields.hpp"

#include <algorithm>
#include <optional>

namespace lovagegate::gateway {

namespace {

constexpr int ok_status = 200;
constexpr int gone_status = 410;
/// The store usually answers a read within milliseconds, but takes seconds when
/// it is slow.
constexpr duration read_timeout = 2500ms;
/// A page holds at most a megabyte of values, encoded in base64.
constexpr std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
/// One connection for each prefix, with room for those that are being closed.
constexpr std::size_t max_connections = 8;
constexpr const char* store_target = "store";

} // namespace

store_reader::store_reader(net::event_loop& loop, target_pool& pool,
                           settings::endpoint store, std::string prefix,
                           counters& counts, item_handler on_item,
                           batch_handler on_batch,
                           contact_handler on_contact_lost,
                           store_reader_settings settings)
    : loop_(loop), pool_(pool), store_(std::move(store)),
      prefix_(std::move(prefix)), counts_(counts), on_item_(std::move(on_item)),
      on_batch_(std::move(on_batch)),
      on_contact_lost_(std::move(on_contact_lost)), settings_(settings),
      doubt_(settings.stable_window)
{
}

store_reader::~store_reader()
{
    if (timer_ != 0)
        loop_.cancel(timer_);
    if (silence_timer_ != 0)
        loop_.cancel(silence_timer_);
}

void store_reader::start()
{
    started_ = net::event_loop::now().mono;
    failing_since_ = started_;
    failing_ = true;
    read_page();
}

duration store_reader::time_without_contact(time_point now) const
{
    return failing_ ? now - failing_since_ : duration::zero();
}

void store_reader::call(const std::string& path, duration answer_due,
                        duration limit,
                        void (store_reader::*done)(const short_call::result&))
{
    target_request request;
    request.target = store_target;
    request.address = store_;
    request.head = platform_wire::write_get_head(to_string(store_), path);
    counts_.add("store_calls");
    call_sent_ = net::event_loop::now().mono;
    expect_answer(answer_due);
    calling_ = true;
    auto finished = [this, done](const short_call::result& r) {
        calling_ = false;
        loop_.cancel(silence_timer_);
        // This call is destroyed when the next one starts.
        (this->*done)(r);
    };
    call_ = std::make_unique<short_call>(loop_, pool_, request, max_connections,
                                         limit, max_response_bytes,
                                         std::move(finished));
}

void store_reader::expect_answer(duration due)
{
    loop_.cancel(silence_timer_);
    silence_timer_ = loop_.call_later(due, [this] {
        // If the event loop is late, the answer may lie unread. It is read
        // before the next timer.
        silence_timer_ = loop_.call_later(duration::zero(), [this] {
            counts_.add("store_silences");
            lose_contact(0);
        });
    });
}

void store_reader::read_page()
{
    const std::string after =
        partial_items_.empty() ? "" : partial_items_.rbegin()->first;
    // A store that was away is asked often, so that its return is noticed
    // early.
    const duration limit =
        loaded_ && failing_ ? settings_.page_silence_margin : read_timeout;
    call(platform_wire::range_path(prefix_, after),
         settings_.page_silence_margin, limit, &store_reader::on_page);
}

void store_reader::on_page(const short_call::result& r)
{
    if (r.status != ok_status) {
        partial_items_.clear();
        on_failure(r);
        schedule_next(backoff_, true);
        return;
    }
    platform_wire::store_reply reply;
    try {
        reply = platform_wire::parse_range(r.body, checked_era(r.head));
    } catch (const platform_wire::published_error& e) {
        partial_items_.clear();
        on_unusable_answer(r, e.what());
        return;
    }
    if (!partial_items_.empty() &&
        reply.revision.era != first_page_revision_.era) {
        // The pages before are of an earlier history of the store.
        partial_items_.clear();
        schedule_next(duration::zero(), true);
        return;
    }
    // The pages don't form a snapshot: changes made while they are read are
    // picked up by watching from the first page's revision.
    if (partial_items_.empty())
        first_page_revision_ = reply.revision;
    const bool stuck = reply.items.empty();
    for (auto& item : reply.items)
        partial_items_.insert_or_assign(item.key, std::move(item));
    if (reply.more_pages && !stuck) {
        schedule_next(duration::zero(), true);
        return;
    }
    const auto all = std::move(partial_items_);
    partial_items_.clear();
    if (loaded_ && first_page_revision_.era > newest_.era)
        on_restored(first_page_revision_.era);
    doubt_.on_answer(net::event_loop::now().mono);
    auto news = apply_all(all, first_page_revision_, doubt_.until());
    revision_ = std::max(revision_, first_page_revision_);
    on_answered();
    // Items of later pages may be newer than the state is known to be complete,
    // so the state counts as that of the first page.
    if (!news.items.empty())
        on_batch_(news);
    schedule_next(duration::zero(), false);
}

store_reader::batch store_reader::apply_all(const item_map& all,
                                            store_revision revision,
                                            time_point doubt_until)
{
    batch news;
    news.after = newest_;
    news.doubt_until = doubt_until;
    std::vector<platform_wire::store_item> changes;
    for (const auto& [key, item] : items_)
        if (!all.contains(key))
            changes.push_back({key, {}, revision, true});
    for (const auto& [key, deleted] : deletions_ahead_)
        if (!all.contains(key) && deleted <= revision)
            changes.push_back({key, {}, deleted, true});
    // A list may be older than what other instances have told since.
    for (const auto& [key, item] : all)
        if (revision >= newest_ || items_.contains(key) ||
            item.revision > newest_)
            changes.push_back(item);
    for (const auto& item : changes)
        apply_to(news, item);
    loaded_ = true;
    advance_to(revision);
    news.revision = newest_;
    return news;
}

bool store_reader::apply_peer_snapshot(
    store_revision newest, std::span<const std::string> keys,
    std::span<const platform_wire::store_item> items, duration doubt_left)
{
    if (newest <= newest_ && loaded_)
        return true;
    // The sender's doubt counts: this instance may have been cut off alone.
    const time_point doubt_until = net::event_loop::now().mono + doubt_left;
    doubt_.on_told(doubt_until);
    item_map all;
    for (const auto& item : items)
        if (item.key.starts_with(prefix_))
            all.emplace(item.key, item);
    for (const auto& key : keys) {
        if (!key.starts_with(prefix_) || all.contains(key))
            continue;
        const auto known = items_.find(key);
        if (known != items_.end())
            all.emplace(*known);
        else if (!deletion_ahead(key))
            return false;
    }
    apply_all(all, newest, doubt_until);
    revision_ = std::max(revision_, newest);
    return true;
}

bool store_reader::apply_peer_changes(const batch& news)
{
    if (!loaded_)
        return false;
    // The first changes of an era replace exactly the state before them: of a
    // key that the sender didn't have, they don't say that it is gone.
    const bool begins_era = news.revision.era > newest_.era;
    const bool follows =
        begins_era ? news.after == newest_ : news.after <= newest_;
    if (!follows && deletions_ahead_.size() + news.items.size() >
                        settings_.max_deletions_ahead)
        return false;
    doubt_.on_told(news.doubt_until);
    for (const auto& item : news.items)
        if (!was_deleted_since(item))
            apply(item, news.doubt_until);
    if (!follows)
        return false;
    advance_to(news.revision);
    revision_ = std::max(revision_, newest_);
    return true;
}

std::optional<store_revision>
store_reader::deletion_ahead(const std::string& key) const
{
    const auto it = deletions_ahead_.find(key);
    return it == deletions_ahead_.end() ? std::nullopt
                                        : std::optional(it->second);
}

void store_reader::advance_to(store_revision revision)
{
    newest_ = std::max(newest_, revision);
    // From here on, the complete state lacks the key.
    std::erase_if(deletions_ahead_, [this](const auto& deletion) {
        return deletion.second <= newest_;
    });
}

bool store_reader::was_deleted_since(
    const platform_wire::store_item& item) const
{
    return item.revision <= newest_ && !items_.contains(item.key);
}

void store_reader::apply_to(batch& news, const platform_wire::store_item& item)
{
    const auto known = items_.find(item.key);
    std::optional<platform_wire::store_item> before;
    if (known != items_.end())
        before = known->second;
    const bool changed = apply(item, news.doubt_until);
    // What this instance already has by news after a gap, receivers may lack.
    if (!changed && item.revision <= news.after)
        return;
    news.items.push_back(item);
    // If a key changes several times in a batch, its value before the first
    // change is the one that receivers know.
    if (changed && before)
        news.previous_values.emplace(item.key, std::move(*before));
}

bool store_reader::apply(const platform_wire::store_item& item,
                         time_point doubt_until)
{
    if (!item.key.starts_with(prefix_))
        return false;
    const auto it = items_.find(item.key);
    if (it != items_.end() && it->second.revision >= item.revision)
        return false;
    const auto deletion = deletion_ahead(item.key);
    if (deletion && *deletion >= item.revision)
        return false;
    if (item.deleted && item.revision > newest_)
        deletions_ahead_.insert_or_assign(item.key, item.revision);
    else
        deletions_ahead_.erase(item.key);
    if (it == items_.end() && item.deleted)
        return false;
    if (item.deleted)
        items_.erase(item.key);
    else
        items_.insert_or_assign(item.key, item);
    on_item_(item, std::max(duration::zero(),
                            doubt_until - net::event_loop::now().mono));
    return true;
}

void store_reader::publish_changes(batch news)
{
    store_revision last = newest_;
    for (const auto& item : news.items)
        last = std::max(last, item.revision);
    advance_to(last);
    news.revision = newest_;
    if (!news.items.empty())
        on_batch_(news);
}

void store_reader::set_active(bool active)
{
    if (active == active_)
        return;
    active_ = active;
    contact_uncertain_ = active;
    logging::write(logging::level::info,
                   active ? "store_reading_begun" : "store_reading_ended",
                   {{"prefix", prefix_}, {"revision", to_string(revision_)}});
    if (active && !calling_)
        schedule_next(duration::zero(), !loaded_);
}

void store_reader::watch()
{
    watched_from_ = revision_;
    const duration wait =
        interrupted_ || failing_ || contact_uncertain_ || !active_
            ? settings_.probe_watch_timeout
            : settings_.watch_timeout;
    call(platform_wire::watch_path(prefix_, revision_.number, wait),
         wait + settings_.silence_margin, wait + settings_.response_margin,
         &store_reader::on_watch);
}

void store_reader::on_watch(const short_call::result& r)
{
    if (r.status == gone_status) {
        doubt_.on_answer(net::event_loop::now().mono);
        counts_.add("store_history_lost");
        schedule_next(settings_.watch_interval, true);
        return;
    }
    if (r.status != ok_status) {
        on_failure(r);
        schedule_next(backoff_, !loaded_);
        return;
    }
    try {
        const auto reply =
            platform_wire::parse_watch(r.body, checked_era(r.head));
        if (reply.revision.era > watched_from_.era) {
            // The store has the number again, of another change.
            on_answered();
            schedule_next(duration::zero(), true);
            return;
        }
        batch news;
        news.after = newest_;
        doubt_.on_answer(net::event_loop::now().mono);
        news.doubt_until = doubt_.until();
        // News of other instances may have overtaken the answer.
        for (const auto& item : reply.items)
            if (!was_deleted_since(item))
                apply_to(news, item);
        revision_ = std::max(revision_, reply.revision);
        publish_changes(std::move(news));
    } catch (const platform_wire::published_error& e) {
        on_unusable_answer(r, e.what());
        return;
    }
    on_answered();
    schedule_next(settings_.watch_interval, false);
}

std::uint64_t store_reader::checked_era(const net::message_head& answer) const
{
    const std::uint64_t era = platform_wire::read_store_era(answer);
    if (era < newest_.era)
        throw platform_wire::published_error(
            "era of the store: expected at least " +
            std::to_string(newest_.era) + ", found " + std::to_string(era));
    return era;
}

void store_reader::on_restored(std::uint64_t era)
{
    doubt_.on_restored(net::event_loop::now().mono);
    counts_.add("store_restorations");
    logging::write(
        logging::level::warning, "store_restored",
        {{"prefix", prefix_}, {"era", era}, {"newest", to_string(newest_)}});
}

void store_reader::on_unusable_answer(const short_call::result& r,
                                      std::string_view reason)
{
    logging::write(logging::level::warning, "store_answer_unusable",
                   {{"prefix", prefix_}, {"reason", reason}});
    on_failure(r);
    schedule_next(backoff_, true);
}

bool store_reader::is_first_interruption(const short_call::result& r)
{
    const bool first = !interrupted_ && !failing_;
    interrupted_ = r.failure == call_failure::before_answer ||
                   r.failure == call_failure::within_answer;
    return interrupted_ && first;
}

void store_reader::on_answered()
{
    if (failing_)
        logging::write(
            logging::level::info, "store_contact",
            {{"prefix", prefix_},
             {"revision", to_string(revision_)},
             {"after_ms", static_cast<std::uint64_t>(to_ms(
                              net::event_loop::now().mono - failing_since_))}});
    failing_ = false;
    interrupted_ = false;
    contact_uncertain_ = false;
    backoff_ = {};
    on_answer_();
}

void store_reader::on_failure(const short_call::result& r)
{
    counts_.add("store_failures", "status", std::to_string(r.status));
    backoff_ = std::clamp<duration>(2 * backoff_, settings_.initial_backoff,
                                    settings_.max_backoff);
    if (is_first_interruption(r)) {
        // The store interrupts watches from time to time, and idle keep-alive
        // connections with them.
        counts_.add("store_calls_cut");
        pool_.close_idle_connections(store_target);
        return;
    }
    doubt_.on_call_failed(call_sent_);
    lose_contact(r.status);
}

void store_reader::lose_contact(int status)
{
    if (failing_)
        return;
    failing_ = true;
    failing_since_ = net::event_loop::now().mono;
    logging::write(logging::level::warning, "store_contact_lost",
                   {{"prefix", prefix_},
                    {"status", static_cast<std::uint64_t>(status)},
                    {"revision", to_string(revision_)}});
    on_contact_lost_();
}

void store_reader::schedule_next(duration after, bool from_start)
{
    if (timer_ != 0)
        loop_.cancel(timer_);
    timer_ = 0;
    const bool gave_up = !active_ && loaded_;
    if (gave_up && !failing_)
        return;
    if (gave_up)
        after = settings_.recheck_interval;
    timer_ = loop_.call_later(after, [this, from_start] {
        timer_ = 0;
        if (from_start)
            read_page();
        else
            watch();
    });
}

} // namespace lovagegate::gateway
