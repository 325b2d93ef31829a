#include "logic/gateway/exchange_log.h"

#include <string>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace lagoondeck {

namespace {

bool isLogged(const ForwardedRequest &request, const ExchangeEnd &end, std::uint64_t sampleOneIn)
{
    if (end.outcome != ExchangeOutcome::Served) {
        return true;
    }
    // Sampled by the hash of the id, so that every instance logs the same requests.
    return sampleOneIn != 0
            && XXH3_64bits(request.requestId.data(), request.requestId.size()) % sampleOneIn == 0;
}

LogEvent eventOf(const ExchangeEnd &end)
{
    return end.outcome == ExchangeOutcome::Served ? LogEvent::RequestServed
                                                  : LogEvent::RequestTroubled;
}

void addRequestFields(const AdmittedRequest &request, const ExchangeEnd &end,
                      std::vector<LogField> &fields)
{
    fields.push_back({"route", end.route});
    if (request.account != nullptr) {
        fields.push_back({"account", request.account->name});
    }
    fields.push_back(
            numberField("configVersion", static_cast<std::int64_t>(request.config->version)));
    fields.push_back(numberField("beliefAgeMs", toMilliseconds(request.storeDataAge)));
    fields.push_back(numberField("elapsedMs", toMilliseconds(end.elapsed)));
    fields.push_back(numberField("objectiveMs", toMilliseconds(request.route->objective)));
    fields.push_back(numberField("partsNeeded", static_cast<std::int64_t>(end.partsNeeded)));
    fields.push_back(numberField("partsAnswered", static_cast<std::int64_t>(end.partsAnswered)));
}

} // namespace

TraceKind traceKindOf(ReplyClass kind)
{
    switch (kind) {
    case ReplyClass::Success:
        return TraceKind::Answered;
    case ReplyClass::Failure:
        return TraceKind::Failed;
    case ReplyClass::NotRun:
        return TraceKind::Refused;
    case ReplyClass::Unusable:
        break;
    }
    return TraceKind::Malformed;
}

void logExchangeEnd(const ForwardedRequest &request, const ExchangeEnd &end,
                    const Exchange *exchange, std::uint64_t sampleOneIn, GatewayContext &context)
{
    if (!isLogged(request, end, sampleOneIn)) {
        return;
    }
    std::vector<LogField> fields {{"request", request.requestId},
                                  {"outcome", toString(end.outcome)},
                                  {"reason", toString(end.reason)}};
    if (exchange != nullptr) {
        addRequestFields(*exchange, end, fields);
        fields.push_back(numberField("attemptsAllowed", exchange->route->attempts));
        fields.push_back({"repeatable", exchange->route->idempotent ? "yes" : "no"});
        if (exchange->origin) {
            fields.push_back({"delegatedBy", exchange->origin->member.value});
        }
        fields.push_back({"steps", exchange->trace.text()});
    } else {
        fields.push_back({"host", request.host});
    }
    context.log(eventOf(end), std::move(fields));
}

void logLatePart(const Exchange &exchange, std::size_t part, const LatePart &late,
                 GatewayContext &context)
{
    std::vector<LogField> fields {{"request", exchange.request->requestId},
                                  {"group", exchange.parts[part].group->name.value}};
    if (exchange.account != nullptr) {
        fields.push_back({"account", exchange.account->name});
    }
    if (!exchange.caller.empty()) {
        fields.push_back({"caller", exchange.caller});
    }
    fields.push_back(numberField("urgencyRank", exchange.urgencyRank));
    fields.push_back(numberField("ahead", static_cast<std::int64_t>(late.ahead)));
    fields.push_back(
            numberField("completionsPerS", static_cast<std::int64_t>(late.completionsPerSecond)));
    fields.push_back(numberField("timeLeftMs", toMilliseconds(late.timeLeft)));
    context.log(late.cause == LateCause::Full ? LogEvent::WaitQueueFull : LogEvent::WaitTooLong,
                std::move(fields));
}

void logUnidentified(const ForwardedRequest &request, const ExchangeEnd &end,
                     std::uint64_t configVersion, GatewayContext &context)
{
    context.log(eventOf(end),
                {{"request", request.requestId},
                 {"outcome", toString(end.outcome)},
                 {"reason", toString(end.reason)},
                 {"route", end.route},
                 numberField("configVersion", static_cast<std::int64_t>(configVersion)),
                 {"host", request.host}});
}

void logDelegatedEnd(const AdmittedRequest &request, const ExchangeEnd &end,
                     const InstanceId &coordinator, std::uint64_t sampleOneIn,
                     GatewayContext &context)
{
    if (!isLogged(*request.request, end, sampleOneIn)) {
        return;
    }
    std::vector<LogField> fields {{"request", request.request->requestId},
                                  {"outcome", toString(end.outcome)},
                                  {"reason", toString(end.reason)}};
    addRequestFields(request, end, fields);
    fields.push_back({"coordinator", coordinator.value});
    context.log(eventOf(end), std::move(fields));
}

} // namespace lagoondeck
