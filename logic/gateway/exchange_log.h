#pragma once

#include "core/http_message.h"
#include "logic/gateway/exchange.h"
#include "logic/gateway/exchange_end.h"
#include "logic/gateway/gateway_effects.h"

#include <cstdint>

namespace lagoondeck {

/// What a reply means for the request's story.
TraceKind traceOf(ReplyClass kind);

/// Logs the end of a request; the exchange is null when there was none. Of those that were served
/// well one in so many is logged, the same ones on every instance; 0 for none.
void logEnd(const ForwardedRequest &request, const ExchangeEnd &end, const Exchange *exchange,
            std::uint64_t sampleOneIn, GatewayContext &context);

} // namespace lagoondeck
