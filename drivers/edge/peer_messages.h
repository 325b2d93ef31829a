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

// Encodes and decodes the peer messages about retry budget loans, requests that may crash targets
// and limits of targets.

std::shared_ptr<const proto::PeerMessage> writeBudgetRequest(const RequestBudget &request,
                                                             const std::string &sender,
                                                             const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage> writeBudgetLoan(const LendBudget &loan,
                                                          const std::string &sender,
                                                          const std::string &senderAddress);

std::shared_ptr<const proto::PeerMessage> writeCrashReport(const ReportCrash &report,
                                                           const std::string &sender,
                                                           const std::string &senderAddress);

std::shared_ptr<const proto::PeerMessage> writeLimitReport(const LimitReport &report,
                                                           const std::string &sender,
                                                           const std::string &senderAddress);

std::shared_ptr<const proto::PeerMessage> writeLimitRequest(const RequestLimit &request,
                                                            const std::string &sender,
                                                            const std::string &senderAddress);
std::shared_ptr<const proto::PeerMessage>
writeLimitLoan(const LendLimit &loan, const std::string &sender, const std::string &senderAddress);

/// Returns std::nullopt if the message has no loan request.
std::optional<BudgetRequested> readBudgetRequest(const proto::PeerMessage &message);
/// Returns std::nullopt if the message has no loan.
std::optional<BudgetLent> readBudgetLoan(const proto::PeerMessage &message);
/// Returns std::nullopt if the message has no crash report.
std::optional<CrashReported> readCrashReport(const proto::PeerMessage &message);
/// Returns std::nullopt if the message has no report of limits. Limits that are no rates are left
/// out.
std::optional<LimitsReported> readLimitReport(const proto::PeerMessage &message);
/// Returns std::nullopt if the message has no request for parts of limits.
std::optional<LimitRequested> readLimitRequest(const proto::PeerMessage &message);
/// Returns std::nullopt if the message lends no parts of limits.
std::optional<LimitLent> readLimitLoan(const proto::PeerMessage &message);

} // namespace lagoondeck
