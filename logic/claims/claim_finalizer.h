#pragma once

#include "logic/admission/token_bucket.h"
#include "logic/claims/claim.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lagoondeck {

struct Context;
struct StoreReplied;

/// Writes the final state of claims to the store. Deletes the claims of requests that provably did
/// not run, so that the caller can send them again, and stores the outcome of those that ran.
/// Safety does not depend on it, because each write is conditional on the claim's revision.
class ClaimFinalizer
{
public:
    /// Schedules the deletion of a claim whose request did not run.
    void release(const Claim &claim, Context &context);
    /// Schedules the storing of the outcome of a request that ran.
    void recordOutcome(const Claim &claim, Outcome outcome, Context &context);

    /// Starts the operations that are due, as far as the rate allows, and drops those older than
    /// maxAge. Returns when it must be called again, if at all.
    std::optional<Instant> startDue(double writesPerSecond, Duration maxAge, Context &context);
    /// Returns whether the reply belongs to an operation of this class.
    bool onStoreReply(const StoreReplied &reply, Context &context);

    std::size_t size() const { return this->pending.size() + this->inFlight(); }

private:
    struct Finalization
    {
        std::string key;
        ClaimRecord record;
        std::int64_t lease = 0;
        /// 0 when the reply to the claim's write was lost. The claim is read back first then.
        std::uint64_t modRevision = 0;
        Instant since {};
        Instant dueAt {};
        /// Set after a batch containing it failed, so that it is retried in a transaction of its
        /// own.
        bool sendAlone = false;
    };
    using Batch = std::vector<Finalization>;

    void add(Finalization finalization);
    void start(Batch batch, Context &context);
    void startRead(const Finalization &finalization, Context &context);
    void onReadBack(Finalization finalization, const StoreReplied &reply, Context &context);
    void retry(Finalization finalization, Context &context);
    Batch takeExpired(Instant now);
    std::size_t inFlight() const;

    std::deque<Finalization> pending;
    std::map<StoreOpId, Batch> operations;
    TokenBucket writes;
};

} // namespace lagoondeck
