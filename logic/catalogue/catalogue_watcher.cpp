#include "logic/catalogue/catalogue_watcher.h"

#include "logic/catalogue/catalogue_intake.h"
#include "logic/catalogue/catalogue_keys.h"
#include "logic/context.h"
#include "logic/jitter.h"

#include <algorithm>

namespace lagoondeck {

namespace {

constexpr Duration firstBackoff = std::chrono::milliseconds(200);
constexpr Duration longestBackoff = std::chrono::seconds(1);
constexpr Duration rereadPeriod = std::chrono::seconds(5);
/// A watch that lasted this long was a good one.
constexpr Duration goodWatch = std::chrono::seconds(5);
/// A watch may tell this much later than a reading.
constexpr Duration watchLag = std::chrono::seconds(1);
constexpr Duration readTimeout = std::chrono::milliseconds(500);
/// Past this the reply of a reading is given up.
constexpr Duration readGivenUp = std::chrono::seconds(3);
constexpr double spread = 0.3;
constexpr const char *source = "store";

} // namespace

void CatalogueWatcher::step(bool shouldWatch, Context &context)
{
    if (!shouldWatch) {
        this->endWatch(context);
        this->readOperation.reset();
        return;
    }
    if (this->readOperation && context.now - this->readStarted > readGivenUp) {
        this->onFailure(context);
    }
    if (!this->readOperation && context.now >= this->nextRead) {
        this->startRead(this->intake.ready() ? ReadKind::Head : ReadKind::State, context);
    }
}

bool CatalogueWatcher::onStoreReply(const StoreReplied &reply, Context &context)
{
    if (this->readOperation == reply.operation) {
        this->readOperation.reset();
        this->onRead(reply, context);
        return true;
    }
    if (this->watchOperation == reply.operation) {
        this->onWatch(reply, context);
        return true;
    }
    return false;
}

void CatalogueWatcher::startRead(ReadKind kind, Context &context)
{
    StoreRange range = catalogueHeadRange();
    if (kind == ReadKind::Changes) {
        // The one in force is read too, so that another history is noticed.
        range = catalogueChangesRange(
                Revision(std::max<std::uint64_t>(1, this->catalogue.revision().value)));
    } else if (kind == ReadKind::State) {
        range = catalogueStateRange();
    }
    const auto operation = context.ids.next<StoreOpId>();
    this->readOperation = operation;
    this->readKind = kind;
    this->readStarted = context.now;
    this->operations += 1;
    context.emit(StoreOperation {operation, std::move(range), readTimeout});
}

void CatalogueWatcher::onRead(const StoreReplied &reply, Context &context)
{
    if (reply.status != StoreStatus::Ok) {
        this->onFailure(context);
        return;
    }
    this->noteStore(true, context);
    switch (this->readKind) {
    case ReadKind::Head:
        this->onHead(reply, context);
        break;
    case ReadKind::Changes:
        this->onChanges(reply, context);
        break;
    case ReadKind::State:
        this->onState(reply, context);
        break;
    }
}

void CatalogueWatcher::onHead(const StoreReplied &reply, Context &context)
{
    const std::optional<CatalogueHead> head = readCatalogueHead(reply.values);
    if (!head) {
        this->logRefused({catalogueHeadRange().key}, context);
        this->onFailure(context);
        return;
    }
    const IntakeResult result =
            this->intake.checkHead(head->revision, head->changeId, source, context);
    if (result == IntakeResult::Gap) {
        if (this->watchOperation && context.now - this->watchStarted > watchLag) {
            this->endWatch(context);
        }
        this->startRead(ReadKind::Changes, context);
        return;
    }
    this->settle(result, reply.storeRevision, context);
}

void CatalogueWatcher::onChanges(const StoreReplied &reply, Context &context)
{
    const StoredChanges stored = readStoredChanges(reply.values);
    this->logRefused(stored.refusedKeys, context);
    const bool joins = !stored.changes.empty()
            && stored.changes.front().revision.value
                    <= std::max<std::uint64_t>(1, this->catalogue.revision().value);
    const IntakeResult result = joins
            ? this->intake.takeChanges(stored.changes, std::nullopt, source, context)
            : IntakeResult::Gap;
    const bool unread = result == IntakeResult::Gap || !stored.refusedKeys.empty();
    // A whole state does not show its history, so it can't mend a history that parted.
    if (unread && !this->parted) {
        this->startRead(ReadKind::State, context);
        return;
    }
    this->settle(unread ? IntakeResult::WentBack : result, reply.storeRevision, context);
}

void CatalogueWatcher::onState(const StoreReplied &reply, Context &context)
{
    const StoredCatalogue stored = readStoredCatalogue(reply.values);
    this->logRefused(stored.refusedKeys, context);
    if (stored.malformed) {
        this->logRefused({catalogueHeadRange().key}, context);
        this->onFailure(context);
        return;
    }
    const IntakeResult result = this->intake.takeState(stored.state, source, context);
    this->settle(result, reply.storeRevision, context);
}

void CatalogueWatcher::onWatch(const StoreReplied &reply, Context &context)
{
    if (reply.status != StoreStatus::Ok) {
        this->watchOperation.reset();
        if (context.now - this->watchStarted > goodWatch) {
            this->backoff = Duration(0);
        }
        this->onFailure(context);
        return;
    }
    const StoredChanges stored = readStoredChanges(reply.values);
    this->logRefused(stored.refusedKeys, context);
    const IntakeResult result =
            this->intake.takeChanges(stored.changes, std::nullopt, source, context);
    if (result == IntakeResult::WentBack) {
        this->settle(result, reply.storeRevision, context);
    } else if (result == IntakeResult::Gap || !stored.refusedKeys.empty()) {
        this->nextRead = context.now;
        this->step(true, context);
    }
}

/// Waits longer after each failure, with a spread so that watchers don't come back together.
void CatalogueWatcher::onFailure(Context &context)
{
    this->readOperation.reset();
    this->noteStore(false, context);
    this->backoff = this->backoff == Duration(0) ? firstBackoff
                                                 : std::min(2 * this->backoff, longestBackoff);
    this->nextRead = context.now + jittered(this->backoff, spread, context.random);
}

/// What the store told is dealt with: watch what follows, and read again in a while. What follows
/// on another history is not watched.
void CatalogueWatcher::settle(IntakeResult result, std::uint64_t storeRevision, Context &context)
{
    this->nextRead = context.now + jittered(rereadPeriod, spread, context.random);
    this->parted = result == IntakeResult::WentBack;
    if (this->parted) {
        this->endWatch(context);
        return;
    }
    if (!this->watchOperation) {
        this->startWatch(storeRevision + 1, context);
    } else if (context.now - this->watchStarted > goodWatch) {
        this->backoff = Duration(0);
    }
}

void CatalogueWatcher::startWatch(std::uint64_t fromRevision, Context &context)
{
    const StoreRange all = catalogueChangesRange(Revision(1));
    const auto operation = context.ids.next<StoreOpId>();
    this->watchOperation = operation;
    this->watchStarted = context.now;
    this->operations += 1;
    context.emit(StoreOperation {operation, StoreWatch {all.key, all.rangeEnd, fromRevision},
                                 readTimeout});
}

void CatalogueWatcher::endWatch(Context &context)
{
    if (this->watchOperation) {
        context.emit(StoreWatchEnd {*this->watchOperation});
        this->watchOperation.reset();
    }
}

void CatalogueWatcher::logRefused(const std::vector<std::string> &keys, Context &context) const
{
    for (const std::string &key : keys) {
        context.log(LogEvent::CatalogueEntryRefused, {{"key", key}});
    }
}

void CatalogueWatcher::noteStore(bool available, Context &context)
{
    if (available != this->storeAvailable) {
        this->storeAvailable = available;
        context.log(available ? LogEvent::StoreAvailable : LogEvent::StoreUnavailable,
                    {{"user", "catalogue"}});
    }
}

} // namespace lagoondeck
