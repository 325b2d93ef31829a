#pragma once

#include "core/time.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoondeck {

/// Header fields in their order; names as they were written.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A request or reply as HTTP carries it, read whole.
struct HttpMessage
{
    /// Of a request.
    std::string method;
    std::string target;
    /// Of a reply.
    int status = 0;
    std::string reason;
    HeaderFields fields;
    std::string body;
    /// The sender keeps the connection open after this message.
    bool keepsConnection = true;
};

/// Compares two header names, which know no case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// The value of the first field of a name; empty when there is none.
std::optional<std::string_view> findField(const HeaderFields &fields, std::string_view name);

/// A caller's request, read whole.
struct ForwardedRequest
{
    std::string method;
    /// Path and query, as they came.
    std::string path;
    /// Lower case, with no port.
    std::string host;
    /// End-to-end fields that go to the target unchanged; the request's id is one of them.
    HeaderFields fields;
    std::string body;
    std::string requestId;
    /// How long the caller waits; empty when it did not tell.
    std::optional<Duration> timeLimit;
};

/// What a target's reply is worth as an answer.
enum class ReplyClass {
    Success,
    Failure,  ///< The target ran the request and failed.
    NotRun,   ///< The target proves that it did not and will not run the request.
    Unusable, ///< Another request's reply, or not the target's own bytes.
};

/// A target's complete reply.
struct ForwardedReply
{
    ReplyClass kind = ReplyClass::Unusable;
    int status = 0;
    std::string reason;
    /// End-to-end fields that go to the caller unchanged.
    HeaderFields fields;
    /// The target's proof that the answer is its own.
    std::string signature;
    std::string body;
    /// Another process answers at the address.
    bool otherInstance = false;
    /// It names another request than the one it was read for.
    bool otherRequest = false;
    /// The target says that it is about to close, as a leaving one does.
    bool closes = false;
};

/// What a caller is answered with.
struct CallerReply
{
    int status = 0;
    /// Set when the answer is a target's own.
    std::shared_ptr<const ForwardedReply> forwarded;
    /// Of a merged answer.
    std::vector<std::string> partSignatures;
    std::size_t partsMissing = 0;
    std::string mergedBody;
    /// When the caller may come again; zero tells nothing.
    Duration retryAfter {};
    /// For the caller's eyes: why the request failed.
    std::string detail;
};

} // namespace lagoondeck
