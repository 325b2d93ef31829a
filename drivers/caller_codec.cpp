#include "drivers/caller_codec.h"

#include "core/errors.h"
#include "core/field_reader.h"
#include "core/json_input.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <limits>
#include <nlohmann/json.hpp>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t maxIdLength = 128;
constexpr Duration maxDeadline = std::chrono::minutes(10);
constexpr std::uint64_t maxIssuedAtMs = 32'503'680'000'000; // The year 3000.

void checkId(FieldReader &reader, const char *name, const std::string &id)
{
    const bool printable = std::ranges::all_of(id, [](char c) { return c > ' ' && c < '\x7f'; });
    if (id.empty() || id.size() > maxIdLength || !printable) {
        reader.addProblem(name, FieldProblemKind::BadFormat,
                          "expected 1 to 128 printable characters");
    }
}

void readOptionalFields(FieldReader &reader, CallerRequest &request)
{
    if (double coverage = 1.0; reader.find("minimumCoverage") != nullptr) {
        reader.read("minimumCoverage", coverage, 0.0, 1.0);
        request.minimumCoverage = coverage;
    }
    if (std::uint32_t shard = 0; reader.find("shard") != nullptr) {
        reader.read("shard", shard, 0, std::numeric_limits<std::uint32_t>::max());
        request.shard = ShardId(shard);
    }
    if (std::uint64_t issuedAtMs = 0; reader.find("issuedAtMs") != nullptr) {
        reader.read("issuedAtMs", issuedAtMs, 0, maxIssuedAtMs);
        request.issuedAt = WallTime(std::chrono::milliseconds(issuedAtMs));
    }
}

nlohmann::json coverageToJson(const Coverage &coverage)
{
    nlohmann::json missing = nlohmann::json::array();
    for (const MissingShard &shard : coverage.missing) {
        missing.push_back({{"shard", shard.shard.value}, {"reason", toString(shard.reason)}});
    }
    return {{"fraction", coverage.fraction()},
            {"shardsNeeded", coverage.shardsNeeded},
            {"shardsAnswered", coverage.shardsAnswered},
            {"documents", coverage.documentsAnswered},
            {"missing", std::move(missing)}};
}

/// Joins the JSON texts of the hits to an array without parsing them again.
std::string joinHits(const std::vector<Hit> &hits)
{
    std::string joined = "[";
    for (const Hit &hit : hits) {
        joined += joined.size() > 1 ? "," : "";
        joined += hit.json;
    }
    return joined + "]";
}

} // namespace

leaf::result<CallerRequest> parseCallerRequest(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    CallerRequest request;
    std::vector<FieldProblem> problems;
    FieldReader reader(json, problems);
    reader.require({"requestId", "caller"});
    reader.read("requestId", request.requestId.value);
    reader.read("caller", request.caller.value);
    reader.readMilliseconds("deadlineMs", request.timeLimit, Duration(0), maxDeadline);
    reader.read("idempotent", request.idempotent);
    readOptionalFields(reader, request);
    const nlohmann::json *payload = reader.find("body");
    request.body = std::make_shared<const std::string>(payload ? payload->dump() : "{}");
    reader.rejectUnknownFields();
    if (reader.isObject()) {
        checkId(reader, "requestId", request.requestId.value);
        checkId(reader, "caller", request.caller.value);
    }
    if (!problems.empty()) {
        return leaf::new_error(InvalidInput {std::move(problems)});
    }
    return request;
}

std::string writeAnswer(const RequestId &requestId, const Answer &answer)
{
    nlohmann::json json {{"requestId", requestId.value},
                         {"outcome", toString(answer.outcome)},
                         {"reason", toString(answer.reason)},
                         {"snapshot", answer.coverage.snapshot.value},
                         {"coverage", coverageToJson(answer.coverage)},
                         {"elapsedMs", toFractionalMilliseconds(answer.elapsed)},
                         {"slowestTargetMs", toFractionalMilliseconds(answer.slowestReply)},
                         {"subRequests", answer.subRequestsSent},
                         {"hedges", answer.hedgesSent},
                         {"retryAfterMs", toMilliseconds(answer.retryAfter)}};
    if (answer.firstOutcome) {
        json["firstOutcome"] = toString(*answer.firstOutcome);
    }
    std::string text = json.dump();
    text.pop_back();
    return text + ",\"hits\":" + joinHits(answer.hits) + "}";
}

std::string writeBadRequest(const std::vector<FieldProblem> &problems)
{
    nlohmann::json list = nlohmann::json::array();
    for (const FieldProblem &problem : problems) {
        list.push_back({{"path", problem.path},
                        {"kind", toString(problem.kind)},
                        {"detail", problem.detail}});
    }
    return nlohmann::json {{"outcome", toString(Outcome::NotRun)},
                           {"reason", toString(FailureReason::BadRequest)},
                           {"problems", std::move(list)}}
            .dump();
}

int httpStatusOf(const Answer &answer)
{
    switch (answer.reason) {
    case FailureReason::None:
        return 200;
    case FailureReason::BadRequest:
    case FailureReason::DeadlineTooShort:
    case FailureReason::RequestTooOld:
        return 400;
    case FailureReason::UnknownEntry:
        return 404;
    case FailureReason::AlreadyClaimed:
        return 409;
    case FailureReason::Quarantined:
        return 422;
    case FailureReason::RateLimited:
    case FailureReason::ConcurrencyLimited:
        return 429;
    case FailureReason::TargetsLost:
    case FailureReason::TargetFailed:
    case FailureReason::BelowMinimumCoverage:
        return 502;
    case FailureReason::NotReady:
    case FailureReason::Stopping:
    case FailureReason::Overloaded:
    case FailureReason::NoSnapshot:
    case FailureReason::NoTarget:
    case FailureReason::ClaimUnavailable:
        return 503;
    case FailureReason::DeadlinePassed:
        return 504;
    }
    return 500;
}

} // namespace lagoondeck
