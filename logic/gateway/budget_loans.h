#pragma once

#include "logic/gateway/gateway_effects.h"
#include "logic/gateway/gateway_events.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoondeck {

/// Asks other members for parts of their retry budgets when this instance's own is spent.
///
/// What one event wants goes to one member in one message; what that member does not lend is asked
/// of one more. An answer that never comes is not waited for.
class BudgetLoans
{
public:
    /// One more extra arrival at the group is wanted.
    void want(const GroupName &group) { ++this->wanted[group]; }
    /// Sends what the event wanted. The members are peer addresses without this instance's own.
    void flush(const std::vector<std::string> &members, GatewayContext &context);
    /// Asks another member for what the answer left open.
    void onLent(const BudgetLent &event, const std::vector<std::string> &members,
                GatewayContext &context);
    bool wants() const { return !this->wanted.empty(); }

private:
    struct Ask
    {
        GroupExtras wanted;
        std::uint32_t members = 1;
    };

    void send(Ask ask, const std::vector<std::string> &members, GatewayContext &context);

    GroupExtras wanted;
    /// Asks without an answer, by number; the oldest are forgotten.
    std::map<std::uint64_t, Ask> open;
    std::uint64_t lastNumber = 0;
};

} // namespace lagoondeck
