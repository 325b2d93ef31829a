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

/// The bytes of a sub-request, as docs/PROTOCOLS.md says. The instance makes attempt ids unique
/// over all entry instances.
std::string writeSubRequest(const SendSubRequest &request, const InstanceId &instance,
                            const std::string &host);
std::string writeCancellation(AttemptId attempt, const InstanceId &instance,
                              const std::string &host);
std::string writeHealthCheck(const std::string &host);

/// The report in a reply's head; empty when it carries none.
std::optional<TargetReport> readReport(const Poco::Net::HTTPResponse &head);

/// Reads "7/10,8/12". Empty when it is malformed.
std::vector<SnapshotAnnouncement> readSnapshots(std::string_view text);

/// Reads the reply to the given attempt. Fails with MalformedInput when the reply can't be read or
/// names another attempt.
boost::leaf::result<TargetReplied> readSubReply(const HttpReply &reply, AttemptId attempt,
                                                ConnectionId connection,
                                                const InstanceId &instance);

/// The reply says that the connection was refused at the target's cap.
bool isCapRefusal(const Poco::Net::HTTPResponse &head);

} // namespace lagoondeck
