#include "bench/load_plan.h"

#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <boost/leaf/error.hpp>
#include <limits>
#include <nlohmann/json.hpp>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr Duration maxRunDuration = std::chrono::hours(1);
constexpr Duration maxDeadline = std::chrono::minutes(5);
constexpr double maxRate = 1'000'000.0;
constexpr std::uint32_t maxShards = 1000;
constexpr std::uint32_t maxWorkers = 4096;

void readCallers(FieldReader &reader, std::vector<std::string> &callers)
{
    const nlohmann::json *list = reader.find("callers");
    if (list == nullptr) {
        return;
    }
    callers.clear();
    for (const nlohmann::json &caller : *list) {
        if (caller.is_string()) {
            callers.push_back(caller.get<std::string>());
        }
    }
    if (callers.empty()) {
        reader.addProblem("callers", FieldProblemKind::WrongType, "a list of names is expected");
    }
}

void readRate(FieldReader &reader, std::vector<FieldProblem> &problems, const std::string &prefix,
              std::vector<RatePoint> &rate)
{
    const nlohmann::json *list = reader.find("rate");
    if (list == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < list->size() && list->is_array(); ++i) {
        RatePoint point;
        FieldReader pointReader((*list)[i], problems, prefix + "rate[" + std::to_string(i) + "].");
        pointReader.readMilliseconds("atMs", point.at, Duration(0), maxRunDuration);
        pointReader.read("perSecond", point.perSecond, 0.0, maxRate);
        pointReader.rejectUnknownFields();
        if (!rate.empty() && point.at < rate.back().at) {
            reader.addProblem("rate", FieldProblemKind::Conflict,
                              "the points must be in order of time");
        }
        rate.push_back(point);
    }
    if (rate.empty()) {
        reader.addProblem("rate", FieldProblemKind::WrongType, "a list of points is expected");
    }
}

LoadStream readStream(const nlohmann::json &json, std::vector<FieldProblem> &problems,
                      const std::string &prefix)
{
    LoadStream stream;
    FieldReader reader(json, problems, prefix);
    reader.require({"entry", "service", "rate"});
    reader.read("entry", stream.entry);
    reader.read("service", stream.service);
    readCallers(reader, stream.callers);
    readRate(reader, problems, prefix, stream.rate);
    reader.readMilliseconds("deadlineMs", stream.deadline, Duration(1), maxDeadline);
    reader.read("idempotent", stream.idempotent);
    reader.read("shards", stream.shards, 1, maxShards);
    reader.read("sentTwice", stream.sentTwice, 0.0, 1.0);
    reader.read("hitsPerShard", stream.hitsPerShard, 0, maxShards);
    reader.read("capacityPerSecond", stream.capacityPerSecond, 0.0, maxRate);
    if (const nlohmann::json *body = reader.find("body"); body != nullptr) {
        stream.body = body->dump();
    }
    reader.rejectUnknownFields();
    return stream;
}

leaf::result<LoadPlan> planFromJson(const nlohmann::json &json)
{
    LoadPlan plan;
    std::vector<FieldProblem> problems;
    FieldReader reader(json, problems);
    reader.require({"streams"});
    reader.read("seed", plan.seed, 0, std::numeric_limits<std::uint64_t>::max());
    reader.readMilliseconds("durationMs", plan.duration, Duration(1), maxRunDuration);
    reader.readMilliseconds("warmUpMs", plan.warmUp, Duration(0), maxRunDuration);
    reader.read("workers", plan.workers, 1, maxWorkers);
    reader.read("connectionsPerInstance", plan.connectionsPerInstance, 1, maxWorkers);
    if (const nlohmann::json *streams = reader.find("streams"); streams != nullptr) {
        for (std::size_t i = 0; i < streams->size() && streams->is_array(); ++i) {
            const std::string prefix = "streams[" + std::to_string(i) + "].";
            plan.streams.push_back(readStream((*streams)[i], problems, prefix));
        }
    }
    reader.rejectUnknownFields();
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return plan;
}

} // namespace

leaf::result<LoadPlan> parseLoadPlan(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    return planFromJson(json);
}

leaf::result<LoadPlan> readLoadPlanFile(const std::string &path)
{
    BOOST_LEAF_AUTO(json, readJsonFile(path));
    return planFromJson(json);
}

} // namespace lagoondeck
