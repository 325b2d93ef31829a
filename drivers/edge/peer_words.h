#pragma once

#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <memory>
#include <optional>
#include <string>

namespace lagoondeck {

namespace proto {
class PeerMessage;
}

// The peer messages of the forwarding: retry budgets that are asked for and lent, and requests that
// may crash targets.

std::shared_ptr<const proto::PeerMessage>
writeAsk(const RequestBudget &ask, const std::string &sender, const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage>
writeLoan(const LendBudget &loan, const std::string &sender, const std::string &senderAddress);

std::shared_ptr<const proto::PeerMessage>
writeCrash(const ReportCrash &report, const std::string &sender, const std::string &senderAddress);

/// Empty when the message asks for nothing.
std::optional<BudgetRequested> readAsk(const proto::PeerMessage &message);
/// Empty when the message lends nothing.
std::optional<BudgetLent> readLoan(const proto::PeerMessage &message);
/// Empty when the message tells of no crash.
std::optional<CrashReported> readCrash(const proto::PeerMessage &message);

} // namespace lagoondeck
