#include "drivers/edge/peer_loans.h"

#include "logic/gateway/retry_budget.h"
#include "proto/peer.pb.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// A loan is never used for longer, whatever the lender's message says.
constexpr Duration longestLoan = RetryBudget::loanTime;

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

std::shared_ptr<const proto::PeerMessage> writeAsk(const AskBudget &ask, const std::string &sender,
                                                   const std::string &senderAddress)
{
    auto message = messageOf(sender, senderAddress);
    message->mutable_budget_ask()->set_number(ask.number);
    writeExtras(ask.wanted, *message->mutable_budget_ask()->mutable_wanted());
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

std::optional<BudgetAsked> readAsk(const proto::PeerMessage &message)
{
    if (!message.has_budget_ask()) {
        return std::nullopt;
    }
    return BudgetAsked {message.sender_address(), message.budget_ask().number(),
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

} // namespace lagoondeck
