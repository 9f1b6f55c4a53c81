#include "lovagegate/gateway/store_reader.hpp"

#include "standins/site/platform_store.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

using namespace lovagegate;
using namespace lovagegate::gateway;

namespace {

/// Longer than any operation takes on a busy machine; only failing tests wait
/// this long.
constexpr duration max_wait = 20s;

/// A store_reader for the configuration and a store, on one event loop.
struct reading
{
    net::event_loop loop;
    standins::platform_store store{loop};
    target_pool pool{loop};
    counters counts;
    std::vector<std::string> seen; ///< in the order in which they arrived
    bool in_doubt = false;         ///< whether the last one was
    bool failed = false;           ///< the reader lost contact at some time
    std::vector<store_reader::batch> told; ///< changes read from the store
    int losses = 0; ///< how often the reader has reported a loss of contact
    std::unique_ptr<store_reader> reader;

    /// @param active whether the reader goes on reading after the first page
    explicit reading(store_reader_settings settings = {}, bool active = true)
    {
        store.put_config("first");
        reader = std::make_unique<store_reader>(
            loop, pool, settings::endpoint{"127.0.0.1", store.port()}, "op/",
            counts,
            [this](const platform_wire::store_item& item, duration doubt) {
                seen.push_back(item.value);
                in_doubt = doubt > 0s;
            },
            [this](const store_reader::batch& b) { told.push_back(b); },
            [this] { ++losses; }, settings);
        reader->set_active(active);
        reader->start();
        REQUIRE(run_until([&] { return seen.size() == 1; }));
        REQUIRE(run_until([&] { return !reader->is_failing(); }));
        failed = false;
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const time_point until = net::event_loop::now().mono + max_wait;
        while (!condition() && net::event_loop::now().mono < until) {
            // Wakes the loop, which otherwise sleeps until its next event.
            loop.call_later(5ms, [] {});
            loop.run_once();
            failed = failed || reader->is_failing();
        }
        return condition();
    }
};

} // namespace

TEST_CASE("one interrupted watch doesn't count as a loss of contact with "
          "the store",
          "[gateway]")
{
    // An instance that is wrongly assumed to be cut off hands the reading over
    // to one that may really be cut off, and until then no instance learns of
    // changes.
    reading r;
    r.store.cut_next(1);
    r.store.put_config("second");
    r.store.compact();
    REQUIRE(r.run_until([&] { return r.seen.size() == 2; }));
    CHECK(r.seen.back() == "second");
    CHECK_FALSE(r.failed);
    CHECK(r.counts.count("store_calls_cut") == 1);
    // The interruption above was followed by a success, so this one counts as
    // the first again.
    r.store.cut_next(1);
    r.store.put_config("third");
    REQUIRE(r.run_until([&] { return r.seen.size() == 3; }));
    CHECK_FALSE(r.failed);
}

TEST_CASE("a deletion after one interrupted watch is not in doubt", "[gateway]")
{
    // No entry expires in so short a time. In doubt, a target that left would
    // get requests longer than the drain limit allows.
    reading r;
    r.store.cut_next(1);
    r.store.put_config("second");
    REQUIRE(r.run_until([&] { return r.seen.size() == 2; }));
    REQUIRE(r.counts.count("store_calls_cut") == 1);
    CHECK(r.reader->doubt_left(net::event_loop::now().mono) == 0s);
    CHECK_FALSE(r.in_doubt);
}

TEST_CASE("two interrupted calls in a row count as a loss of contact with "
          "the store",
          "[gateway]")
{
    reading r;
    r.store.cut_next(2);
    CHECK(r.run_until([&] { return r.failed; }));
    CHECK(r.run_until([&] { return !r.reader->is_failing(); }));
    CHECK(r.reader->doubt_left(net::event_loop::now().mono) > 0s);
}

TEST_CASE("one refused call counts as a loss of contact with the store",
          "[gateway]")
{
    reading r;
    r.store.set_down(true);
    CHECK(r.run_until([&] { return r.failed; }));
    r.store.set_down(false);
    CHECK(r.run_until([&] { return !r.reader->is_failing(); }));
}

TEST_CASE("a new reader that the store doesn't answer fails before a whole "
          "watch has passed",
          "[gateway]")
{
    // The store may turn several instances away; until one that it answers
    // takes over, no instance learns of changes.
    store_reader_settings settings;
    settings.watch_timeout = 2 * max_wait;
    reading r(settings, false);
    r.store.set_silent(true);
    r.reader->set_active(true);
    CHECK(r.run_until([&] { return r.failed; }));
}

TEST_CASE("a watch that is overdue counts as a loss of contact while the store "
          "may still answer it",
          "[gateway]")
{
    // Until another instance takes over, none learns of changes.
    store_reader_settings settings;
    settings.watch_timeout = 20ms;
    settings.silence_margin = 100ms;
    settings.response_margin = 2 * max_wait;
    reading r(settings);
    r.store.set_silent(true);
    CHECK(r.run_until([&] { return r.failed; }));
    CHECK(r.losses == 1);
    CHECK(r.counts.count("store_silences") >= 1);
    CHECK(r.counts.count("store_failures") == 0);
}

TEST_CASE("a store that answers late is in contact again with its answer",
          "[gateway]")
{
    store_reader_settings settings;
    settings.watch_timeout = 1ms;
    settings.silence_margin = 1ms; // less than the stand-in takes
    reading r(settings);
    CHECK(r.run_until([&] { return r.failed; }));
    CHECK(r.run_until([&] { return !r.reader->is_failing(); }));
    r.store.put_config("second");
    CHECK(r.run_until([&] { return r.seen.back() == "second"; }));
    CHECK(r.counts.count("store_failures") == 0);
}

TEST_CASE("an instance that has given up reading a silent store notices that "
          "the store answers again",
          "[gateway]")
{
    // Otherwise it passes for cut off for good, and once all have been cut off
    // no instance takes over from another.
    store_reader_settings settings;
    settings.watch_timeout = 20ms;
    settings.silence_margin = 50ms;
    settings.recheck_interval = 50ms;
    reading r(settings);
    r.store.set_silent(true);
    REQUIRE(r.run_until([&] { return r.failed; }));
    r.reader->set_active(false);
    r.store.set_silent(false);
    CHECK(r.run_until([&] { return !r.reader->is_failing(); }));
    CHECK_FALSE(r.reader->is_reading());
    r.store.put_config("second");
    r.reader->set_active(true);
    CHECK(r.run_until([&] { return r.seen.back() == "second"; }));
}

TEST_CASE("a deletion in the state of another instance is in doubt only if it "
          "is for that instance",
          "[gateway]")
{
    // An engine whose entry is deleted must not get requests for two more
    // seconds because the deletion was read by another instance.
    reading r;
    const auto newest = r.reader->newest();
    const bool doubted = GENERATE(false, true);
    CHECK(r.reader->apply_peer_snapshot({newest.number + 1, newest.era}, {}, {},
                                        doubted ? 1s : 0s));
    CHECK(r.reader->items().empty());
    CHECK(r.in_doubt == doubted);
    CHECK((r.reader->doubt_left(net::event_loop::now().mono) > 0s) == doubted);
}

TEST_CASE("a deletion after the entries of an outage must be back is not in "
          "doubt",
          "[gateway]")
{
    // Targets that left a store which had been sound for three seconds got
    // requests until two seconds after the news.
    reading r;
    r.store.set_down(true);
    REQUIRE(r.run_until([&] { return r.failed; }));
    r.store.set_down(false);
    REQUIRE(r.run_until([&] { return !r.reader->is_failing(); }));
    bool entries_are_back = false;
    r.loop.call_later(2100ms, [&] { entries_are_back = true; });
    REQUIRE(r.run_until([&] { return entries_are_back; }));
    r.store.remove("op/config");
    REQUIRE(r.run_until([&] { return r.reader->items().empty(); }));
    CHECK_FALSE(r.in_doubt);
}

TEST_CASE("a deletion that is learnt at the end of an outage is in doubt",
          "[gateway]")
{
    // The store turned the calls away while the entry expired.
    reading r;
    r.store.set_down(true);
    REQUIRE(r.run_until([&] { return r.failed; }));
    r.store.remove("op/config");
    r.store.set_down(false);
    REQUIRE(r.run_until([&] { return r.reader->items().empty(); }));
    CHECK(r.in_doubt);
    REQUIRE_FALSE(r.told.empty());
    CHECK(r.told.back().doubt_until > net::event_loop::now().mono);
}

TEST_CASE("a deletion that another instance is certain of is not in doubt at "
          "one that was cut off",
          "[gateway]")
{
    reading r;
    r.store.set_down(true);
    REQUIRE(r.run_until([&] { return r.failed; }));
    const auto newest = r.reader->newest();
    CHECK(r.reader->apply_peer_snapshot({newest.number + 1, newest.era}, {}, {},
                                        0s));
    CHECK(r.reader->items().empty());
    CHECK_FALSE(r.in_doubt);
}

TEST_CASE("lost history alone leaves no doubt of a deletion", "[gateway]")
{
    // Entries expire only while their targets can't reach the store.
    reading r;
    r.store.remove("op/config");
    r.store.put("op/x", "next");
    r.store.compact();
    REQUIRE(r.run_until([&] { return r.reader->items().contains("op/x"); }));
    CHECK_FALSE(r.reader->items().contains("op/config"));
    CHECK_FALSE(r.in_doubt);
}

TEST_CASE("a state that was read in pages is not newer than its first page",
          "[gateway]")
{
    // Other instances rely on a state being complete up to its revision, and
    // changes may have been made to keys that were already read.
    net::event_loop loop;
    standins::platform_store store(loop);
    target_pool pool(loop);
    counters counts;
    store.put("servers/a", "old");
    store.put("servers/b", "old");
    store_revision complete;
    std::size_t pages = 0;
    std::vector<store_reader::batch> told;
    store.set_pages(1, [&] {
        if (++pages == 1) {
            store.put("servers/a", "new");
            store.put("servers/b", "new");
        }
    });
    store_reader reader(
        loop, pool, settings::endpoint{"127.0.0.1", store.port()}, "servers/",
        counts, [](const platform_wire::store_item&, duration) {},
        [&](const store_reader::batch& b) {
            told.push_back(b);
            complete = std::max(complete, b.revision);
            for (const auto& [key, item] : reader.items())
                if (item.value == "old")
                    CHECK(complete <= store_revision(item.revision.number + 1,
                                                     item.revision.era));
        },
        [] {});
    reader.start();
    const time_point until = net::event_loop::now().mono + max_wait;
    while (told.size() < 2 && net::event_loop::now().mono < until) {
        loop.call_later(5ms, [] {});
        loop.run_once();
    }
    REQUIRE(told.size() == 2);
    CHECK(reader.items().at("servers/a").value == "new");
    CHECK(told.back().after == told.front().revision);
}

TEST_CASE("changes that a restored store acknowledges under lower revisions "
          "come into force",
          "[gateway]")
{
    reading r;
    const auto copy = r.store.make_copy();
    r.store.put_config("lost 1");
    r.store.put_config("lost 2");
    REQUIRE(r.run_until([&] { return r.seen.back() == "lost 2"; }));
    r.store.restore(copy);
    r.store.put_config("written again");
    REQUIRE(r.run_until([&] { return r.seen.back() == "written again"; }));
    r.store.put_config("next");
    REQUIRE(r.run_until([&] { return r.seen.back() == "next"; }));
    CHECK(r.reader->newest().era == 2);
}

TEST_CASE("a restored store that has reached its old revision is read anew",
          "[gateway]")
{
    reading r;
    const auto copy = r.store.make_copy();
    r.store.put_config("lost");
    REQUIRE(r.run_until([&] { return r.seen.back() == "lost"; }));
    r.store.restore(copy);
    r.store.put("op/other", "with the revision of the lost one");
    CHECK(r.run_until([&] { return r.reader->items().contains("op/other"); }));
    CHECK(r.seen.back() == "with the revision of the lost one");
}

TEST_CASE("an entry that a restored store lacks is deleted only in doubt",
          "[gateway]")
{
    reading r;
    const auto copy = r.store.make_copy();
    r.store.put("op/x", "lost");
    REQUIRE(r.run_until([&] { return r.reader->items().contains("op/x"); }));
    r.store.restore(copy);
    REQUIRE(r.run_until([&] { return !r.reader->items().contains("op/x"); }));
    CHECK(r.in_doubt);
    CHECK(r.reader->doubt_left(net::event_loop::now().mono) > 0s);
}

TEST_CASE("pages that a store gave before and after it was restored are not "
          "joined",
          "[gateway]")
{
    net::event_loop loop;
    standins::platform_store store(loop);
    target_pool pool(loop);
    counters counts;
    store.put("servers/a", "copied");
    const auto copy = store.make_copy();
    store.put("servers/a", "lost");
    store.put("servers/b", "lost");
    bool restored = false;
    store.set_pages(1, [&] {
        if (!std::exchange(restored, true))
            store.restore(copy);
    });
    store_reader reader(
        loop, pool, settings::endpoint{"127.0.0.1", store.port()}, "servers/",
        counts, [](const platform_wire::store_item&, duration) {},
        [](const store_reader::batch&) {}, [] {});
    reader.start();
    const time_point until = net::event_loop::now().mono + max_wait;
    while (!reader.is_loaded() && net::event_loop::now().mono < until) {
        loop.call_later(5ms, [] {});
        loop.run_once();
    }
    REQUIRE(reader.is_loaded());
    CHECK(reader.items().at("servers/a").value == "copied");
    CHECK_FALSE(reader.items().contains("servers/b"));
}

TEST_CASE("an answer whose era is missing, unreadable or past isn't used",
          "[gateway]")
{
    reading r;
    const std::string era = GENERATE("", "x", "0");
    r.store.set_era_text(era);
    r.store.put_config("of an unknown era");
    CHECK(r.run_until([&] { return r.failed; }));
    CHECK(r.seen.back() == "first");
    r.store.set_era_text("1");
    CHECK(r.run_until([&] { return r.seen.back() == "of an unknown era"; }));
}

TEST_CASE("a late message of another instance doesn't bring back an entry that "
          "was deleted since",
          "[gateway]")
{
    reading r({}, false);
    const auto known = r.reader->newest();
    const store_revision written(known.number + 1, known.era);
    const store_revision deleted(known.number + 2, known.era);
    const bool restored = GENERATE(false, true);
    const store_revision newest =
        restored ? store_revision(1, known.era + 1) : deleted;
    CHECK(r.reader->apply_peer_snapshot(newest, {}, {}, 0s));
    store_reader::batch late;
    late.after = known;
    late.revision = written;
    late.items = {{"op/x", "deleted since", written, false}};
    (void)r.reader->apply_peer_changes(late);
    CHECK(r.reader->items().empty());
    CHECK(r.reader->newest() == newest);
}

TEST_CASE("the state of an instance that has read the restored store replaces "
          "that of the earlier era",
          "[gateway]")
{
    reading r({}, false);
    const auto known = r.reader->newest();
    const store_revision restored(1, known.era + 1);
    const std::vector<std::string> keys{"op/x"};
    const std::vector<platform_wire::store_item> items{
        {"op/x", "copied", restored, false}};
    CHECK(r.reader->apply_peer_snapshot(restored, keys, items, 0s));
    CHECK(r.reader->items().size() == 1);
    CHECK(r.seen.back() == "copied");
    const store_revision old(known.number + 9, known.era);
    CHECK(r.reader->apply_peer_snapshot(old, {}, {}, 0s));
    CHECK(r.reader->items().size() == 1);
}

TEST_CASE("a watch from before a restoration doesn't continue the state that "
          "another instance sent meanwhile",
          "[gateway]")
{
    reading r;
    const auto copy = r.store.make_copy();
    for (int i = 0; i < 3; ++i)
        r.store.put_config("lost " + std::to_string(i));
    REQUIRE(r.run_until([&] { return r.seen.back() == "lost 2"; }));
    const store_revision known = r.reader->newest();
    r.store.restore(copy);
    r.store.put("op/version/m.a", "written in the new era");
    for (int i = 0; i < 6; ++i)
        r.store.put("op/filler", std::to_string(i));
    const auto calls = [&] { return r.counts.count("store_calls"); };
    const auto before = calls();
    REQUIRE(r.run_until([&] { return calls() > before; }));
    REQUIRE(r.reader->newest() == known);
    store_reader::batch news; // of an instance that read the copy before these
    news.after = known;
    news.revision = {known.number - 3, known.era + 1};
    news.doubt_until = net::event_loop::now().mono + 1s;
    news.items = {{"op/config", "first", news.revision, false}};
    REQUIRE(r.reader->apply_peer_changes(news));
    REQUIRE(
        r.run_until([&] { return r.reader->newest().number > known.number; }));
    CHECK(r.reader->items().contains("op/version/m.a"));
}

TEST_CASE("a list of the store brings back a key that was missed", "[gateway]")
{
    reading r({}, false);
    const auto known = r.reader->newest();
    r.store.put("op/x", "missed");
    r.store.put("op/y", "known");
    store_reader::batch news;
    news.after = known;
    news.revision = {known.number + 2, known.era};
    news.items = {{"op/y", "known", news.revision, false}};
    REQUIRE(r.reader->apply_peer_changes(news));
    r.store.put("op/z", "next");
    r.store.compact();
    r.reader->set_active(true);
    CHECK(r.run_until([&] { return r.reader->items().contains("op/z"); }));
    CHECK(r.reader->items().contains("op/x"));
}

TEST_CASE("changes of a new era don't complete a state that holds more of the "
          "era before than their sender's",
          "[gateway]")
{
    reading r({}, false);
    const auto known = r.reader->newest();
    const store_revision last(known.number + 1, known.era);
    store_reader::batch of_old_era;
    of_old_era.after = known;
    of_old_era.revision = last;
    of_old_era.items = {{"op/x", "lost", last, false}};
    REQUIRE(r.reader->apply_peer_changes(of_old_era));
    store_reader::batch of_new_era;
    of_new_era.after = known; // the sender never had op/x
    of_new_era.revision = {known.number, known.era + 1};
    of_new_era.items = {{"op/config", "first", of_new_era.revision, false}};
    CHECK_FALSE(r.reader->apply_peer_changes(of_new_era));
    CHECK(r.reader->newest() == last);
}

TEST_CASE("an answer to a watch doesn't bring back an entry that was deleted "
          "since, as another instance has told",
          "[gateway]")
{
    // The answer may wait behind a partition that the news of others doesn't
    // cross. The next watch begins after the deletion, so that the entry would
    // stay for good.
    reading r;
    const auto known = r.reader->newest();
    const bool restored = GENERATE(false, true);
    bool told = false;
    r.store.put("op/x", "deleted since");
    r.store.set_on_watch([&] {
        if (std::exchange(told, true))
            return;
        store_reader::batch news;
        news.after = known;
        news.revision = restored ? store_revision(1, known.era + 1)
                                 : store_revision(known.number + 2, known.era);
        news.items = {{"op/x", {}, news.revision, true}};
        CHECK(r.reader->apply_peer_changes(news));
        r.store.remove("op/x");
        r.store.put("op/y", "next");
        if (restored)
            r.store.restore(r.store.make_copy());
    });
    REQUIRE(r.run_until([&] { return r.reader->items().contains("op/y"); }));
    CHECK(std::ranges::count(r.seen, "deleted since") == 0);
}

TEST_CASE("a reader of the store tells others what it first knew by news after "
          "a gap",
          "[gateway]")
{
    // Those who missed that news take the reader's for complete, and would
    // never learn of the change.
    reading r;
    const auto known = r.reader->newest();
    const store_revision last(known.number + 2, known.era);
    r.store.put("op/x", "missed by the reader");
    r.store.put("op/y", "known to the reader");
    const bool listed = GENERATE(false, true);
    if (listed)
        r.store.compact();
    store_reader::batch news;
    news.after = {known.number + 1, known.era};
    news.revision = last;
    news.items = {{"op/y", "known to the reader", last, false}};
    CHECK_FALSE(r.reader->apply_peer_changes(news));
    r.told.clear();
    REQUIRE(r.run_until([&] { return r.reader->items().contains("op/x"); }));
    CHECK(r.reader->newest() == last);
    std::vector<std::string> keys;
    for (const auto& b : r.told)
        for (const auto& item : b.items)
            keys.push_back(item.key);
    CHECK(std::ranges::count(keys, "op/x") == 1);
    CHECK(std::ranges::count(keys, "op/y") == 1);
}

namespace {

/// @return changes of one key, as another instance tells them
store_reader::batch news_of(const std::string& key, store_revision after,
                            std::uint64_t steps, bool deleted)
{
    store_reader::batch news;
    news.after = after;
    news.revision = {after.number + steps, after.era};
    news.items = {{key, deleted ? "" : "put", news.revision, deleted}};
    return news;
}

} // namespace

TEST_CASE("news that fills a gap doesn't bring back an entry whose deletion "
          "came before it",
          "[gateway]")
{
    reading r({}, false);
    const store_revision start = r.reader->newest();
    const store_revision missed(start.number + 1, start.era);
    const store_revision deleted(start.number + 2, start.era);
    const bool was_known = GENERATE(false, true);
    const bool pulled = GENERATE(false, true);
    const std::string key = was_known ? "op/config" : "op/x";
    CHECK_FALSE(r.reader->apply_peer_changes(news_of(key, missed, 1, true)));
    CHECK_FALSE(r.reader->items().contains(key));
    const auto late = news_of(key, start, 1, false);
    const std::vector<std::string> keys{key};
    CHECK((pulled ? r.reader->apply_peer_snapshot(missed, keys, late.items, 0s)
                  : r.reader->apply_peer_changes(late)));
    CHECK(r.reader->newest() == missed);
    CHECK_FALSE(r.reader->items().contains(key));
    CHECK(r.reader->apply_peer_changes(news_of(key, missed, 1, true)));
    CHECK(r.reader->apply_peer_changes(news_of(key, deleted, 1, false)));
    CHECK(r.reader->items().contains(key));
}

TEST_CASE("the state of another instance is complete without an entry whose "
          "deletion it lacks",
          "[gateway]")
{
    reading r({}, false);
    const store_revision start = r.reader->newest();
    const store_revision missed(start.number + 1, start.era);
    CHECK_FALSE(
        r.reader->apply_peer_changes(news_of("op/config", missed, 1, true)));
    const std::vector<std::string> keys{"op/config"};
    CHECK(r.reader->apply_peer_snapshot(missed, keys, {}, 0s));
    CHECK(r.reader->items().empty());
}

TEST_CASE("a reader of the store tells others of a deletion that it first knew "
          "by news after a gap",
          "[gateway]")
{
    reading r;
    const store_revision start = r.reader->newest();
    r.store.put("op/x", "missed");
    r.store.remove("op/config");
    if (GENERATE(false, true))
        r.store.compact();
    CHECK_FALSE(r.reader->apply_peer_changes(
        news_of("op/config", {start.number + 1, start.era}, 1, true)));
    r.told.clear();
    REQUIRE(r.run_until([&] { return r.reader->items().contains("op/x"); }));
    CHECK_FALSE(r.reader->items().contains("op/config"));
    std::size_t deletions = 0;
    for (const auto& b : r.told)
        for (const auto& item : b.items)
            deletions += item.key == "op/config" && item.deleted ? 1U : 0U;
    CHECK(deletions == 1);
}

TEST_CASE("an entry of an earlier era doesn't hide one that a restored store "
          "has",
          "[gateway]")
{
    reading r({}, false);
    const store_revision start = r.reader->newest();
    const store_revision missed(start.number + 1, start.era);
    CHECK_FALSE(
        r.reader->apply_peer_changes(news_of("op/config", missed, 1, true)));
    const store_revision restored(1, start.era + 1);
    const auto copied = news_of("op/config", {0, start.era + 1}, 1, false);
    const std::vector<std::string> keys{"op/config"};
    CHECK(r.reader->apply_peer_snapshot(restored, keys, copied.items, 0s));
    CHECK(r.reader->items().contains("op/config"));
}

TEST_CASE("news after a gap with more deletions than are remembered isn't "
          "applied",
          "[gateway]")
{
    store_reader_settings settings;
    settings.max_deletions_ahead = 3;
    reading r(settings, false);
    const store_revision start = r.reader->newest();
    const store_revision missed(start.number + 1, start.era);
    auto news = news_of("op/config", missed, 1, true);
    for (std::size_t i = 0; i < settings.max_deletions_ahead; ++i)
        news.items.push_back(
            {"op/" + std::to_string(i), "", news.revision, true});
    CHECK_FALSE(r.reader->apply_peer_changes(news));
    CHECK(r.reader->items().contains("op/config"));
    news.items.resize(settings.max_deletions_ahead);
    CHECK_FALSE(r.reader->apply_peer_changes(news));
    CHECK_FALSE(r.reader->items().contains("op/config"));
}
