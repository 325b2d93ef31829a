#include "drivers/target_codec.h"

#include "core/errors.h"
#include "core/json_input.h"
#include "drivers/http_reply_reader.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <sstream>
#include <utility>

namespace lagoondeck {

namespace leaf = boost::leaf;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

const std::string emptyHeader;

template <typename Number>
std::optional<Number> readNumber(std::string_view text)
{
    Number number {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::string attemptName(AttemptId attempt, const InstanceId &instance)
{
    return instance.value + "/" + std::to_string(attempt.value);
}

std::string writeRequest(HTTPRequest &request, const std::string &host, std::string_view body)
{
    request.setHost(host);
    request.setKeepAlive(true);
    if (!body.empty()) {
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
    }
    std::ostringstream stream;
    request.write(stream);
    stream << body;
    return std::move(stream).str();
}

ReplyKind refusalKind(const std::string &notRun)
{
    if (notRun == "draining") {
        return ReplyKind::Draining;
    }
    if (notRun == "snapshot") {
        return ReplyKind::SnapshotRetired;
    }
    if (notRun == "cancelled") {
        return ReplyKind::CancelledBeforeRun;
    }
    return notRun == "expired" ? ReplyKind::ExpiredBeforeRun : ReplyKind::Shed;
}

ReplyKind kindOf(const HTTPResponse &head)
{
    if (head.getStatus() == HTTPResponse::HTTP_OK) {
        return ReplyKind::Answered;
    }
    // Only this header proves that the sub-request did not run; no status alone does.
    if (const std::string &notRun = head.get("Lagoon-Not-Run", emptyHeader); !notRun.empty()) {
        return refusalKind(notRun);
    }
    return head.get("Lagoon-Ran", emptyHeader) == "cancelled" ? ReplyKind::CancelledWhileRunning
                                                              : ReplyKind::Failed;
}

leaf::result<std::vector<Hit>> readHits(const std::string &body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    const auto hits = json.find("hits");
    if (!json.is_object() || hits == json.end() || !hits->is_array()) {
        return leaf::new_error(MalformedInput {"the reply has no hits", 0});
    }
    std::vector<Hit> result;
    result.reserve(hits->size());
    for (const auto &hit : *hits) {
        const bool hasScore = hit.is_object() && hit.contains("score") && hit["score"].is_number();
        result.push_back({hasScore ? hit["score"].get<double>() : 0.0, hit.dump()});
    }
    return result;
}

} // namespace

std::string writeSubRequest(const SendSubRequest &send, const InstanceId &instance,
                            const std::string &host)
{
    HTTPRequest request(HTTPRequest::HTTP_POST,
                        "/v1/shards/" + std::to_string(send.shard.value) + "/query",
                        HTTPRequest::HTTP_1_1);
    request.set("Lagoon-Attempt", attemptName(send.attempt, instance));
    request.set("Lagoon-Request", send.requestId.value);
    request.set("Lagoon-Caller", send.caller.value);
    request.set("Lagoon-Snapshot", std::to_string(send.snapshot.value));
    request.set("Lagoon-Deadline-Us", std::to_string(send.deadline.count()));
    request.set("Lagoon-Idempotent", send.idempotent ? "true" : "false");
    return writeRequest(request, host, *send.body);
}

std::string writeCancellation(AttemptId attempt, const InstanceId &instance,
                              const std::string &host)
{
    std::string name;
    Poco::URI::encode(attemptName(attempt, instance), "/", name);
    HTTPRequest request(HTTPRequest::HTTP_DELETE, "/v1/attempts/" + name, HTTPRequest::HTTP_1_1);
    return writeRequest(request, host, "");
}

std::string writeHealthCheck(const std::string &host)
{
    HTTPRequest request(HTTPRequest::HTTP_GET, "/v1/health", HTTPRequest::HTTP_1_1);
    return writeRequest(request, host, "");
}

std::vector<SnapshotAnnouncement> readSnapshots(std::string_view text)
{
    std::vector<SnapshotAnnouncement> snapshots;
    while (!text.empty()) {
        const std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const std::size_t slash = item.find('/');
        if (slash == std::string_view::npos) {
            return {};
        }
        const auto version = readNumber<std::uint64_t>(item.substr(0, slash));
        const auto shards = readNumber<std::uint32_t>(item.substr(slash + 1));
        if (!version || !shards) {
            return {};
        }
        snapshots.push_back({SnapshotVersion(*version), *shards});
    }
    return snapshots;
}

std::optional<TargetReport> readReport(const HTTPResponse &head)
{
    if (!head.has("Lagoon-Snapshots")) {
        return std::nullopt;
    }
    TargetReport report;
    report.snapshots = readSnapshots(head.get("Lagoon-Snapshots"));
    report.leaving = head.get("Lagoon-Leaving", emptyHeader) == "true";
    report.cold = head.get("Lagoon-Cold", emptyHeader) == "true";
    report.inFlight =
            readNumber<std::uint32_t>(head.get("Lagoon-In-Flight", emptyHeader)).value_or(0);
    return report;
}

leaf::result<TargetReplied> readSubReply(const HttpReply &reply, AttemptId attempt,
                                         ConnectionId connection, const InstanceId &instance)
{
    if (reply.head.get("Lagoon-Attempt", emptyHeader) != attemptName(attempt, instance)) {
        return leaf::new_error(MalformedInput {"the reply names another attempt", 0});
    }
    TargetReplied event;
    event.attempt = attempt;
    event.connection = connection;
    event.kind = kindOf(reply.head);
    event.report = readReport(reply.head);
    event.serviceTime =
            Duration(readNumber<Duration::rep>(reply.head.get("Lagoon-Service-Us", emptyHeader))
                             .value_or(0));
    if (event.kind != ReplyKind::Answered) {
        return event;
    }
    const auto snapshot = readNumber<std::uint64_t>(reply.head.get("Lagoon-Snapshot", emptyHeader));
    if (!snapshot) {
        return leaf::new_error(MalformedInput {"the reply names no snapshot", 0});
    }
    event.snapshot = SnapshotVersion(*snapshot);
    event.documents =
            readNumber<std::uint64_t>(reply.head.get("Lagoon-Documents", emptyHeader)).value_or(0);
    BOOST_LEAF_ASSIGN(event.hits, readHits(reply.body));
    return event;
}

bool isCapRefusal(const HTTPResponse &head)
{
    return head.get("Lagoon-Not-Run", emptyHeader) == "connection-cap";
}

} // namespace lagoondeck
