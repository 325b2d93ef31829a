#pragma once

#include "core/http_message.h"
#include "logic/gateway/exchange.h"
#include "logic/gateway/exchange_end.h"
#include "logic/gateway/gateway_effects.h"
#include "logic/workload/late_part.h"

#include <cstdint>

namespace lagoondeck {

/// Returns the trace step that describes a reply of the given class.
TraceKind traceKindOf(ReplyClass kind);

/// Logs the end of a request. `exchange` is null if the request was answered without one.
///
/// Of the requests that end as Served only one in `sampleOneIn` is logged, chosen by request id, so
/// that every instance logs the same ones. 0 logs none of them.
void logExchangeEnd(const ForwardedRequest &request, const ExchangeEnd &end,
                    const Exchange *exchange, std::uint64_t sampleOneIn, GatewayContext &context);

/// Logs a request that has no key of a client account, with the configuration that was asked.
void logUnidentified(const ForwardedRequest &request, const ExchangeEnd &end,
                     std::uint64_t configVersion, GatewayContext &context);

/// Logs the end of a request that a coordinator served.
void logDelegatedEnd(const AdmittedRequest &request, const ExchangeEnd &end,
                     const InstanceId &coordinator, std::uint64_t sampleOneIn,
                     GatewayContext &context);

/// Logs why a waiting part is given up before its time has passed.
void logLatePart(const Exchange &exchange, std::size_t part, const LatePart &late,
                 GatewayContext &context);

} // namespace lagoondeck
