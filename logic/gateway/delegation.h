#pragma once

#include "core/http_message.h"
#include "core/time.h"
#include "logic/gateway/admitted_request.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

// What members send one another about requests that one serves for another.

namespace lagoondeck {

/// Whether a member serves a request.
enum class DelegationState {
    Accepted,    ///< It does, or would do so.
    Busy,        ///< It has no capacity left.
    Leaving,     ///< It is stopping.
    Outdated,    ///< Its configuration is older, or has not the route or the client account.
    Expired,     ///< The request was sent too long ago.
    Unreachable, ///< It does not reach the targets itself.
};

const char *toString(DelegationState state);

/// Asks a member whether it would serve a request now.
struct CoordinatorInquiry
{
    /// The sender's number for the request, unique among its requests.
    std::uint64_t number = 0;
    /// The receiver's configuration must not be older.
    std::uint64_t minConfigVersion = 0;
};

/// The reply to an inquiry.
struct CoordinatorOffer
{
    std::uint64_t number = 0;
    DelegationState state = DelegationState::Accepted;
    /// When the offer was sent, on its sender's clock.
    Instant sentAt {};
};

/// A request that a member asks another one to serve: to send it to the targets and to send their
/// reply back, merged if the request is gathered.
struct DelegatedRequest
{
    /// The number of the inquiry.
    std::uint64_t number = 0;
    std::shared_ptr<const ForwardedRequest> request;
    /// When the query was sent, on the receiver's clock. The receiver must not start a query that
    /// was under way for too long: it may have been paused, and the sender serves the query in
    /// another way by then. The clocks of two instances have nothing in common, but the offer tells
    /// the receiver's time.
    Instant sentAt {};
    /// The time from `sentAt` in which the answer should be sent back.
    Duration objectiveLeft {};
    /// The time from `sentAt` after which nobody waits for the answer.
    Duration timeLeft {};
    std::uint64_t minConfigVersion = 0;
};

/// Tells the sender of a delegated query what became of it so far.
struct DelegationReceipt
{
    std::uint64_t number = 0;
    /// Anything but Accepted means that the query was not started.
    DelegationState state = DelegationState::Accepted;
};

/// The answer to a delegated query.
struct DelegatedAnswer
{
    std::uint64_t number = 0;
    /// The caller's id of the request, which proves that the answer belongs to it.
    std::string requestId;
    CallerReply reply;
    std::uint64_t configVersion = 0;
    /// Targets that said in replies to the request that they are leaving.
    std::vector<TargetId> leavingTargets;
};

} // namespace lagoondeck
