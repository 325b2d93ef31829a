#include "gateway_fixture.h"
#include "logic/gateway/latency_model.h"
#include "logic/gateway/record_merge.h"
#include "logic/gateway/route_table.h"
#include "logic/gateway/split_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace lagoondeck;
using namespace lagoondeck::gatewaytest;

TEST_CASE("merged records are the greatest of all bodies in descending order")
{
    rc::prop("equal to sorting all records", [] {
        const auto bodies = *rc::gen::container<std::vector<std::string>>(
                rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        const std::size_t topK = *rc::gen::inRange<std::size_t>(0, 8);
        std::vector<std::string> records;
        std::vector<std::string_view> views;
        for (const std::string &body : bodies) {
            views.emplace_back(body);
            for (std::size_t at = 0; at + recordBytes <= body.size(); at += recordBytes) {
                records.push_back(body.substr(at, recordBytes));
            }
        }
        std::ranges::sort(records, [](const std::string &left, const std::string &right) {
            return std::ranges::lexicographical_compare(
                    right, left, {}, [](char c) { return static_cast<unsigned char>(c); },
                    [](char c) { return static_cast<unsigned char>(c); });
        });
        records.resize(std::min(records.size(), topK));
        std::string expected;
        for (const std::string &record : records) {
            expected += record;
        }
        RC_ASSERT(mergeRecords(views, topK) == expected);
    });
}

TEST_CASE("the route with the longest matching prefix of the host is found")
{
    RoutingConfig config;
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.prefix = prefix;
        config.routes.push_back(route);
    }
    const RouteTable table(std::make_shared<const RoutingConfig>(config));
    CHECK(table.find("h", "/a/b/c")->prefix == "/a/b/");
    CHECK(table.find("h", "/a/x")->prefix == "/a/");
    CHECK(table.find("h", "/a")->prefix == "/");
    CHECK(table.find("other", "/a/b/c") == nullptr);
}

TEST_CASE("a route's urgency is ranked among the routes to the same groups")
{
    Route first = plainRoute("/first/", "g", true);
    Route second = plainRoute("/second/", "g", true);
    Route alone = plainRoute("/alone/", "other", true);
    first.priority = 3;
    second.priority = alone.priority = 7;
    const RouteTable table(std::make_shared<const RoutingConfig>(configOf({second, first, alone})));
    CHECK(table.urgencyRank(*table.find("h", "/first/x")) == 0);
    CHECK(table.urgencyRank(*table.find("h", "/second/x")) == 1);
    CHECK(table.urgencyRank(*table.find("h", "/alone/x")) == 0);
}

TEST_CASE("a split follows its weights over few requests and several instances")
{
    Route route;
    route.name = "r";
    route.split = {{GroupName("a"), 70.0}, {GroupName("b"), 20.0}, {GroupName("c"), 10.0}};
    std::map<std::string, int> counts;
    for (std::uint64_t instance = 0; instance < 6; ++instance) {
        RandomEngine random(instance);
        SplitChoice choice;
        for (int i = 0; i < 33; ++i) {
            ++counts[choice.choose(route, random).value];
        }
    }
    // 198 requests in total; each share may differ from its weight by less than 0.05.
    CHECK(std::abs(counts["a"] / 198.0 - 0.7) < 0.05);
    CHECK(std::abs(counts["b"] / 198.0 - 0.2) < 0.05);
    CHECK(std::abs(counts["c"] / 198.0 - 0.1) < 0.05);
}

TEST_CASE("latency quantiles follow the latest samples")
{
    LatencyModel model(std::chrono::milliseconds(100));
    CHECK(model.median() == std::chrono::milliseconds(20));
    for (int i = 0; i < 300; ++i) {
        model.add(std::chrono::milliseconds(i % 100));
    }
    CHECK(model.median() > std::chrono::milliseconds(40));
    CHECK(model.lateThreshold() > std::chrono::milliseconds(80));
    for (int i = 0; i < 300; ++i) {
        model.add(std::chrono::milliseconds(5));
    }
    CHECK(model.lateThreshold() == std::chrono::milliseconds(5));
}
