#pragma once

#include "logic/accounts/account_caps.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoondeck::accounttest {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline ClientAccount capped(double perSecond, double burst)
{
    ClientAccount account;
    account.name = "acme";
    account.requestsPerSecond = perSecond;
    account.burst = burst;
    return account;
}

/// Runs the caps of a fleet with messages on a simulated clock, without a network, and counts the
/// requests of one account.
class AccountFleet
{
public:
    AccountFleet(const ClientAccount &account, std::size_t instances = 79, std::uint64_t seed = 1);

    /// Sends requests of the account at random ones of the instances, evenly spaced.
    void send(double perSecond, Duration duration, const std::vector<std::size_t> &entries);
    void run(Duration duration);
    /// Replaces a process. The instance is away for a while.
    void restart(std::size_t instance, Duration downtime = seconds(1));
    /// The instance handles nothing for a while; what arrives is handled afterwards.
    void pause(std::size_t instance, Duration duration);
    /// From now on, no message passes between these instances and the others.
    void cut(const std::vector<std::size_t> &instances);
    /// From now on the instances hear nothing of the store; it is back after loseStore({}).
    void loseStore(const std::vector<std::size_t> &instances);
    /// Sets the members that an instance knows.
    void setView(std::size_t instance, const std::vector<std::size_t> &members);
    void setAccount(std::size_t instance, const ClientAccount &account);
    /// Asks for a decision on one request.
    ExchangeId submit(std::size_t instance);
    void leave(std::size_t instance, ExchangeId exchange);

    std::vector<std::size_t> all() const;
    /// The instances that hold the cap, if all instances are known.
    std::vector<std::size_t> holders() const;
    /// Returns the most requests that were served in a window of 5 s, and the time of that window.
    std::size_t mostServed() const;
    /// Returns how many requests a window of 5 s may serve.
    static double bound(const ClientAccount &account)
    {
        return (account.requestsPerSecond * 5.0 + account.burst) * 1.1 + 20.0;
    }

    std::vector<Instant> served;
    std::vector<Duration> retries;
    std::size_t messages = 0;
    Instant now {seconds(100)};

private:
    struct Node
    {
        std::unique_ptr<AccountCaps> caps;
        RandomEngine random;
        /// All versions of the account that the instance has known; requests refer to them.
        std::deque<std::vector<ClientAccount>> configs;
        std::vector<MemberRecord> view;
        Instant awayUntil {};
        Instant pausedUntil {};
        std::uint64_t run = 0;
        bool isCut = false;
        std::optional<Instant> storeLostAt;
    };

    using Action = std::function<void(AccountCaps &, GatewayContext &)>;

    /// Lets the instance handle an event now, or after its pause.
    void apply(std::size_t instance, const Action &action);
    void execute(std::size_t instance, const GatewayEffect &effect);
    void deliver(std::size_t from, const std::string &address, const Action &action);
    void start(std::size_t instance, bool isFirstStart);
    static std::string addressOf(std::size_t instance) { return "p" + std::to_string(instance); }

    std::vector<Node> nodes;
    std::vector<MemberRecord> records;
    std::map<std::string, std::size_t> indexByAddress;
    std::multimap<Instant, std::function<void()>> steps;
    RandomEngine random;
    IdSource ids;
    Route route;
    std::uint64_t lastExchange = 0;
};

} // namespace lagoondeck::accounttest
