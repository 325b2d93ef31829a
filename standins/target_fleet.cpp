#include "standins/target_fleet.h"

#include "core/instance_list_codec.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lagoondeck {

namespace {

constexpr double defaultDownMs = 3000.0;
constexpr double defaultRetireMs = 3000.0;

Duration milliseconds(const nlohmann::json &command, const char *name, double fallback)
{
    const double value = command.value(name, fallback);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

/// Returns true if the target belongs to the round that the command selects. The last letter of the
/// target's name is its index in the group; the index modulo the number of rounds is its round.
bool isInRound(const TargetInstance &instance, const nlohmann::json &command)
{
    const int serverIndex = instance.id.value.back() - 'a';
    return serverIndex % command.value("rounds", 1) == command["round"].get<int>();
}

} // namespace

TargetFleet::TargetFleet(EventLoop &loop, Topology given)
    : loop(loop), topology(std::move(given)), random(this->topology.seed),
      control(loop, this->topology.controlAddress,
              {[this](HttpConnection &connection, const ReceivedRequest &message) {
                   this->onRequest(connection, message);
               },
               {},
               {}})
{
    for (const ServiceTopology &service : this->topology.services) {
        this->shardCounts[service.name][std::to_string(service.version)] = service.shards;
    }
    for (TargetInstance &instance : listTargets(this->topology)) {
        const auto service = std::ranges::find(this->topology.services, instance.service.value,
                                               &ServiceTopology::name);
        this->targets.push_back(std::make_unique<Target>(loop, *service, std::move(instance),
                                                         this->runRecorder, this->random()));
    }
}

void TargetFleet::start()
{
    for (const auto &target : this->targets) {
        target->start();
    }
    this->control.listen();
}

InstanceList TargetFleet::list() const
{
    InstanceList list;
    for (const auto &target : this->targets) {
        list.targets.push_back(target->instance());
    }
    return list;
}

void TargetFleet::onRequest(HttpConnection &connection, const ReceivedRequest &message)
{
    const std::string route = message.head.getMethod() + " " + message.path();
    if (route == "POST /v1/control") {
        this->onControl(connection, message);
    } else if (route == "GET /v1/counts") {
        connection.reply(200, {}, this->counts().dump());
    } else if (route == "GET /v1/ran") {
        connection.reply(200, {}, this->runRecorder.dump());
    } else if (route == "GET /v1/targets") {
        connection.reply(200, {}, writeInstanceList(this->list()));
    } else if (route == "GET /v1/versions") {
        connection.reply(200, {}, nlohmann::json(this->shardCounts).dump());
    } else if (route == "POST /v1/reset") {
        this->reset();
        connection.reply(204, {}, "");
    } else {
        connection.reply(404, {}, "");
    }
}

void TargetFleet::onControl(HttpConnection &connection, const ReceivedRequest &message)
{
    try {
        const nlohmann::json command = nlohmann::json::parse(message.body);
        const std::vector<Target *> selected = this->select(command);
        if (command.at("action") == "list") {
            InstanceList list;
            for (const Target *target : selected) {
                list.targets.push_back(target->instance());
            }
            connection.reply(200, {}, writeInstanceList(list));
            return;
        }
        if (!this->apply(command.at("action").get<std::string>(), command, selected)) {
            connection.reply(400, {}, R"({"error":"unknown action"})");
            return;
        }
        nlohmann::json names = nlohmann::json::array();
        for (const Target *target : selected) {
            names.push_back(target->instance().id.value);
        }
        connection.reply(200, {}, nlohmann::json {{"targets", std::move(names)}}.dump());
    } catch (const nlohmann::json::exception &error) {
        connection.reply(400, {}, nlohmann::json {{"error", error.what()}}.dump());
    }
}

std::vector<Target *> TargetFleet::select(const nlohmann::json &command)
{
    std::vector<Target *> selected;
    const auto names = command.value("targets", std::set<std::string>());
    for (const auto &target : this->targets) {
        const TargetInstance &instance = target->instance();
        if (command.contains("service") && command["service"] != instance.service.value) {
            continue;
        }
        if (command.contains("failureDomain")
            && command["failureDomain"] != instance.failureDomain.value) {
            continue;
        }
        if (command.contains("round") && !isInRound(instance, command)) {
            continue;
        }
        if (!names.empty() && !names.contains(instance.id.value)) {
            continue;
        }
        selected.push_back(target.get());
    }
    if (command.contains("fraction")) {
        std::ranges::shuffle(selected, this->random);
        const double part = std::clamp(command["fraction"].get<double>(), 0.0, 1.0);
        const double count = std::round(part * static_cast<double>(selected.size()));
        selected.resize(static_cast<std::size_t>(count));
    }
    return selected;
}

bool TargetFleet::apply(const std::string &action, const nlohmann::json &command,
                        const std::vector<Target *> &targets)
{
    if (action == "version") {
        this->rollOutVersion(command, targets);
        return true;
    }
    const auto forEach = [&](const auto &change) {
        std::ranges::for_each(targets, [&](Target *target) { change(*target); });
        return true;
    };
    if (action == "slow") {
        const double factor = command.at("factor").get<double>();
        return forEach([&](Target &target) { target.setSlowdown(factor); });
    }
    if (action == "leave") {
        const bool on = command.value("on", true);
        return forEach([&](Target &target) { target.setLeaving(on); });
    }
    if (action == "shed") {
        const bool on = command.value("on", true);
        return forEach([&](Target &target) { target.setShedding(on); });
    }
    if (action == "crash") {
        const Duration down = milliseconds(command, "downMs", 0.0);
        return forEach([&](Target &target) {
            target.crash(down > Duration(0) ? std::optional(down) : std::nullopt);
        });
    }
    if (action == "revive") {
        return forEach([](Target &target) { target.revive(); });
    }
    if (action == "report") {
        const Duration lag = milliseconds(command, "lagMs", 0.0);
        const double scale = command.value("scale", 1.0);
        return forEach([&](Target &target) { target.report().set(lag, scale); });
    }
    if (action == "poison") {
        const std::string text = command.at("text").get<std::string>();
        const Duration down = milliseconds(command, "downMs", defaultDownMs);
        return forEach([&](Target &target) { target.setPoison(text, down); });
    }
    return false;
}

void TargetFleet::rollOutVersion(const nlohmann::json &command,
                                 const std::vector<Target *> &targets)
{
    const auto version = command.at("version").get<std::uint64_t>();
    const auto shards = command.at("shards").get<std::uint32_t>();
    const Duration spread = milliseconds(command, "spreadMs", 0.0);
    const Duration retire = spread + milliseconds(command, "retireAfterMs", defaultRetireMs);
    std::uniform_int_distribution<Duration::rep> delay(0, spread.count());
    for (Target *target : targets) {
        this->shardCounts[target->instance().service.value][std::to_string(version)] = shards;
        this->loop.after(Duration(delay(this->random)),
                         [target, version, shards] { target->adoptVersion(version, shards); });
        this->loop.after(retire, [target, version] { target->retireBelow(version); });
    }
}

nlohmann::json TargetFleet::counts()
{
    nlohmann::json each = nlohmann::json::object();
    nlohmann::json total = TargetCounts();
    for (const auto &target : this->targets) {
        const nlohmann::json counts = target->counts();
        for (const auto &[name, count] : counts.items()) {
            total[name] = total[name].get<std::uint64_t>() + count.get<std::uint64_t>();
        }
        each[target->instance().id.value] = counts;
    }
    return {{"total", std::move(total)}, {"targets", std::move(each)}};
}

void TargetFleet::reset()
{
    this->runRecorder.clear();
    for (const auto &target : this->targets) {
        target->counts() = TargetCounts();
    }
}

} // namespace lagoondeck
