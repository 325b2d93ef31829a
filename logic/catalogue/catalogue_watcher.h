#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "logic/catalogue/catalogue.h"
#include "logic/events.h"

#include <optional>
#include <string>
#include <vector>

namespace lagoondeck {

struct Context;
class CatalogueIntake;
enum class IntakeResult;

/// Gets the catalogue's changes from the store, while this node is one of the watchers. It reads
/// what it lacks, watches what follows, and reads the head again now and then, since a watch may
/// lose news without a word.
class CatalogueWatcher
{
public:
    CatalogueWatcher(Catalogue &catalogue, CatalogueIntake &intake)
        : catalogue(catalogue), intake(intake)
    { }

    /// Takes the next step that is due; the caller tells whether this node should watch now.
    void step(bool shouldWatch, Context &context);

    /// Returns whether the operation was one of this watcher's.
    bool onStoreReply(const StoreReplied &reply, Context &context);

    /// Operations started so far, each watch counted once.
    std::uint64_t operationsStarted() const { return this->operations; }

private:
    enum class ReadKind {
        Head,
        Changes,
        State,
    };

    void startRead(ReadKind kind, Context &context);
    void onRead(const StoreReplied &reply, Context &context);
    void onHead(const StoreReplied &reply, Context &context);
    void onChanges(const StoreReplied &reply, Context &context);
    void onState(const StoreReplied &reply, Context &context);
    void onWatch(const StoreReplied &reply, Context &context);
    void onFailure(Context &context);
    void settle(IntakeResult result, std::uint64_t storeRevision, Context &context);
    void startWatch(std::uint64_t fromRevision, Context &context);
    void endWatch(Context &context);
    void logRefused(const std::vector<std::string> &keys, Context &context) const;
    void noteStore(bool available, Context &context);

    Catalogue &catalogue;
    CatalogueIntake &intake;
    std::optional<StoreOpId> readOperation;
    ReadKind readKind = ReadKind::Head;
    Instant readStarted {};
    std::optional<StoreOpId> watchOperation;
    Instant watchStarted {};
    Instant nextRead {};
    Duration backoff {};
    bool storeAvailable = true;
    /// The store's history is older than the one in force or another one.
    bool parted = false;
    std::uint64_t operations = 0;
};

} // namespace lagoondeck
