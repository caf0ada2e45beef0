#include <doctest/doctest.h>

#include <cmath>
#include <random>

#include <agateseam/metrics.hpp>

using namespace agateseam;

TEST_CASE("quantiles of a uniform distribution are estimated within 0.02")
{
    metric_quantiles quantiles;
    std::mt19937 random(3);
    std::uniform_real_distribution<double> uniform(0, 1);
    for (int count = 0; count < 20'000; ++count)
    {
        quantiles.add(uniform(random));
    }
    const auto values = quantiles.values();
    for (std::size_t index = 0; index < values.size(); ++index)
    {
        CHECK(std::abs(values[index] - metric_quantiles::probabilities[index]) < 0.02);
    }
    CHECK(quantiles.count() == 20'000);
    CHECK(metric_quantiles().values()[0] == 0);
}

TEST_CASE("the workspace with the lowest served ratio is found, and old counts expire")
{
    service_level_monitor monitor;
    time_point now{std::chrono::seconds(1'000)};
    for (int count = 0; count < 10; ++count)
    {
        monitor.add("dune", true, now);
        monitor.add("oshana", count % 2 == 0, now);
    }
    monitor.add("rare", false, now);
    CHECK(monitor.worst(now).workspace == "oshana");
    CHECK(monitor.worst(now).served_ratio() == doctest::Approx(0.5));
    now += service_level_monitor::window;
    for (int count = 0; count < 10; ++count)
    {
        monitor.add("oshana", true, now);
    }
    CHECK(monitor.worst(now).served_ratio() == doctest::Approx(0.75));
    now += 2 * service_level_monitor::window;
    monitor.add("dune", true, now);
    CHECK(monitor.worst(now).workspace.empty());
}

TEST_CASE("the Prometheus text has one header per metric and escaped labels")
{
    metric_writer writer;
    writer.counter("a_total", "Things.", 2, "code=\"x\"");
    writer.counter("a_total", "Things.", 3, "code=\"y\"");
    writer.gauge("b", "Level.", 0.5);
    CHECK(writer.text() == "# HELP a_total Things.\n# TYPE a_total counter\n"
                           "a_total{code=\"x\"} 2\na_total{code=\"y\"} 3\n"
                           "# HELP b Level.\n# TYPE b gauge\nb 0.5\n");
    CHECK(escape_label("a\"b\\c\nd") == "a\\\"b\\\\c\\nd");
}
