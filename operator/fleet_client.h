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

/// What one entry instance tells of itself.
struct NodeReport
{
    EntryInstance instance;
    /// False: the instance is listed and did not answer.
    bool reachable = false;
    /// Why it did not answer.
    std::string failure;
    Revision catalogueRevision;
    /// The whole of GET /v1/status.
    nlohmann::json status;
};

/// An instance that did not report a change.
struct Laggard
{
    InstanceId id;
    std::string httpAddress;
    /// The revision it has in force; empty when it did not answer.
    std::optional<Revision> revision;
};

/// Talks to all entry instances of the instance list. Calls fail with CallFailed, MalformedInput or
/// InvalidInput.
class FleetClient
{
public:
    FleetClient(std::string instanceListAddress, Duration timeout);

    boost::leaf::result<std::vector<EntryInstance>> entries();

    /// Asks every entry instance for its status.
    boost::leaf::result<std::vector<NodeReport>> statuses();

    /// Waits until every live entry instance of the list reports the revision or a later one, at
    /// most for the bound; returns who does not.
    boost::leaf::result<std::vector<Laggard>> waitInForce(Revision revision, Duration bound);

    /// Asks an instance for a graceful stop.
    boost::leaf::result<void> drain(const EntryInstance &instance);

    /// Waits until an instance serves no more; false when the bound passed.
    bool waitGone(const EntryInstance &instance, Duration bound);

    /// The text of GET /metrics; empty when the instance does not answer.
    std::string metrics(const EntryInstance &instance);

private:
    std::string instanceListAddress;
    Duration timeout;
};

} // namespace lagoondeck
