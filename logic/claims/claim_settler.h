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

/// Brings claims to their end state in the store: deletes those whose request is proved not to have
/// run, so that the caller can send it again, and notes the outcome of those that ran. Nothing
/// depends on it for safety: each write compares the claim's own revision.
class ClaimSettler
{
public:
    /// The request was not run under this claim.
    void release(const Claim &claim, Context &context);
    /// The request ran under this claim.
    void noteOutcome(const Claim &claim, Outcome outcome, Context &context);

    /// Starts what is due and the rate allows. Returns when it wants to be called again.
    std::optional<Instant> pump(double writesPerSecond, Duration keepTrying, Context &context);
    /// Returns whether the operation was this part's own.
    bool onStoreReply(const StoreReplied &reply, Context &context);

    std::size_t size() const { return this->waiting.size() + this->underWay(); }

private:
    struct Settlement
    {
        std::string key;
        ClaimRecord record;
        std::int64_t lease = 0;
        /// 0 when the claim's reply was lost: it is read back first.
        std::uint64_t modRevision = 0;
        Instant since {};
        Instant dueAt {};
        /// It was in a transaction of several that failed, so it goes alone.
        bool alone = false;
    };
    using Batch = std::vector<Settlement>;

    void add(Settlement settlement);
    void start(Batch batch, Context &context);
    void startRead(const Settlement &settlement, Context &context);
    void onReadBack(Settlement settlement, const StoreReplied &reply, Context &context);
    void retry(Settlement settlement, Context &context);
    Batch takeDue(Instant now);
    std::size_t underWay() const;

    std::deque<Settlement> waiting;
    std::map<StoreOpId, Batch> operations;
    TokenBucket writes;
};

} // namespace lagoondeck
