#include "logic/gateway/budget_loans.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lagoondeck {

namespace {

/// How many members are asked in turn for the same extra arrivals.
constexpr std::uint32_t maxMembersPerRequest = 2;
/// Replies arrive within milliseconds. If more requests than this are unanswered, the oldest ones
/// were lost.
constexpr std::size_t maxOpenRequests = 32;

} // namespace

void BudgetLoans::send(LoanRequest request, const std::vector<std::string> &members,
                       GatewayContext &context)
{
    if (members.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> randomMember(0, members.size() - 1);
    const std::uint64_t number = ++this->lastNumber;
    context.emit(RequestBudget {members[randomMember(context.random)], number, request.extras});
    this->openRequests.emplace(number, std::move(request));
    if (this->openRequests.size() > maxOpenRequests) {
        this->openRequests.erase(this->openRequests.begin());
    }
}

void BudgetLoans::sendRequests(const std::vector<std::string> &members, GatewayContext &context)
{
    if (!this->pending.empty()) {
        this->send({std::exchange(this->pending, {})}, members, context);
    }
}

void BudgetLoans::onLoan(const BudgetLent &event, const std::vector<std::string> &members,
                         GatewayContext &context)
{
    const auto found = this->openRequests.find(event.number);
    if (found == this->openRequests.end()) {
        return;
    }
    LoanRequest request = std::move(found->second);
    this->openRequests.erase(found);
    for (const auto &[group, count] : event.lent) {
        const auto remaining = request.extras.find(group);
        if (remaining != request.extras.end()) {
            remaining->second -= std::min(remaining->second, count);
        }
    }
    std::erase_if(request.extras, [](const auto &entry) { return entry.second == 0; });
    if (!request.extras.empty() && request.askedMembers < maxMembersPerRequest) {
        ++request.askedMembers;
        this->send(std::move(request), members, context);
    }
}

} // namespace lagoondeck
