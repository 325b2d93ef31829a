#include "logic/gateway/budget_loans.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lagoondeck {

namespace {

/// So many members are asked for the same extra arrivals.
constexpr std::uint32_t mostMembers = 2;
/// Answers are due within milliseconds: more than so many open asks were lost.
constexpr std::size_t mostOpen = 32;

} // namespace

void BudgetLoans::send(Ask ask, const std::vector<std::string> &members, GatewayContext &context)
{
    if (members.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> any(0, members.size() - 1);
    const std::uint64_t number = ++this->lastNumber;
    context.emit(AskBudget {members[any(context.random)], number, ask.wanted});
    this->open.emplace(number, std::move(ask));
    if (this->open.size() > mostOpen) {
        this->open.erase(this->open.begin());
    }
}

void BudgetLoans::flush(const std::vector<std::string> &members, GatewayContext &context)
{
    if (!this->wanted.empty()) {
        this->send({std::exchange(this->wanted, {})}, members, context);
    }
}

void BudgetLoans::onLent(const BudgetLent &event, const std::vector<std::string> &members,
                         GatewayContext &context)
{
    const auto found = this->open.find(event.number);
    if (found == this->open.end()) {
        return;
    }
    Ask ask = std::move(found->second);
    this->open.erase(found);
    for (const auto &[group, count] : event.lent) {
        const auto left = ask.wanted.find(group);
        if (left != ask.wanted.end()) {
            left->second -= std::min(left->second, count);
        }
    }
    std::erase_if(ask.wanted, [](const auto &entry) { return entry.second == 0; });
    if (!ask.wanted.empty() && ask.members < mostMembers) {
        ++ask.members;
        this->send(std::move(ask), members, context);
    }
}

} // namespace lagoondeck
