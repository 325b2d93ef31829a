#include "drivers/edge/peer_words.h"

#include "logic/gateway/retry_budget.h"
#include "proto/peer.pb.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// A loan is never used for longer, whatever the lender's message says.
constexpr Duration longestLoan = RetryBudget::loanLifetime;

/// One request loses no more targets than a route allows attempts; a word that tells more is cut.
constexpr std::uint32_t mostCrashes = 8;

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

std::shared_ptr<proto::PeerMessage> messageOf(const std::string &sender,
                                              const std::string &senderAddress)
{
    auto message = std::make_shared<proto::PeerMessage>();
    message->set_sender(sender);
    message->set_sender_address(senderAddress);
    return message;
}

} // namespace

std::shared_ptr<const proto::PeerMessage>
writeAsk(const RequestBudget &ask, const std::string &sender, const std::string &senderAddress)
{
    auto message = messageOf(sender, senderAddress);
    message->mutable_budget_ask()->set_number(ask.number);
    writeExtras(ask.extras, *message->mutable_budget_ask()->mutable_wanted());
    return message;
}

std::shared_ptr<const proto::PeerMessage>
writeLoan(const LendBudget &loan, const std::string &sender, const std::string &senderAddress)
{
    auto message = messageOf(sender, senderAddress);
    message->mutable_budget_loan()->set_number(loan.loan.number);
    message->mutable_budget_loan()->set_valid_us(loan.loan.validFor.count());
    writeExtras(loan.loan.lent, *message->mutable_budget_loan()->mutable_lent());
    return message;
}

std::shared_ptr<const proto::PeerMessage>
writeCrash(const ReportCrash &report, const std::string &sender, const std::string &senderAddress)
{
    auto message = messageOf(sender, senderAddress);
    proto::CrashWord &word = *message->mutable_crash();
    word.set_fingerprint(report.observation.fingerprint.value);
    word.set_crashes(report.observation.crashes);
    word.set_origin(report.observation.origin.value);
    word.set_number(report.observation.number);
    return message;
}

std::optional<BudgetRequested> readAsk(const proto::PeerMessage &message)
{
    if (!message.has_budget_ask()) {
        return std::nullopt;
    }
    return BudgetRequested {message.sender_address(), message.budget_ask().number(),
                            readExtras(message.budget_ask().wanted())};
}

std::optional<BudgetLent> readLoan(const proto::PeerMessage &message)
{
    if (!message.has_budget_loan()) {
        return std::nullopt;
    }
    const Duration valid(message.budget_loan().valid_us());
    return BudgetLent {message.budget_loan().number(), readExtras(message.budget_loan().lent()),
                       std::clamp(valid, Duration(0), longestLoan)};
}

std::optional<CrashReported> readCrash(const proto::PeerMessage &message)
{
    if (!message.has_crash()) {
        return std::nullopt;
    }
    const proto::CrashWord &word = message.crash();
    return CrashReported {{Fingerprint(word.fingerprint()),
                           std::min<std::uint32_t>(word.crashes(), mostCrashes),
                           InstanceId(word.origin()), word.number()}};
}

} // namespace lagoondeck
