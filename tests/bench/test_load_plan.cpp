#include "bench/arrival.h"
#include "bench/goodput.h"
#include "bench/latency_histogram.h"
#include "bench/load_plan.h"
#include "core/errors.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace lagoondeck;
namespace leaf = boost::leaf;

namespace {

std::optional<LoadPlan> tryParsePlan(const std::string &text)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<LoadPlan>> {
                BOOST_LEAF_AUTO(plan, parseLoadPlan(text));
                return std::optional(plan);
            },
            [] { return std::optional<LoadPlan>(); });
}

LoadPlan makeRampPlan()
{
    LoadPlan plan;
    plan.duration = std::chrono::seconds(30);
    LoadStream stream;
    stream.entry = "fit-check";
    stream.service = "fit";
    stream.rate = {{Duration(0), 100.0},
                   {std::chrono::seconds(10), 100.0},
                   {std::chrono::seconds(12), 300.0}};
    plan.streams.push_back(stream);
    return plan;
}

} // namespace

TEST_CASE("a plan may contain comments and is refused when a field is wrong")
{
    const std::string streams =
            R"("streams":[{"entry":"a","service":"b","rate":[{"atMs":0,"perSecond":5}]}])";
    const auto plan = tryParsePlan("{/* short */ \"durationMs\": 2000, " + streams + "}");
    REQUIRE(plan);
    CHECK(plan->duration == std::chrono::seconds(2));
    CHECK(plan->streams.at(0).rate.at(0).perSecond == 5.0);
    CHECK_FALSE(tryParsePlan("{\"duration\": 2000, " + streams + "}"));
    CHECK_FALSE(tryParsePlan(R"({"streams":[{"entry":"a","service":"b","rate":[]}]})"));
    CHECK_FALSE(tryParsePlan("{}"));
}

TEST_CASE("any bytes are parsed or refused without a crash")
{
    rc::prop("parseLoadPlan does not crash", [](const std::string &bytes) { tryParsePlan(bytes); });
}

TEST_CASE("the rate is interpolated linearly between its points")
{
    const LoadPlan plan = makeRampPlan();
    CHECK(rateAt(plan.streams[0], std::chrono::seconds(5)) == Approx(100.0));
    CHECK(rateAt(plan.streams[0], std::chrono::seconds(11)) == Approx(200.0));
    CHECK(rateAt(plan.streams[0], std::chrono::seconds(20)) == Approx(300.0));
}

TEST_CASE("arrivals follow the rate in order and are the same for the same seed")
{
    const LoadPlan plan = makeRampPlan();
    const std::vector<Arrival> arrivals = drawArrivals(plan, "run");
    // 10 s at 100 queries per second, 2 s of linear increase and 18 s at 300 queries per second.
    CHECK(arrivals.size() == Approx(6800).epsilon(0.05));
    CHECK(std::ranges::is_sorted(arrivals, {}, &Arrival::at));
    const std::vector<Arrival> repeated = drawArrivals(plan, "run");
    REQUIRE(repeated.size() == arrivals.size());
    CHECK(repeated.back().requestId == arrivals.back().requestId);
}

TEST_CASE("a histogram's quantiles are within its resolution")
{
    LatencyHistogram histogram;
    for (int i = 1; i <= 1000; ++i) {
        histogram.add(std::chrono::milliseconds(i));
    }
    CHECK(histogram.quantileMs(0.5) == Approx(500.0).epsilon(0.02));
    CHECK(histogram.quantileMs(0.99) == Approx(990.0).epsilon(0.02));
    CHECK(histogram.quantileMs(0.999) == Approx(999.0).epsilon(0.02));
    CHECK(LatencyHistogram().quantileMs(0.5) == 0.0);
}

TEST_CASE("goodput is relative to the load that the slots could serve")
{
    LoadPlan plan = makeRampPlan();
    plan.duration = std::chrono::seconds(10);
    plan.streams[0].capacityPerSecond = 50.0;
    const std::vector<Arrival> arrivals = drawArrivals(plan, "run");
    std::vector<RequestRecord> records(arrivals.size());
    for (std::size_t i = 0; i < records.size(); i += 2) {
        records[i].outcome = ObservedOutcome::Answered;
        records[i].coverage = 1.0;
    }
    // Half of 100 queries per second are answered, and the slots can serve 50 per second.
    CHECK(goodputRatio(plan, arrivals, records) == Approx(1.0).epsilon(0.1));
    for (RequestRecord &record : records) {
        record.latency = std::chrono::seconds(1);
    }
    CHECK(goodputRatio(plan, arrivals, records) == 0.0);
}
