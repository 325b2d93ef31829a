#include "drivers/edge/peer_messages.h"

#include "drivers/edge/stated_limit_codec.h"
#include "logic/gateway/limit_bucket.h"
#include "logic/gateway/retry_budget.h"
#include "proto/peer.pb.h"

#include <algorithm>
#include <cmath>

namespace lagoondeck {

namespace {

/// Loans are not used for longer than this, even if the lender's message says so.
constexpr Duration maxLoanDuration = RetryBudget::loanLifetime;

/// A request can't crash more targets than a route allows attempts. Reports of more crashes are
/// reduced to this number.
constexpr std::uint32_t maxCrashes = 8;

template <typename Rows>
GroupExtras readExtras(const Rows &rows)
{
    GroupExtras extras;
    for (const proto::GroupExtras &row : rows) {
        extras[GroupName(row.group())] += row.extras();
    }
    return extras;
}

template <typename Rows>
void writeExtras(const GroupExtras &extras, Rows &rows)
{
    for (const auto &[group, count] : extras) {
        proto::GroupExtras &row = *rows.Add();
        row.set_group(group.value);
        row.set_extras(count);
    }
}

bool isRate(double value)
{
    return std::isfinite(value) && value >= 0.0;
}

std::shared_ptr<proto::PeerMessage> createMessage(const std::string &sender,
                                                  const std::string &senderAddress)
{
    auto message = std::make_shared<proto::PeerMessage>();
    message->set_sender(sender);
    message->set_sender_address(senderAddress);
    return message;
}

} // namespace

std::shared_ptr<const proto::PeerMessage> writeBudgetRequest(const RequestBudget &request,
                                                             const std::string &sender,
                                                             const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    message->mutable_budget_ask()->set_number(request.number);
    writeExtras(request.extras, *message->mutable_budget_ask()->mutable_wanted());
    return message;
}

std::shared_ptr<const proto::PeerMessage>
writeBudgetLoan(const LendBudget &loan, const std::string &sender, const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    message->mutable_budget_loan()->set_number(loan.loan.number);
    message->mutable_budget_loan()->set_valid_us(loan.loan.validFor.count());
    writeExtras(loan.loan.lent, *message->mutable_budget_loan()->mutable_lent());
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeCrashReport(const ReportCrash &report,
                                                           const std::string &sender,
                                                           const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    proto::CrashWord &encoded = *message->mutable_crash();
    encoded.set_fingerprint(report.observation.fingerprint.value);
    encoded.set_crashes(report.observation.crashes);
    encoded.set_origin(report.observation.origin.value);
    encoded.set_number(report.observation.number);
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeLimitReport(const LimitReport &report,
                                                           const std::string &sender,
                                                           const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    proto::LimitReport &encoded = *message->mutable_limit_report();
    encoded.set_origin(report.origin.value);
    encoded.set_number(report.number);
    writeStatedLimits(report.limits, *encoded.mutable_limits());
    return message;
}

std::optional<LimitsReported> readLimitReport(const proto::PeerMessage &message)
{
    if (!message.has_limit_report()) {
        return std::nullopt;
    }
    const proto::LimitReport &encoded = message.limit_report();
    return LimitsReported {
            {InstanceId(encoded.origin()), encoded.number(), readStatedLimits(encoded.limits())}};
}

std::shared_ptr<const proto::PeerMessage> writeLimitRequest(const RequestLimit &request,
                                                            const std::string &sender,
                                                            const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    message->mutable_limit_ask()->set_number(request.number);
    for (const LimitWish &wish : request.wishes) {
        proto::LimitWish &row = *message->mutable_limit_ask()->add_wanted();
        row.set_target(wish.target.value);
        row.set_count(wish.count);
        row.set_per_second(wish.perSecond);
    }
    return message;
}

std::shared_ptr<const proto::PeerMessage>
writeLimitLoan(const LendLimit &loan, const std::string &sender, const std::string &senderAddress)
{
    auto message = createMessage(sender, senderAddress);
    message->mutable_limit_loan()->set_number(loan.loan.number);
    message->mutable_limit_loan()->set_valid_us(loan.loan.validFor.count());
    for (const auto &[target, count] : loan.loan.lent) {
        proto::LimitGrant &row = *message->mutable_limit_loan()->add_lent();
        row.set_target(target.value);
        row.set_count(count);
    }
    return message;
}

std::optional<LimitRequested> readLimitRequest(const proto::PeerMessage &message)
{
    if (!message.has_limit_ask()) {
        return std::nullopt;
    }
    LimitRequested event {message.sender_address(), message.limit_ask().number(), {}};
    for (const proto::LimitWish &row : message.limit_ask().wanted()) {
        if (isRate(row.per_second())) {
            event.wishes.push_back({TargetId(row.target()), row.count(), row.per_second()});
        }
    }
    return event;
}

std::optional<LimitLent> readLimitLoan(const proto::PeerMessage &message)
{
    if (!message.has_limit_loan()) {
        return std::nullopt;
    }
    const Duration valid(message.limit_loan().valid_us());
    LimitLent event {message.limit_loan().number(),
                     {},
                     std::clamp(valid, Duration(0), LimitBucket::loanLifetime)};
    for (const proto::LimitGrant &row : message.limit_loan().lent()) {
        event.lent[TargetId(row.target())] = row.count();
    }
    return event;
}

std::optional<BudgetRequested> readBudgetRequest(const proto::PeerMessage &message)
{
    if (!message.has_budget_ask()) {
        return std::nullopt;
    }
    return BudgetRequested {message.sender_address(), message.budget_ask().number(),
                            readExtras(message.budget_ask().wanted())};
}

std::optional<BudgetLent> readBudgetLoan(const proto::PeerMessage &message)
{
    if (!message.has_budget_loan()) {
        return std::nullopt;
    }
    const Duration valid(message.budget_loan().valid_us());
    return BudgetLent {message.budget_loan().number(), readExtras(message.budget_loan().lent()),
                       std::clamp(valid, Duration(0), maxLoanDuration)};
}

std::optional<CrashReported> readCrashReport(const proto::PeerMessage &message)
{
    if (!message.has_crash()) {
        return std::nullopt;
    }
    const proto::CrashWord &encoded = message.crash();
    return CrashReported {{Fingerprint(encoded.fingerprint()),
                           std::min<std::uint32_t>(encoded.crashes(), maxCrashes),
                           InstanceId(encoded.origin()), encoded.number()}};
}

} // namespace lagoondeck
