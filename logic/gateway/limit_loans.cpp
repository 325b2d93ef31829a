#include "logic/gateway/limit_loans.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

/// Replies arrive within milliseconds. If more requests than this are unanswered, the oldest ones
/// were lost.
constexpr std::size_t maxOpenRequests = 256;

} // namespace

void LimitLoans::add(const std::string &holder, const TargetId &target, double perSecond)
{
    std::vector<LimitWish> &wishes = this->pending[holder];
    const auto found = std::ranges::find(wishes, target, &LimitWish::target);
    if (found == wishes.end()) {
        wishes.push_back({target, 1, perSecond});
    } else {
        ++found->count;
    }
}

void LimitLoans::sendRequests(GatewayContext &context)
{
    for (auto &[holder, wishes] : std::exchange(this->pending, {})) {
        context.emit(RequestLimit {holder, ++this->lastNumber, wishes});
        this->openRequests.emplace(this->lastNumber, context.now);
        if (this->openRequests.size() > maxOpenRequests) {
            this->openRequests.erase(this->openRequests.begin());
        }
    }
}

std::optional<Duration> LimitLoans::takeAnswered(std::uint64_t number, Instant now)
{
    const auto request = this->openRequests.extract(number);
    return request.empty() ? std::nullopt : std::optional(now - request.mapped());
}

} // namespace lagoondeck
