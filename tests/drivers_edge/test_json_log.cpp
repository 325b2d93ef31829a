#include "core/log_event.h"
#include "drivers/edge/gateway_metrics.h"
#include "drivers/edge/json_log.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace lagoondeck;

TEST_CASE("each event is written as one line with a valid JSON object")
{
    for (const LogEventInfo &info : logEvents()) {
        const WriteLog log {info.event,
                            {{"request", "a\"b\\c\n\xff"}, numberField("elapsedMs", 42)}};
        const std::string line = formatJsonLine(log, InstanceId("n1"), WallTime {});
        CHECK(line.find('\n') == std::string::npos);
        const auto json = nlohmann::json::parse(line);
        CHECK(json["event"] == static_cast<int>(info.event));
        CHECK(json["name"] == info.name);
        CHECK(json["instance"] == "n1");
        CHECK(json["elapsedMs"] == 42);
        CHECK(json["request"].get<std::string>().starts_with("a\"b\\c\n"));
    }
}

TEST_CASE("request lines over the rate limit are dropped and reported, state lines are not "
          "rate-limited")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    JsonLog log(ends[1], InstanceId("n1"), 10);
    const Instant now {std::chrono::seconds(10)};
    for (int i = 0; i < 100; ++i) {
        log.write({LogEvent::RequestTroubled, {}}, now, WallTime {});
        log.write({LogEvent::TargetGone, {}}, now, WallTime {});
    }
    CHECK(log.droppedLineCount() == 90);
    log.flush(now, WallTime {});
    log.flushAll();
    std::string all(64 * 1024, '\0');
    all.resize(static_cast<std::size_t>(::read(ends[0], all.data(), all.size())));
    CHECK(all.find("\"event\":610") != std::string::npos);
    CHECK(all.find("\"lines\":90") != std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST_CASE("the number of routes on the metrics page is limited")
{
    GatewayMetrics metrics;
    for (int i = 0; i < 500; ++i) {
        metrics.record({"route" + std::to_string(i), ExchangeOutcome::Late, EndReason::Complete,
                        std::chrono::milliseconds(5), 2, 1});
    }
    const std::string page = metrics.page({}, {}, {});
    CHECK(page.find("outcome=\"late\"") != std::string::npos);
    CHECK(page.find("route=\"other\"") != std::string::npos);
    CHECK(page.find("route=\"route400\"") == std::string::npos);
    CHECK(page.find("lagoondeck_belief_age_seconds") != std::string::npos);
}
