#pragma once

#include "gateway_fixture.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace lagoondeck::gatewaytest {

/// The sizes and delays of a simulated fleet.
struct FleetPlan
{
    std::size_t instances = 195;
    /// Failure domains of the instances; the first `replicaDomains` of them hold one replica of
    /// each shard.
    std::size_t domains = 5;
    std::size_t replicaDomains = 3;
    std::size_t shards = 42;
    /// The targets of a group that serves the plain route, one request at one target.
    std::size_t plainTargets = 0;
    bool isPlainIdempotent = true;
    /// The processor share of one in ten instances of a domain, and of the others.
    double largeShare = 0.5;
    double smallShare = 0.12;
    /// Instances that state no processor share never coordinate.
    bool withCoordinators = true;
    Duration sameDomainDelay = std::chrono::microseconds(100);
    Duration crossDomainDelay = std::chrono::microseconds(1400);
    /// Processor time on a whole processor for one event or effect of an instance.
    Duration processorTime = std::chrono::microseconds(25);
    Duration workTime = milliseconds(20);
    /// A connection that was idle for longer is closed, and a new one takes this long.
    Duration idleTime = std::chrono::seconds(2);
    Duration connectTime = milliseconds(6);
    /// Targets close a connection after this time.
    Duration connectionAge = std::chrono::hours(1);
    /// An attempt to connect that hangs is given up after this time.
    Duration connectTimeout = milliseconds(200);
    /// One in a hundred requests takes this many times as long.
    double tailFactor = 5.0;
    /// This fraction of the targets is slow all the time, by this factor.
    double slowShare = 0.0;
    double slowFactor = 8.0;
    /// Each target pauses for so long, once in each period.
    Duration pauseLength = milliseconds(200);
    Duration pausePeriod = milliseconds(4500);
    Duration objective = milliseconds(150);
    double minimumCoverage = 0.95;
    std::uint32_t attempts = 2;
    std::uint64_t seed = 1;
};

/// A request that reached a target.
struct FleetArrival
{
    Instant at {};
    /// Whether the sender had received a reply with the target's limit half a second earlier.
    bool wasTold = false;
};

/// How an instance is cut off from all targets.
enum class PathCut {
    None,
    Silent,  ///< Nothing arrives, and new connections hang.
    Reset,   ///< Open connections are reset, and new ones are refused.
    Refused, ///< Open connections work, and new ones are refused.
};

/// What the caller of one query saw.
struct FleetAnswer
{
    int status = 0;
    std::size_t missing = 0;
    Duration elapsed {};
    Duration retryAfter {};
};

/// Runs the gateways of a whole fleet with their targets on a simulated clock, without a network.
class GatewayFleet
{
public:
    explicit GatewayFleet(const FleetPlan &plan);

    /// Sends queries at random running instances for a while, `perSecond` in the whole fleet.
    void sendQueries(double perSecond, Duration duration, const std::string &prefix = gathered);
    /// Sends gathered queries at all instances but one.
    void sendQueriesExcept(std::size_t instance, double perSecond, Duration duration);
    /// Sends one query to an instance. Returns its number.
    std::uint64_t sendQuery(std::size_t instance, const std::string &prefix = gathered);
    void run(Duration duration);

    /// The prefixes of the routes.
    static constexpr const char *gathered = "/g/";
    static constexpr const char *urgent = "/u/";
    static constexpr const char *plain = "/p/";

    /// From now on queries whose path begins so crash each target that runs them. The target is
    /// back after a few seconds.
    void setCrashing(std::string prefix) { this->crashingPrefix = std::move(prefix); }
    /// Sends a query of the plain route with the given path to an instance. Returns its number.
    std::uint64_t sendPlainQuery(std::size_t instance, const std::string &path);
    /// How many targets were crashed.
    std::size_t crashes = 0;
    /// From now on the target's replies state this limit, or none.
    void setLimit(const std::string &target, std::optional<double> perSecond);
    /// From now on the target takes this many times as long.
    void setSlowness(const std::string &target, double factor)
    {
        this->targets.at(TargetId(target)).slowness = factor;
    }
    /// Replaces an instance by a new process that knows nothing.
    void restart(std::size_t instance);
    /// From now on the instance neither receives nor sends anything.
    void kill(std::size_t instance) { this->dead.insert(instance); }
    /// Ends a time in which the instance was stopped, as by SIGSTOP; what was sent to it is lost.
    void revive(std::size_t instance);
    /// Cuts an instance off from all targets, or ends the cut. Callers, the store and the other
    /// members reach it all the time.
    void cut(std::size_t instance, PathCut how);
    /// From now on the domain's targets neither reply nor take connections, and its instances are
    /// gone; or its targets are back.
    void setDomainLost(std::size_t domain, bool isLost);
    /// From now on no message of the instance reaches another member.
    void silence(std::size_t instance) { this->silenced.insert(instance); }
    /// From now on the instance can't reach the store.
    void cutStore(std::size_t instance) { this->withoutStore.insert(instance); }
    /// Writes a value to the store.
    void writeStore(StoreChange change);
    /// The key that the queries sent next carry; empty if none.
    std::string accountKey;
    /// The instance handles nothing for a while; what arrives is handled afterwards.
    void pause(std::size_t instance, Duration duration);
    std::size_t indexOf(const std::string &id) const { return this->indexById.at(id); }
    const Gateway &gateway(std::size_t instance) const { return *this->nodes[instance].gateway; }
    /// Returns the instance to which the query was sent, and when.
    std::size_t receiverOf(std::uint64_t query) const { return this->receivers.at(query); }
    Instant sentTimeOf(std::uint64_t query) const { return this->sentAt.at(query); }
    /// Returns true if the query was sent to the urgent route.
    bool isUrgent(std::uint64_t query) const { return this->prefixes.at(query) == urgent; }
    /// Returns the instances that have coordinated queries.
    std::vector<std::size_t> coordinators() const;

    /// The answers by query number; a query without an answer is not in the map.
    std::map<std::uint64_t, FleetAnswer> answers;
    std::uint64_t queries = 0;
    /// The attempts that were started at targets, and how many of them in another domain.
    std::uint64_t attempts = 0;
    std::uint64_t remoteAttempts = 0;
    /// How many attempts of one query started at targets of one shard, by query and shard.
    std::map<std::pair<std::string, std::string>, std::uint32_t> runs;
    /// The requests that reached each limited target while it had a limit.
    std::map<TargetId, std::vector<FleetArrival>> limitedArrivals;
    /// When each instance started an attempt last.
    std::vector<Instant> lastAttemptAt;
    Instant now {std::chrono::seconds(100)};

private:
    struct Node
    {
        std::unique_ptr<Gateway> gateway;
        FailureDomain domain;
        double share = 1.0;
        Instant busyUntil {};
        Instant pausedUntil {};
        /// The earliest timer that is scheduled.
        Instant timerAt = Instant::max();
        /// Increases with each restart.
        std::uint32_t run = 0;
        PathCut pathCut = PathCut::None;
        /// Increases each time that what is under way to or from targets is lost.
        std::uint32_t pathBreaks = 0;
        /// The attempts that are running, and their targets.
        std::map<AttemptId, TargetId> running;
        /// Those of them whose connection is not made yet.
        std::set<AttemptId> unsent;
    };
    struct Target
    {
        TargetRecord record;
        Duration pauseOffset {};
        double slowness = 1.0;
        std::optional<double> limit;
        /// Until when the target is away after a crash.
        Instant awayUntil {};
        /// When each instance received a reply with the limit first.
        std::map<std::size_t, Instant> toldAt;
    };
    struct Step
    {
        Instant at {};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Step &other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void schedule(Instant at, std::function<void()> action);
    /// Delivers an event to an instance after the network's delay.
    void deliver(std::size_t from, const std::string &address,
                 const std::function<GatewayEvent(const std::string &sender)> &event);
    void apply(std::size_t instance, const GatewayEvent &event);
    /// Applies an event later, unless the instance is restarted until then.
    void applyAt(Instant at, std::size_t instance, const GatewayEvent &event);
    void execute(std::size_t instance, const GatewayEffect &effect);
    void startAttempt(std::size_t instance, const StartAttempt &effect);
    void probe(std::size_t instance, const ProbePath &effect);
    /// Lets an attempt end without a reply.
    void endAttempt(std::size_t instance, AttemptId attempt, AttemptEndKind kind, Duration after);
    void recordArrival(std::size_t instance, const TargetId &target);
    /// Ends all attempts at a target.
    void crash(const TargetId &target);
    std::uint64_t send(std::size_t instance, const std::string &prefix, const std::string &path);
    GatewaySettings settingsFor(std::size_t instance) const;
    void answerStore(std::size_t instance, const CallStore &effect);
    Duration delayBetween(const FailureDomain &first, const FailureDomain &second) const;
    std::string addressOf(std::size_t instance) const;

    FleetPlan plan;
    RandomEngine random;
    std::vector<Node> nodes;
    std::map<std::string, std::size_t> indexById;
    std::map<std::string, std::size_t> indexByAddress;
    std::unordered_map<TargetId, Target> targets;
    std::vector<StoreChange> storeState;
    std::string crashingPrefix;
    std::set<std::size_t> dead;
    /// Instances that get no queries from callers.
    std::set<std::size_t> excluded;
    std::set<std::size_t> silenced;
    std::set<std::size_t> withoutStore;
    std::uint64_t storeRevision = 10;
    std::set<FailureDomain> lostDomains;
    std::map<std::uint64_t, Instant> sentAt;
    std::map<std::uint64_t, std::string> prefixes;
    std::map<std::uint64_t, std::size_t> receivers;
    struct Connection
    {
        Instant openedAt {};
        Instant usedAt {};
    };
    /// The connections of the instances to the targets.
    std::map<std::pair<std::size_t, TargetId>, Connection> connections;
    std::priority_queue<Step, std::vector<Step>, std::greater<>> steps;
    std::uint64_t lastOrder = 0;
    std::uint64_t lastQuery = 0;
};

} // namespace lagoondeck::gatewaytest
