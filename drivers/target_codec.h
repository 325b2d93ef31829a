#pragma once

#include "logic/effects.h"
#include "logic/events.h"

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Poco::Net {
class HTTPResponse;
}

namespace lagoondeck {

struct HttpReply;

/// Writes the HTTP request of a sub-request as docs/PROTOCOLS.md describes it. The instance id
/// makes attempt ids unique among all entry instances.
std::string writeSubRequest(const SendSubRequest &request, const InstanceId &instance,
                            const std::string &host);
std::string writeCancellation(AttemptId attempt, const InstanceId &instance,
                              const std::string &host);
std::string writeHealthCheck(const std::string &host);

/// Reads the target's report from the headers of a reply. Returns nothing when there is none.
std::optional<TargetReport> readReport(const Poco::Net::HTTPResponse &head);

/// Parses a list of VERSION/SHARDS such as "7/10,8/12". Returns an empty list when it is malformed.
std::vector<SnapshotAnnouncement> readSnapshots(std::string_view text);

/// Parses the reply to the given attempt. Fails with MalformedInput when the reply can't be parsed
/// or names another attempt.
boost::leaf::result<TargetReplied> readSubReply(const HttpReply &reply, AttemptId attempt,
                                                ConnectionId connection,
                                                const InstanceId &instance);

/// Returns whether the target refused the connection because its connection cap was reached.
bool isCapRefusal(const Poco::Net::HTTPResponse &head);

} // namespace lagoondeck
