#include "standins/instance_service.h"

#include "core/errors.h"
#include "core/instance_list_codec.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <set>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

template <typename Instance>
void addOrReplace(std::vector<Instance> &instances, const Instance &added)
{
    std::erase_if(instances, [&](const Instance &old) { return old.id == added.id; });
    instances.push_back(added);
}

template <typename Change>
void forEachNamed(InstanceList &list, const std::set<std::string> &ids, const Change &change)
{
    for (TargetInstance &target : list.targets) {
        if (ids.contains(target.id.value)) {
            change(target);
        }
    }
    for (EntryInstance &entry : list.entries) {
        if (ids.contains(entry.id.value)) {
            change(entry);
        }
    }
}

void removeNamed(InstanceList &list, const std::set<std::string> &ids)
{
    const auto isNamed = [&](const auto &instance) { return ids.contains(instance.id.value); };
    std::erase_if(list.targets, isNamed);
    std::erase_if(list.entries, isNamed);
}

/// Reads "targets" and "entries" of a command, which have the format of the instance list.
std::optional<InstanceList> readAdded(const nlohmann::json &command)
{
    nlohmann::json part = nlohmann::json::object();
    for (const char *name : {"targets", "entries"}) {
        if (command.contains(name)) {
            part[name] = command[name];
        }
    }
    return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<InstanceList>> {
                BOOST_LEAF_AUTO(list, parseInstanceList(part.dump()));
                return std::optional(std::move(list));
            },
            [] { return std::optional<InstanceList>(); });
}

} // namespace

InstanceService::InstanceService(EventLoop &loop, std::string address, InstanceList list)
    : loop(loop), visible(std::move(list)),
      server(loop, std::move(address),
             {[this](HttpConnection &connection, const ReceivedRequest &message) {
                  this->onRequest(connection, message);
              },
              {},
              {}})
{ }

void InstanceService::onRequest(HttpConnection &connection, const ReceivedRequest &message)
{
    const std::string route = message.head.getMethod() + " " + message.path();
    if (route == "GET /v1/instances" && this->outage) {
        connection.close();
    } else if (route == "GET /v1/instances") {
        ++this->reads;
        connection.reply(200, {}, writeInstanceList(this->visible));
    } else if (route == "POST /v1/control") {
        this->onControl(connection, message);
    } else if (route == "GET /v1/counts") {
        connection.reply(200, {}, nlohmann::json {{"reads", this->reads}}.dump());
    } else {
        connection.reply(404, {}, "");
    }
}

void InstanceService::onControl(HttpConnection &connection, const ReceivedRequest &message)
{
    try {
        const nlohmann::json command = nlohmann::json::parse(message.body);
        const std::optional<InstanceList> added = readAdded(command);
        if (!added) {
            connection.reply(400, {}, R"({"error":"bad instances"})");
            return;
        }
        using Ids = std::set<std::string>;
        const Ids leaving = command.value("leaving", Ids());
        const Ids live = command.value("live", Ids());
        const Ids removed = command.value("remove", Ids());
        this->lag = std::chrono::milliseconds(command.value("lagMs", toMilliseconds(this->lag)));
        this->outage = command.value("outage", this->outage);
        this->applyLater([added = *added, leaving, live, removed](InstanceList &list) {
            std::ranges::for_each(added.targets, [&](const TargetInstance &target) {
                addOrReplace(list.targets, target);
            });
            std::ranges::for_each(added.entries, [&](const EntryInstance &entry) {
                addOrReplace(list.entries, entry);
            });
            forEachNamed(list, leaving, [](auto &one) { one.state = InstanceState::Leaving; });
            forEachNamed(list, live, [](auto &one) { one.state = InstanceState::Live; });
            removeNamed(list, removed);
        });
        connection.reply(204, {}, "");
    } catch (const nlohmann::json::exception &error) {
        connection.reply(400, {}, nlohmann::json {{"error", error.what()}}.dump());
    }
}

void InstanceService::applyLater(std::function<void(InstanceList &)> change)
{
    if (this->lag == Duration(0)) {
        change(this->visible);
        return;
    }
    this->loop.after(this->lag, [this, change = std::move(change)] { change(this->visible); });
}

} // namespace lagoondeck
