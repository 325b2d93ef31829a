#pragma once

#include "core/settings.h"
#include "logic/admission/token_bucket.h"
#include "logic/claims/claim.h"
#include "logic/claims/claim_finalizer.h"
#include "logic/claims/claim_lease.h"
#include "logic/claims/claim_times.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

struct Context;
struct StoreReplied;

/// Ensures that a request that must run at most once is sent at most once in the whole cell.
///
/// Before the request is sent, its key is written to the store by a compare-and-swap. Only the
/// instance that wrote the key may send the request. docs/design/AT_MOST_ONCE.md explains why this
/// is safe.
class Claims
{
public:
    explicit Claims(const Settings &settings);

    /// Sets the number of members among which the cell's write rate is divided.
    void setMembers(std::size_t members);

    /// Returns why a request must not be claimed, or None.
    FailureReason rejectionReason(const CallerRequest &request, WallTime wall) const;
    /// Starts to claim a request for which rejectionReason returns None. takeResults returns the
    /// result.
    void begin(const CallerRequest &request, const CatalogueEntry &entry, Context &context);
    /// Returns whether the reply belongs to an operation of this class.
    bool onStoreReply(const StoreReplied &reply, Context &context);
    /// Called when a TimerKind::Claim timer fires, with its key.
    void onTimer(std::uint64_t key, Context &context);
    void onCallerGone(QueryId query, Context &context);
    /// Called when the query of a held claim was answered.
    void onAnswered(QueryId query, Outcome outcome, Context &context);

    /// Returns the claims that ended during the current event and removes them from the list. The
    /// request of a held claim must be sent while the same event is applied.
    std::vector<ClaimResult> takeResults();

    /// The number of requests that wait for their claim.
    std::size_t pending() const;

private:
    void startOperations(Context &context);
    void startBatch(std::int64_t lease, Context &context);
    void onBatchReply(std::vector<QueryId> batch, const StoreReplied &reply, Context &context);
    void onFailed(Claim &claim, StoreStatus status, Context &context);
    void onTransactionReply(Claim &claim, const StoreReplied &reply, Context &context);
    void onExistingRecord(Claim &claim, const StoreKeyValue &found, Context &context);
    void markHeld(Claim &claim, std::uint64_t modRevision, Context &context);
    void requeue(Claim &claim, Context &context);
    void refuse(QueryId query, FailureReason reason, Context &context);
    void refuseAlreadyClaimed(QueryId query, std::optional<Outcome> firstOutcome, Context &context);
    /// Removes a claim that is not held, and releases it in the store if it may have been written.
    void remove(QueryId query, Context &context);
    void addResult(const Claim &claim, FailureReason reason, Outcome outcome,
                   std::optional<Outcome> firstOutcome = std::nullopt);
    std::string nextClaimId(Context &context) const;

    InstanceId self;
    ClaimTimes times;
    double cellWritesPerSecond;
    std::size_t minMembers;
    std::size_t members;
    ClaimLease leases;
    ClaimFinalizer finalizer;
    TokenBucket writes;
    std::unordered_map<QueryId, Claim> claims;
    std::unordered_map<std::string, QueryId> queryByKey;
    std::deque<QueryId> queue;
    std::map<StoreOpId, std::vector<QueryId>> operations;
    std::vector<ClaimResult> results;
};

} // namespace lagoondeck
