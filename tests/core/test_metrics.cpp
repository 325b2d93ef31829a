#include "core/duration_histogram.h"
#include "core/exposition_writer.h"
#include "core/metrics.h"
#include "operator/exposition_reader.h"
#include "operator/latency_view.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <map>

using namespace lagoondeck;
using std::chrono::milliseconds;

namespace {

Answer makeAnswered(Duration elapsed, std::uint32_t sent = 10, std::uint32_t missing = 0)
{
    Answer answer;
    answer.outcome = Outcome::Answered;
    answer.elapsed = elapsed;
    answer.subRequestsSent = sent;
    answer.coverage.shardsNeeded = 10;
    answer.coverage.shardsAnswered = 10 - missing;
    for (std::uint32_t i = 0; i < missing; ++i) {
        answer.coverage.missing.push_back({ShardId {i}, MissingReason::TargetsShed});
    }
    return answer;
}

std::string exposition(const Metrics &metrics)
{
    ExpositionWriter writer;
    metrics.write(writer);
    return writer.text();
}

/// Returns the value of the sample with the given name and labels, or NaN when there is none.
double sampleValue(const std::string &metricsText, const std::string &sampleName)
{
    const std::size_t at = metricsText.find("\n" + sampleName + " ");
    return at == std::string::npos ? std::nan("")
                                   : std::stod(metricsText.substr(at + sampleName.size() + 2));
}

} // namespace

TEST_CASE("A histogram's quantile is the upper bound of the bin that holds the duration")
{
    DurationHistogram histogram(10);
    for (int i = 1; i <= 100; ++i) {
        histogram.add(milliseconds(i));
    }
    CHECK(histogram.count() == 100);
    CHECK(histogram.sum() == milliseconds(5050));
    CHECK(histogram.quantile(0.5) >= milliseconds(50));
    CHECK(histogram.quantile(0.5) <= milliseconds(65));
    CHECK(histogram.quantile(1.0) >= milliseconds(100));
    CHECK(DurationHistogram(10).quantile(0.5) == Duration(0));
}

TEST_CASE("A histogram counts durations below and above its axis")
{
    DurationHistogram histogram(4);
    histogram.add(Duration(0));
    histogram.add(std::chrono::hours(1));
    CHECK(histogram.cumulative().front().count == 1);
    CHECK(histogram.cumulative().back().count == 1);
    CHECK(histogram.count() == 2);
}

TEST_CASE("Histograms merge only when their resolutions are the same")
{
    rc::prop("merged counts are the sum",
             [](const std::vector<std::uint32_t> &left, const std::vector<std::uint32_t> &right) {
                 DurationHistogram a(10);
                 DurationHistogram b(10);
                 DurationHistogram both(10);
                 for (const std::uint32_t value : left) {
                     a.add(Duration(value));
                     both.add(Duration(value));
                 }
                 for (const std::uint32_t value : right) {
                     b.add(Duration(value));
                     both.add(Duration(value));
                 }
                 RC_ASSERT(a.merge(b));
                 RC_ASSERT(a.count() == both.count());
                 for (std::size_t i = 0; i < both.cumulative().size(); ++i) {
                     RC_ASSERT(a.cumulative()[i].count == both.cumulative()[i].count);
                 }
             });
    DurationHistogram coarse(4);
    CHECK_FALSE(coarse.merge(DurationHistogram(10)));
}

TEST_CASE("Label values with arbitrary bytes are read back unchanged")
{
    rc::prop("escaping round-trips", [](const std::string &value) {
        ExpositionWriter writer;
        writer.begin("m", MetricKind::Gauge, "Help.");
        writer.sample({{"label", value}}, 1.5);
        std::string line = writer.text().substr(writer.text().rfind("m{"));
        RC_ASSERT(line.back() == '\n');
        line.pop_back();
        RC_ASSERT(line.find('\n') == std::string::npos);
        const auto sample = parseMetricSample(line);
        RC_ASSERT(sample.has_value());
        RC_ASSERT(sample->labels.at("label") == value);
        RC_ASSERT(sample->value == 1.5);
    });
}

TEST_CASE("Parsing a metric sample from arbitrary text never crashes")
{
    rc::prop("no crash", [](const std::string &line) {
        parseMetricSample(line);
        parseMetricSample("m{" + line);
        parseMetricSample("m{a=\"" + line);
    });
    CHECK_FALSE(parseMetricSample("# HELP m"));
    CHECK_FALSE(parseMetricSample("m"));
    CHECK_FALSE(parseMetricSample("m{a=\"b\"} x"));
}

TEST_CASE("Metrics contain the latencies, outcomes, coverage and extra load of a class")
{
    Metrics metrics;
    for (int i = 0; i < 100; ++i) {
        metrics.record("inspection", CallerName {"line-4"}, makeAnswered(milliseconds(10), 11));
    }
    metrics.record("inspection", CallerName {"line-5"}, makeAnswered(milliseconds(90), 10, 5));
    Answer refused;
    refused.outcome = Outcome::NotRun;
    refused.reason = FailureReason::RateLimited;
    metrics.record("inspection", CallerName {"line-4"}, refused);
    const std::string metricsText = exposition(metrics);
    INFO(metricsText);
    const std::string label = "{class=\"inspection\"";
    CHECK(sampleValue(metricsText,
                      "lagoondeck_queries_total" + label + R"(,outcome="answered",reason="none"})")
          == 101);
    CHECK(sampleValue(metricsText,
                      "lagoondeck_queries_total" + label
                              + R"(,outcome="not-run",reason="rate-limited"})")
          == 1);
    CHECK(sampleValue(metricsText,
                      "lagoondeck_query_latency_seconds_count" + label + R"(,outcome="answered"})")
          == 101);
    CHECK(sampleValue(metricsText,
                      "lagoondeck_query_latency_quantile_seconds" + label + R"(,quantile="0.500"})")
          == Approx(0.010).epsilon(0.05));
    CHECK(sampleValue(metricsText, "lagoondeck_coverage_ratio" + label + R"(,statistic="min"})")
          == Approx(0.5));
    CHECK(sampleValue(metricsText,
                      "lagoondeck_missing_shards_total" + label + R"(,reason="targets-shed"})")
          == 5);
    CHECK(sampleValue(metricsText, "lagoondeck_extra_load_ratio" + label + "}")
          == Approx(100.0 / 1010.0));
    CHECK(sampleValue(metricsText,
                      "lagoondeck_caller_queries_total" + label
                              + R"(,caller="line-4",outcome="answered"})")
          == 100);
}

TEST_CASE("The number of callers and classes in the metrics is limited")
{
    Metrics metrics;
    std::size_t sizeAtLimit = 0;
    for (int i = 0; i < 2000; ++i) {
        const std::string name = std::to_string(i);
        metrics.record(name, CallerName {name}, makeAnswered(milliseconds(1)));
        if (i == 200) {
            sizeAtLimit = exposition(metrics).size();
        }
    }
    const std::string metricsText = exposition(metrics);
    CHECK(metricsText.size() < sizeAtLimit + 100);
    CHECK(sampleValue(
                  metricsText,
                  R"(lagoondeck_caller_queries_total{class="other",caller="other",outcome="answered"})")
          == 2000 - 64);
}

TEST_CASE("Every line of the metrics is a comment or a sample that can be parsed")
{
    Metrics metrics;
    metrics.record("", CallerName {"a\"b\\c\nd"}, makeAnswered(milliseconds(3)));
    const std::string metricsText = exposition(metrics);
    std::map<std::string, int> counts;
    std::size_t lines = 0;
    std::size_t comments = 0;
    for (std::size_t at = 0; at < metricsText.size(); at = metricsText.find('\n', at) + 1) {
        ++lines;
        comments += metricsText[at] == '#' ? 1 : 0;
    }
    readMetricSamples(metricsText, [&](const MetricSample &sample) { ++counts[sample.name]; });
    std::size_t samples = 0;
    for (const auto &[name, count] : counts) {
        CHECK(name.rfind("lagoondeck_", 0) == 0);
        samples += static_cast<std::size_t>(count);
    }
    CHECK(samples + comments == lines);
}

TEST_CASE(
        "The latency histogram of the operators' command adds up the metrics of several instances")
{
    Metrics metrics;
    for (int i = 0; i < 30; ++i) {
        metrics.record("inspection", CallerName {"c"}, makeAnswered(milliseconds(i < 20 ? 5 : 50)));
    }
    LatencyView view;
    view.add(exposition(metrics));
    view.add(exposition(metrics));
    const std::string text = view.toText();
    INFO(text);
    CHECK(text.find("class inspection") != std::string::npos);
    CHECK(text.find("        40 ##################################################\n")
          != std::string::npos);
    CHECK(text.find("        20 #########################\n") != std::string::npos);
}
