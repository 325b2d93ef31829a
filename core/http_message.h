#pragma once

#include "core/time.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Header fields in the order and spelling in which they were received.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A complete HTTP request or reply.
struct HttpMessage
{
    /// Set in requests.
    std::string method;
    std::string target;
    /// Set in replies.
    int status = 0;
    std::string reason;
    HeaderFields fields;
    std::string body;
    /// Whether the sender keeps the connection open after this message.
    bool keepsConnection = true;
};

/// Returns true if a final reply may have this status.
constexpr bool isFinalStatus(int status)
{
    constexpr int first = 200;
    constexpr int last = 599;
    return status >= first && status <= last;
}

/// Compares two header names, which are case-insensitive.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Returns the value of the first field with the given name, or nothing when there is none.
std::optional<std::string_view> findField(const HeaderFields &fields, std::string_view name);

/// A complete request of a caller.
struct ForwardedRequest
{
    std::string method;
    /// Path and query as received.
    std::string path;
    /// In lower case and without the port.
    std::string host;
    /// End-to-end fields that are forwarded to the target unchanged, the request's id among them.
    HeaderFields fields;
    std::string body;
    std::string requestId;
    /// The fields in which the caller says who it is, as received. They are sent on only if the
    /// configuration has no client accounts; see AccountGate.
    HeaderFields identityFields;
    /// The key from these fields; empty if there is none or not exactly one.
    std::string accountKey;
    /// The client account that the request was found to belong to; empty if there is none.
    std::string account;
    /// How long the caller waits for its answer; empty when the request doesn't say.
    std::optional<Duration> timeLimit;
};

/// How a target's reply can be used to answer the caller.
enum class ReplyClass {
    Success,
    Failure,  ///< The target ran the request, which failed.
    NotRun,   ///< Proof that the target did not and will not run the request.
    Unusable, ///< A reply to another request, or one that may not be the target's unaltered bytes.
};

/// A target's complete reply.
struct ForwardedReply
{
    ReplyClass kind = ReplyClass::Unusable;
    int status = 0;
    std::string reason;
    /// End-to-end fields that are forwarded to the caller unchanged.
    HeaderFields fields;
    /// The target's proof that it produced the answer itself.
    std::string signature;
    /// How many requests per second the target takes from the whole fleet at present; empty when it
    /// states no limit.
    std::optional<double> requestLimit;
    std::string body;
    /// Whether the target says that it is leaving.
    bool isTargetLeaving = false;
    /// For how long the target, which refused the request, wants no others from this instance.
    Duration requestedPause {};
    /// Whether another process than the addressed target sent the reply.
    bool otherInstance = false;
    /// Whether the reply carries the id of another request than the expected one.
    bool otherRequest = false;
    /// Whether the target announces that it closes the connection, as a leaving target does.
    bool closesConnection = false;
};

/// The reply to a caller.
struct CallerReply
{
    int status = 0;
    /// The target's reply when it is forwarded; null when this instance produced the reply.
    std::shared_ptr<const ForwardedReply> forwarded;
    /// The signatures of the replies that were merged; empty unless the answer is merged.
    std::vector<std::string> partSignatures;
    std::size_t partsMissing = 0;
    std::string mergedBody;
    /// The time after which the caller may try again; zero when it is unspecified.
    Duration retryAfter {};
    /// A human-readable text for the caller: why the request failed.
    std::string detail;
};

} // namespace lagoondeck
