#include "logic/catalogue/catalogue_updater.h"

#include "logic/context.h"

namespace lagoondeck {

namespace {

/// A history conflict is logged at most once per interval, not at each read.
constexpr Duration conflictLogInterval = std::chrono::seconds(10);

} // namespace

CatalogueUpdateResult CatalogueUpdater::applyChanges(const std::vector<CatalogueChange> &changes,
                                                     const std::optional<std::string> &baseChangeId,
                                                     std::string_view source, Context &context)
{
    CatalogueUpdateResult result = CatalogueUpdateResult::UpToDate;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const CatalogueChange &change = changes[i];
        const Revision inForce = this->catalogue.revision();
        if (change.revision <= inForce) {
            if (!this->isConsistent(change)) {
                return this->reject(change.revision, change.changeId, source, context);
            }
            continue;
        }
        if (change.revision.value > inForce.value + 1) {
            return CatalogueUpdateResult::Gap;
        }
        if (i == 0 && baseChangeId && *baseChangeId != this->catalogue.headChangeId()) {
            return this->reject(change.revision, change.changeId, source, context);
        }
        this->catalogue.apply(change);
        this->initialized = true;
        this->logRevision(source, context);
        result = CatalogueUpdateResult::Applied;
    }
    return result;
}

CatalogueUpdateResult CatalogueUpdater::applyState(const CatalogueState &state,
                                                   std::string_view source, Context &context)
{
    const CatalogueUpdateResult check =
            this->checkHead(state.revision, state.headChangeId, source, context);
    if (check == CatalogueUpdateResult::HistoryConflict
        || (check == CatalogueUpdateResult::UpToDate && this->initialized)) {
        return check;
    }
    this->catalogue.adopt(state);
    this->initialized = true;
    this->logRevision(source, context);
    return CatalogueUpdateResult::Applied;
}

CatalogueUpdateResult CatalogueUpdater::checkHead(Revision revision, const std::string &changeId,
                                                  std::string_view source, Context &context)
{
    if (revision > this->catalogue.revision()) {
        return CatalogueUpdateResult::Gap;
    }
    if (revision == this->catalogue.revision() && changeId == this->catalogue.headChangeId()) {
        return CatalogueUpdateResult::UpToDate;
    }
    return this->reject(revision, changeId, source, context);
}

bool CatalogueUpdater::isConsistent(const CatalogueChange &change) const
{
    const std::optional<std::string> loggedId = this->catalogue.changeIdAt(change.revision);
    return !loggedId || *loggedId == change.changeId;
}

void CatalogueUpdater::logRevision(std::string_view source, Context &context) const
{
    context.log(LogEvent::CatalogueRevised,
                {{"revision", std::to_string(this->catalogue.revision().value)},
                 {"changeId", this->catalogue.headChangeId()},
                 {"source", std::string(source)}});
}

CatalogueUpdateResult CatalogueUpdater::reject(Revision revision, const std::string &changeId,
                                               std::string_view source, Context &context)
{
    if (!this->lastConflictLogAt || context.now - *this->lastConflictLogAt >= conflictLogInterval) {
        this->lastConflictLogAt = context.now;
        context.log(LogEvent::CatalogueWentBack,
                    {{"source", std::string(source)},
                     {"offeredRevision", std::to_string(revision.value)},
                     {"offeredChangeId", changeId},
                     {"revision", std::to_string(this->catalogue.revision().value)},
                     {"changeId", this->catalogue.headChangeId()}});
    }
    return CatalogueUpdateResult::HistoryConflict;
}

} // namespace lagoondeck
