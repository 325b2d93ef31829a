// The shares of limits of cold targets, over a simulated fleet of TargetLimits.

#include "logic/gateway/target_limits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <queue>
#include <random>

using namespace lagoondeck;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Instances that send to cold targets as much as their shares and loans allow.
class Fleet
{
public:
    explicit Fleet(std::size_t size) : instances(size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->members.push_back(
                    {InstanceId("n" + std::to_string(i)), std::to_string(i), {}, 0});
            this->instances[i].setSelf(this->members[i].id);
        }
        this->reachable.assign(size, 0);
        this->setView(0, size, 0, size);
    }

    /// Lets the instances from `first` to `last` see only the members of a range.
    void setView(std::size_t first, std::size_t last, std::size_t firstSeen, std::size_t lastSeen)
    {
        const std::vector<MemberRecord> seen(
                this->members.begin() + static_cast<std::ptrdiff_t>(firstSeen),
                this->members.begin() + static_cast<std::ptrdiff_t>(lastSeen));
        for (std::size_t i = first; i < last; ++i) {
            this->instances[i].setMembers(seen);
        }
    }
    /// From now on the instances exchange messages only within their own side.
    void divide(std::size_t firstOfOther)
    {
        for (std::size_t i = firstOfOther; i < this->reachable.size(); ++i) {
            this->reachable[i] = 1;
        }
    }
    void makeCold(const std::string &target, double perSecond, Duration duration)
    {
        for (TargetLimits &limits : this->instances) {
            limits.setCold(TargetId(target), false, perSecond, this->now + duration);
        }
    }
    /// Lets each instance try to send to each target once in a millisecond.
    void run(const std::vector<std::string> &targets, Duration duration)
    {
        const Instant end = this->now + duration;
        for (; this->now < end; this->now += milliseconds(1)) {
            this->deliver();
            for (std::size_t i = 0; i < this->instances.size(); ++i) {
                for (const std::string &target : targets) {
                    this->send(i, TargetId(target));
                }
                this->sendMessages(i);
            }
        }
    }
    /// Returns the largest number of requests that a target got in any second.
    std::size_t maxInSecond(const std::string &target) const
    {
        const std::vector<Instant> &times = this->arrivals.at(TargetId(target));
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= seconds(1)) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    double perSecond(const std::string &target, Duration duration) const
    {
        return static_cast<double>(this->arrivals.at(TargetId(target)).size())
                / std::chrono::duration<double>(duration).count();
    }

    std::vector<TargetLimits> instances;
    Instant now {seconds(100)};

private:
    struct Message
    {
        Instant at {};
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t number = 0;
        std::vector<LimitWish> wishes;
        LimitGrants lent;
        bool isReply = false;
    };

    void send(std::size_t instance, const TargetId &target)
    {
        TargetLimits &limits = this->instances[instance];
        while (limits.allows(target, {}, this->now)) {
            limits.onSent(target, TraceKind::Send, this->now);
            this->arrivals[target].push_back(this->now);
        }
        if (limits.mayRequestLoan(target, this->now)) {
            limits.requestLoan(target, this->now, this->random);
        }
    }

    void sendMessages(std::size_t instance)
    {
        std::vector<GatewayEffect> effects;
        GatewayContext context {this->now, effects, this->random, this->ids};
        this->instances[instance].loans().sendRequests(context);
        for (const GatewayEffect &effect : effects) {
            const auto &request = std::get<RequestLimit>(effect);
            this->post({this->now + this->delay(),
                        instance,
                        std::stoul(request.receiver),
                        request.number,
                        request.wishes,
                        {},
                        false});
        }
    }

    void post(Message message)
    {
        if (this->reachable[message.from] == this->reachable[message.to]) {
            this->messages.push_back(std::move(message));
        }
    }

    void deliver()
    {
        for (const Message &message : std::exchange(this->messages, {})) {
            if (message.at > this->now) {
                this->messages.push_back(message);
                continue;
            }
            TargetLimits &limits = this->instances[message.to];
            if (!message.isReply) {
                this->post({this->now + this->delay(),
                            message.to,
                            message.from,
                            message.number,
                            {},
                            limits.lend(message.wishes, this->now),
                            true});
            } else if (const auto age = limits.loans().takeAnswered(message.number, this->now)) {
                limits.onLent({message.number, message.lent, LimitBucket::loanLifetime}, *age,
                              this->now);
            }
        }
    }

    /// Most messages arrive at once; some take long, as to an instance that was paused.
    Duration delay()
    {
        std::bernoulli_distribution isLate(0.05);
        return isLate(this->random) ? milliseconds(700) : milliseconds(3);
    }

    std::vector<MemberRecord> members;
    /// The side of each instance.
    std::vector<int> reachable;
    std::vector<Message> messages;
    std::map<TargetId, std::vector<Instant>> arrivals;
    RandomEngine random {20261206};
    IdSource ids;
};

/// What a cold target bears in any second.
double allowedInSecond(double perSecond)
{
    return perSecond * 1.5 + 5.0;
}

} // namespace

// Guards against a sum of shares, bursts and loans that a cold target does not bear.
TEST_CASE("cold target: the whole fleet sends no more than it bears in any second")
{
    for (const std::size_t size : {3, 8, 79}) {
        for (const double perSecond : {1.0, 5.0, 20.0, 100.0, 400.0}) {
            Fleet fleet(size);
            fleet.makeCold("t", perSecond, seconds(60));
            fleet.run({"t"}, seconds(6));
            INFO("instances " << size << ", limit " << perSecond);
            CHECK(static_cast<double>(fleet.maxInSecond("t")) <= allowedInSecond(perSecond));
            // What is allowed is also used: 0.8 of the limit is divided.
            CHECK(fleet.perSecond("t", seconds(6)) >= perSecond * 0.5);
            CHECK(fleet.perSecond("t", seconds(6)) <= perSecond + 1.0);
        }
    }
}

// Guards against members that take over shares which other instances still use.
TEST_CASE("cold target: the bound holds while the members' views of the fleet differ")
{
    for (const std::size_t size : {2, 3, 4, 8, 79}) {
        for (const double perSecond : {1.0, 20.0, 100.0, 400.0}) {
            for (const std::size_t cutOff : {std::size_t(1), size / 2}) {
                Fleet fleet(size);
                fleet.makeCold("t", perSecond, seconds(60));
                fleet.run({"t"}, seconds(2));
                // Some are cut off and go on with their shares; the others don't count them.
                fleet.divide(size - cutOff);
                fleet.setView(0, size - cutOff, 0, size - cutOff);
                fleet.run({"t"}, seconds(5));
                INFO("instances " << size << ", cut off " << cutOff << ", limit " << perSecond);
                CHECK(static_cast<double>(fleet.maxInSecond("t")) <= allowedInSecond(perSecond));
            }
        }
    }
}

// Guards against a new share for each target when a whole failure domain becomes cold.
TEST_CASE("cold target: the bound holds when many targets become cold at once")
{
    Fleet fleet(40);
    std::vector<std::string> targets;
    for (int i = 0; i < 30; ++i) {
        targets.push_back("t" + std::to_string(i));
        fleet.makeCold(targets.back(), 30.0, seconds(60));
    }
    fleet.run(targets, seconds(3));
    for (const std::string &target : targets) {
        CHECK(static_cast<double>(fleet.maxInSecond(target)) <= allowedInSecond(30.0));
    }
}

TEST_CASE("cold target: the smaller one of a stated and a cold limit binds")
{
    Fleet fleet(8);
    fleet.makeCold("t", 40.0, seconds(60));
    // Only some of the instances have heard of the stated limit.
    std::vector<GatewayEffect> effects;
    RandomEngine random(1);
    IdSource ids;
    GatewayContext context {fleet.now, effects, random, ids};
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.instances[i].onReported({TargetId("t"), i % 2 == 0 ? 10.0 : 400.0}, false, context);
    }
    CHECK(fleet.instances[0].perSecond(TargetId("t"), fleet.now) == 10.0);
    CHECK(fleet.instances[1].perSecond(TargetId("t"), fleet.now) == 40.0);
    fleet.run({"t"}, seconds(4));
    CHECK(static_cast<double>(fleet.maxInSecond("t")) <= allowedInSecond(40.0));
}

TEST_CASE("cold target: the limit ends at the known time")
{
    Fleet fleet(3);
    fleet.makeCold("t", 5.0, seconds(2));
    TargetLimits &limits = fleet.instances[0];
    CHECK(limits.isCold(TargetId("t"), fleet.now));
    CHECK(limits.coldCount(fleet.now) == 1);
    CHECK(limits.limitedCount(fleet.now) == 0);
    const Instant later = fleet.now + seconds(2);
    CHECK_FALSE(limits.perSecond(TargetId("t"), later));
    for (int i = 0; i < 100; ++i) {
        CHECK(limits.allows(TargetId("t"), {}, later));
        limits.onSent(TargetId("t"), TraceKind::Send, later);
    }
}
