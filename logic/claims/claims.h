#pragma once

#include "core/settings.h"
#include "logic/admission/token_bucket.h"
#include "logic/claims/claim.h"
#include "logic/claims/claim_lease.h"
#include "logic/claims/claim_settler.h"
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

/// Makes sure that a request that must run at most once is sent at most once in the whole cell.
///
/// Before it is sent, its key is written to the store by a compare-and-swap; only who wrote it may
/// send. docs/AT_MOST_ONCE.md tells why that holds.
class Claims
{
public:
    explicit Claims(const Settings &settings);

    /// The writes that the cell allows itself are divided by the members.
    void setMembers(std::size_t members);

    /// Why a request must not even be claimed.
    FailureReason unacceptable(const CallerRequest &request, WallTime wall) const;
    /// Starts a claim of an acceptable request. Its end is told by takeEnds.
    void begin(const CallerRequest &request, const CatalogueEntry &entry, Context &context);
    /// Returns whether the operation was this part's own.
    bool onStoreReply(const StoreReplied &reply, Context &context);
    /// TimerKind::Claim, with its key.
    void onTimer(std::uint64_t key, Context &context);
    void onCallerGone(QueryId query, Context &context);
    /// The query of a held claim was answered.
    void onAnswered(QueryId query, Outcome outcome, Context &context);

    /// What ended in this event. A held claim's request must be sent in this very event.
    std::vector<ClaimEnd> takeEnds();

    /// Requests that wait for their claim.
    std::size_t pending() const;

private:
    void pump(Context &context);
    void startBatch(std::int64_t lease, Context &context);
    void onBatchReply(std::vector<QueryId> batch, const StoreReplied &reply, Context &context);
    void onFailed(Claim &claim, StoreStatus status, Context &context);
    void onCompared(Claim &claim, const StoreReplied &reply, Context &context);
    void onFound(Claim &claim, const StoreKeyValue &found, Context &context);
    void hold(Claim &claim, std::uint64_t modRevision, Context &context);
    void queueAgain(Claim &claim, Context &context);
    void refuse(QueryId query, FailureReason reason, Context &context);
    void refuseClaimed(QueryId query, std::optional<Outcome> firstOutcome, Context &context);
    /// Forgets a claim that is not held; what may stand in the store is taken back.
    void drop(QueryId query, Context &context);
    void endWith(const Claim &claim, FailureReason reason, Outcome outcome,
                 std::optional<Outcome> firstOutcome = std::nullopt);
    std::string nextClaimId(Context &context) const;

    InstanceId self;
    ClaimTimes times;
    double cellWritesPerSecond;
    std::size_t fewestMembers;
    std::size_t members;
    ClaimLease leases;
    ClaimSettler settler;
    TokenBucket writes;
    std::unordered_map<QueryId, Claim> claims;
    std::unordered_map<std::string, QueryId> byKey;
    std::deque<QueryId> queue;
    std::map<StoreOpId, std::vector<QueryId>> operations;
    std::vector<ClaimEnd> ends;
};

} // namespace lagoondeck
