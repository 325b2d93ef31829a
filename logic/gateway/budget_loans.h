#pragma once

#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

/// Requests budget loans from other members when this instance's own retry budget is spent.
///
/// All loans that are needed while one event is handled are requested from one member in a single
/// message. What that member does not lend is requested from one more member. Requests do not
/// block: a reply that never arrives has no effect.
class BudgetLoans
{
public:
    /// Adds one extra arrival at the group to the next loan request.
    void add(const GroupName &group) { ++this->pending[group]; }
    /// Sends the pending request. `members` are the peer addresses of the other members.
    void sendRequests(const std::vector<std::string> &members, GatewayContext &context);
    /// Called when a member replies. Requests what it did not lend from another member.
    void onLoan(const BudgetLent &event, const std::vector<std::string> &members,
                GatewayContext &context);
    /// Returns true if extra arrivals were added since the last request was sent.
    bool hasRequests() const { return !this->pending.empty(); }

private:
    struct LoanRequest
    {
        /// What is still missing.
        GroupExtras extras;
        /// How many members have been asked.
        std::uint32_t askedMembers = 1;
    };

    void send(LoanRequest request, const std::vector<std::string> &members,
              GatewayContext &context);

    GroupExtras pending;
    /// Unanswered requests by number; the oldest ones are dropped.
    std::map<std::uint64_t, LoanRequest> openRequests;
    std::uint64_t lastNumber = 0;
};

} // namespace lagoondeck
