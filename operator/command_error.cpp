#include "operator/command_error.h"

#include "core/catalogue_codec.h"
#include "drivers/store_reply.h"
#include "operator/catalogue_client.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace lagoondeck {

namespace leaf = boost::leaf;

namespace {

std::string number(Revision revision)
{
    return std::to_string(revision.value);
}

CommandError describe(const UsageError &error)
{
    return {ExitCode::InvalidInput, "usage", error.detail, "see lagoondeckctl --help"};
}

CommandError describe(const InvalidInput &input)
{
    CommandError error {ExitCode::InvalidInput, "invalid-input", "the input has wrong fields",
                        "nothing was applied; mend every field named and send it again"};
    error.problems = input.problems;
    return error;
}

CommandError describe(const MalformedInput &input)
{
    return {ExitCode::InvalidInput, "malformed-input", "not JSON: " + input.detail,
            "nothing was applied; comments are allowed, trailing commas are not"};
}

CommandError describe(const FileUnreadable &file)
{
    return {ExitCode::InvalidInput, "file-unreadable", file.path + " can't be read",
            "check the path and its rights"};
}

CommandError describe(const CatalogueConflict &conflict)
{
    CommandError error {ExitCode::Conflict, "conflict",
                        "entry " + conflict.other.name.value + " was changed after revision "
                                + number(conflict.expected) + " by revision "
                                + number(conflict.other.revision) + " of " + conflict.other.author,
                        "nothing was applied; look at the other change, then send yours again with "
                        "--expect-revision "
                                + number(conflict.other.revision)};
    error.other = conflict.other;
    return error;
}

CommandError describe(const RevisionAhead &ahead)
{
    return {ExitCode::Conflict, "revision-ahead",
            "the catalogue is at revision " + number(ahead.head) + ", not yet at "
                    + number(ahead.expected),
            "nothing was applied; check --store and --expect-revision"};
}

CommandError describe(const CatalogueBusy &busy)
{
    return {ExitCode::Conflict, "busy",
            "other changes came first " + std::to_string(busy.attempts) + " times",
            "nothing was applied; send it again"};
}

CommandError describe(const EntryNotFound &missing)
{
    return {ExitCode::NotFound, "entry-not-found", "no entry " + missing.name.value,
            "lagoondeckctl catalogue list shows all entries"};
}

CommandError describe(const InstanceNotFound &missing)
{
    return {ExitCode::NotFound, "instance-not-found",
            "no entry instance " + missing.id.value + " in the instance list",
            "lagoondeckctl status shows all; the list lags by some seconds"};
}

CommandError describe(const StillRunning &running)
{
    return {ExitCode::NotInForce, "still-running",
            "instance " + running.id.value + " still answers",
            "the stop goes on; it ends at the latest by the instance's stopBoundMs"};
}

CommandError describe(const ChangeUncertain &uncertain)
{
    return {ExitCode::Uncertain, "uncertain",
            "the store did not tell whether change " + uncertain.changeId + " became revision "
                    + number(uncertain.revision),
            "when the store answers, look for the change id in lagoondeckctl catalogue history "
            "before you send it again"};
}

CommandError describe(const NotInForce &late)
{
    CommandError error {ExitCode::NotInForce, "not-in-force",
                        "revision " + number(late.revision)
                                + (late.failure.empty()
                                           ? " is accepted; some instances do not report it yet"
                                           : " is accepted; nobody can be asked whether it is in "
                                             "force: "
                                                   + late.failure),
                        "it spreads without you; lagoondeckctl status shows who lacks it"};
    error.lacking = late.lacking;
    return error;
}

CommandError describe(const StoreFailure &failure)
{
    const std::string where = "key-value service " + failure.address + ": " + failure.detail;
    switch (failure.status) {
    case StoreStatus::Malformed:
        return {ExitCode::Unavailable, "store-malformed", where,
                "nothing was applied; check that --store is the key-value service"};
    case StoreStatus::ReplyLost:
        return {ExitCode::Unavailable, "store-reply-lost", where,
                "a read was lost; send the command again"};
    default:
        return {ExitCode::Unavailable, "store-unavailable", where,
                "nothing was applied; what is in force stays in force; send it again later"};
    }
}

CommandError describe(const CallFailed &failure)
{
    return {ExitCode::Unavailable, "call-failed", failure.address + ": " + failure.detail,
            "check the address and that the service runs"};
}

} // namespace

std::string toText(const CommandError &error)
{
    std::ostringstream text;
    text << "error: " << error.kind << ": " << error.message << "\n";
    for (const FieldProblem &problem : error.problems) {
        text << "  " << (problem.path.empty() ? "(the whole)" : problem.path) << ": "
             << toString(problem.kind) << ": " << problem.detail << "\n";
    }
    if (error.other) {
        text << "  their change: " << writeCatalogueChange(*error.other) << "\n";
    }
    for (const Laggard &late : error.lacking) {
        text << "  " << late.id.value << " at " << late.httpAddress << ": "
             << (late.revision ? "revision " + number(*late.revision) : "no answer") << "\n";
    }
    text << "hint: " << error.hint << "\n";
    return text.str();
}

nlohmann::json toJson(const CommandError &error)
{
    nlohmann::json json {{"kind", error.kind},
                         {"message", error.message},
                         {"hint", error.hint},
                         {"exitCode", static_cast<int>(error.code)}};
    for (const FieldProblem &problem : error.problems) {
        json["problems"].push_back({{"path", problem.path},
                                    {"kind", toString(problem.kind)},
                                    {"detail", problem.detail}});
    }
    if (error.other) {
        json["other"] = nlohmann::json::parse(writeCatalogueChange(*error.other));
    }
    for (const Laggard &late : error.lacking) {
        nlohmann::json item {{"id", late.id.value}, {"httpAddress", late.httpAddress}};
        item["catalogueRevision"] =
                late.revision ? nlohmann::json(late.revision->value) : nlohmann::json();
        json["lacking"].push_back(std::move(item));
    }
    return {{"error", std::move(json)}};
}

ExitCode runCommand(const std::function<leaf::result<void>()> &step,
                    const std::function<void(const CommandError &)> &onError)
{
    const auto tell = [&](const auto &failure) {
        const CommandError error = describe(failure);
        onError(error);
        return error.code;
    };
    return leaf::try_handle_all(
            [&]() -> leaf::result<ExitCode> {
                BOOST_LEAF_CHECK(step());
                return ExitCode::Done;
            },
            [&](const UsageError &failure) { return tell(failure); },
            [&](const CatalogueConflict &failure) { return tell(failure); },
            [&](const RevisionAhead &failure) { return tell(failure); },
            [&](const CatalogueBusy &failure) { return tell(failure); },
            [&](const EntryNotFound &failure) { return tell(failure); },
            [&](const InstanceNotFound &failure) { return tell(failure); },
            [&](const StillRunning &failure) { return tell(failure); },
            [&](const ChangeUncertain &failure) { return tell(failure); },
            [&](const NotInForce &failure) { return tell(failure); },
            [&](const StoreFailure &failure) { return tell(failure); },
            [&](const CallFailed &failure) { return tell(failure); },
            [&](const InvalidInput &failure) { return tell(failure); },
            [&](const MalformedInput &failure) { return tell(failure); },
            [&](const FileUnreadable &failure) { return tell(failure); },
            [&] {
                onError({ExitCode::Internal, "internal", "an unexpected failure",
                         "report it with the command line"});
                return ExitCode::Internal;
            });
}

} // namespace lagoondeck
