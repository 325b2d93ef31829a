#include "logic/gateway/exchange_log.h"

#include <string>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace lagoondeck {

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
    const bool served = end.outcome == ExchangeOutcome::Served;
    // Sampled by the hash of the id, so that every instance logs the same requests.
    if (served
        && (sampleOneIn == 0
            || XXH3_64bits(request.requestId.data(), request.requestId.size()) % sampleOneIn
                    != 0)) {
        return;
    }
    std::vector<LogField> fields {{"request", request.requestId},
                                  {"outcome", toString(end.outcome)},
                                  {"reason", toString(end.reason)}};
    if (exchange != nullptr) {
        fields.push_back({"route", end.route});
        fields.push_back(
                numberField("configVersion", static_cast<std::int64_t>(exchange->config->version)));
        fields.push_back(numberField("beliefAgeMs", toMilliseconds(exchange->storeDataAge)));
        fields.push_back(numberField("elapsedMs", toMilliseconds(end.elapsed)));
        fields.push_back(numberField("objectiveMs", toMilliseconds(exchange->route->objective)));
        fields.push_back(numberField("partsNeeded", static_cast<std::int64_t>(end.partsNeeded)));
        fields.push_back(
                numberField("partsAnswered", static_cast<std::int64_t>(end.partsAnswered)));
        fields.push_back(numberField("attemptsAllowed", exchange->route->attempts));
        fields.push_back({"repeatable", exchange->route->idempotent ? "yes" : "no"});
        fields.push_back({"steps", exchange->trace.text()});
    } else {
        fields.push_back({"host", request.host});
    }
    context.log(served ? LogEvent::RequestServed : LogEvent::RequestTroubled, std::move(fields));
}

} // namespace lagoondeck
