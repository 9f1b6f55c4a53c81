#include "lovagegate/metrics/registry.hpp"

#include <catch2/catch.hpp>

using namespace lovagegate;
using metrics::timing;

namespace {

constexpr time_point start{1h};

} // namespace

TEST_CASE("quantiles of few values are exact", "[metrics]")
{
    metrics::summary s;
    for (int i = 1; i <= 20; ++i) {
        s.observe(i, start);
    }
    CHECK(s.quantile(0.5) == 10);
    CHECK(s.quantile(0.99) == 20);
    CHECK(s.mean() == 10.5);
}

TEST_CASE("quantiles of many values are close", "[metrics]")
{
    metrics::summary s;
    for (int i = 0; i < 10'000; ++i) {
        // 7919 and 10000 are coprime: each value occurs once, unsorted.
        s.observe(i * 7919 % 10'000, start);
    }
    CHECK(s.quantile(0.5) == Approx(5'000).epsilon(0.02));
    CHECK(s.quantile(0.95) == Approx(9'500).epsilon(0.02));
    CHECK(s.quantile(0.99) == Approx(9'900).epsilon(0.02));
}

TEST_CASE("quantiles ignore values older than two windows", "[metrics]")
{
    metrics::summary s;
    s.observe(100, start);
    s.observe(1, start + metrics::summary::window);
    CHECK(s.quantile(0.99) == 100);
    s.observe(2, start + 2 * metrics::summary::window);
    CHECK(s.quantile(0.99) == 2);
    CHECK(s.count() == 3);
}

TEST_CASE("the page has a type line for each metric and its samples",
          "[metrics]")
{
    counters counts;
    counts.add("refusals", "reason", "queue_full");
    counts.add("refusals", "reason", "stopping");
    metrics::registry r;
    r.observe(timing::load_stall, priority::interactive, 250ms, start);
    r.observe_batch_fill(0.5, start);
    const std::vector<metrics::gauge> gauges = {{"open_requests", 3}};
    const std::string page = r.page(counts, gauges);
    CHECK_THAT(page, Catch::Contains(
                         "# TYPE lovagegate_refusals_total counter\n"
                         "lovagegate_refusals_total{reason=\"queue_full\"} 1\n"
                         "lovagegate_refusals_total{reason=\"stopping\"} 1\n"));
    CHECK_THAT(page, Catch::Contains("# TYPE lovagegate_open_requests gauge\n"
                                     "lovagegate_open_requests 3\n"));
    CHECK_THAT(page, Catch::Contains("lovagegate_load_stall_seconds{priority="
                                     "\"interactive\",quantile=\"0.5\"} "
                                     "0.25\n"));
    CHECK_THAT(page, Catch::Contains("lovagegate_batch_fill_sum 0.5\n"));
}
