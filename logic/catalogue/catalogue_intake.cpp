#include "logic/catalogue/catalogue_intake.h"

#include "logic/context.h"

namespace lagoondeck {

namespace {

/// An older store is told once in this time, not at each reading.
constexpr Duration alarmInterval = std::chrono::seconds(10);

} // namespace

IntakeResult CatalogueIntake::takeChanges(const std::vector<CatalogueChange> &changes,
                                          const std::optional<std::string> &baseChangeId,
                                          std::string_view source, Context &context)
{
    IntakeResult result = IntakeResult::NothingNew;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        const CatalogueChange &change = changes[i];
        const Revision inForce = this->catalogue.revision();
        if (change.revision <= inForce) {
            if (!this->isKnown(change)) {
                return this->refuse(change.revision, change.changeId, source, context);
            }
            continue;
        }
        if (change.revision.value > inForce.value + 1) {
            return IntakeResult::Gap;
        }
        if (i == 0 && baseChangeId && *baseChangeId != this->catalogue.headChangeId()) {
            return this->refuse(change.revision, change.changeId, source, context);
        }
        this->catalogue.apply(change);
        this->learned = true;
        this->logRevised(source, context);
        result = IntakeResult::Taken;
    }
    return result;
}

IntakeResult CatalogueIntake::takeState(const CatalogueState &state, std::string_view source,
                                        Context &context)
{
    const IntakeResult check = this->checkHead(state.revision, state.headChangeId, source, context);
    if (check == IntakeResult::WentBack || (check == IntakeResult::NothingNew && this->learned)) {
        return check;
    }
    this->catalogue.adopt(state);
    this->learned = true;
    this->logRevised(source, context);
    return IntakeResult::Taken;
}

IntakeResult CatalogueIntake::checkHead(Revision revision, const std::string &changeId,
                                        std::string_view source, Context &context)
{
    if (revision > this->catalogue.revision()) {
        return IntakeResult::Gap;
    }
    if (revision == this->catalogue.revision() && changeId == this->catalogue.headChangeId()) {
        return IntakeResult::NothingNew;
    }
    return this->refuse(revision, changeId, source, context);
}

bool CatalogueIntake::isKnown(const CatalogueChange &change) const
{
    const std::optional<std::string> known = this->catalogue.changeIdAt(change.revision);
    return !known || *known == change.changeId;
}

void CatalogueIntake::logRevised(std::string_view source, Context &context) const
{
    context.log(LogEvent::CatalogueRevised,
                {{"revision", std::to_string(this->catalogue.revision().value)},
                 {"changeId", this->catalogue.headChangeId()},
                 {"source", std::string(source)}});
}

IntakeResult CatalogueIntake::refuse(Revision revision, const std::string &changeId,
                                     std::string_view source, Context &context)
{
    if (!this->lastAlarm || context.now - *this->lastAlarm >= alarmInterval) {
        this->lastAlarm = context.now;
        context.log(LogEvent::CatalogueWentBack,
                    {{"source", std::string(source)},
                     {"offeredRevision", std::to_string(revision.value)},
                     {"offeredChangeId", changeId},
                     {"revision", std::to_string(this->catalogue.revision().value)},
                     {"changeId", this->catalogue.headChangeId()}});
    }
    return IntakeResult::WentBack;
}

} // namespace lagoondeck
