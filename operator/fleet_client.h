#pragma once

#include "core/ids.h"
#include "core/instance_list.h"
#include "core/time.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

/// The status of one entry instance.
struct InstanceReport
{
    EntryInstance instance;
    /// False when the instance is listed but did not answer.
    bool reachable = false;
    /// Why it did not answer.
    std::string failure;
    Revision catalogueRevision;
    /// The reply to GET /v1/status.
    nlohmann::json status;
};

/// An instance that has not reported a change yet.
struct LaggingInstance
{
    InstanceId id;
    std::string httpAddress;
    /// The revision it has in force; empty when it did not answer.
    std::optional<Revision> revision;
};

/// Calls the entry instances of the instance list. All calls may fail with CallFailed,
/// MalformedInput or InvalidInput.
class FleetClient
{
public:
    FleetClient(std::string instanceListAddress, Duration timeout);

    boost::leaf::result<std::vector<EntryInstance>> entries();

    /// Fetches the status of every entry instance.
    boost::leaf::result<std::vector<InstanceReport>> statuses();

    /// Waits until every live entry instance of the list reports the revision or a later one, at
    /// most for the bound. Returns the instances that do not.
    boost::leaf::result<std::vector<LaggingInstance>> waitInForce(Revision revision,
                                                                  Duration bound);

    /// Starts a graceful stop of an instance.
    boost::leaf::result<void> drain(const EntryInstance &instance);

    /// Waits until an instance has stopped; returns false when the bound passed first.
    bool waitUntilStopped(const EntryInstance &instance, Duration bound);

    /// Returns the text of GET /metrics; empty when the instance does not answer.
    std::string metrics(const EntryInstance &instance);

private:
    std::string instanceListAddress;
    Duration timeout;
};

} // namespace lagoondeck
