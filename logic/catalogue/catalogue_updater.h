#pragma once

#include "core/time.h"
#include "logic/catalogue/catalogue.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoondeck {

struct Context;

/// The result of applying received changes or a received state.
enum class CatalogueUpdateResult {
    Applied,
    UpToDate,
    Gap,             ///< Changes between the current revision and the received ones are missing.
    HistoryConflict, ///< The source is older or its history diverged; nothing is applied.
};

/// Applies changes from the store and from peers to the catalogue, after checking that they
/// continue its history. All updates of the catalogue go through this class.
class CatalogueUpdater
{
public:
    explicit CatalogueUpdater(Catalogue &catalogue) : catalogue(catalogue) { }

    /// Whether this instance has received a catalogue, which may be empty.
    bool isReady() const { return this->initialized; }

    /// Applies changes, oldest first. `baseChangeId`, if known, is the id of the change before
    /// them.
    CatalogueUpdateResult applyChanges(const std::vector<CatalogueChange> &changes,
                                       const std::optional<std::string> &baseChangeId,
                                       std::string_view source, Context &context);

    /// Replaces the catalogue with a complete state, when that is newer or the first one received.
    CatalogueUpdateResult applyState(const CatalogueState &state, std::string_view source,
                                     Context &context);

    /// Compares the head reported by a source with the current one.
    CatalogueUpdateResult checkHead(Revision revision, const std::string &changeId,
                                    std::string_view source, Context &context);

private:
    bool isConsistent(const CatalogueChange &change) const;
    void logRevision(std::string_view source, Context &context) const;
    CatalogueUpdateResult reject(Revision revision, const std::string &changeId,
                                 std::string_view source, Context &context);

    Catalogue &catalogue;
    bool initialized = false;
    std::optional<Instant> lastConflictLogAt;
};

} // namespace lagoondeck
