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
                        "nothing was applied; fix every listed field and run the command again"};
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
            "check the path and its permissions"};
}

CommandError describe(const FaultyConfig &config)
{
    return {ExitCode::InvalidInput, "faulty-config",
            "the configuration has " + std::to_string(config.findings) + " findings",
            "nothing was applied; docs/OPERATIONS.md tells what each kind means"};
}

CommandError describe(const CatalogueConflict &conflict)
{
    CommandError error {ExitCode::Conflict, "conflict",
                        "entry " + conflict.other.name.value + " was changed after revision "
                                + number(conflict.expected) + " by revision "
                                + number(conflict.other.revision) + " by " + conflict.other.author,
                        "nothing was applied; check the other change, then send yours again with "
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
            "concurrent changes were accepted first in all " + std::to_string(busy.attempts)
                    + " attempts",
            "nothing was applied; run the command again"};
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
            "lagoondeckctl status shows all instances; the list lags by some seconds"};
}

CommandError describe(const StillRunning &running)
{
    return {ExitCode::NotInForce, "still-running",
            "instance " + running.id.value + " still answers",
            "the graceful stop continues; it takes at most the instance's stopBoundMs"};
}

CommandError describe(const ChangeUncertain &uncertain)
{
    return {ExitCode::Uncertain, "uncertain",
            "the store did not report whether change " + uncertain.changeId + " became revision "
                    + number(uncertain.revision),
            "when the store answers again, look for the change id in lagoondeckctl catalogue "
            "history before you repeat the command"};
}

CommandError describe(const NotInForce &notInForce)
{
    CommandError error {ExitCode::NotInForce, "not-in-force",
                        "revision " + number(notInForce.revision)
                                + (notInForce.failure.empty()
                                           ? " is accepted; some instances do not report it yet"
                                           : " is accepted; whether it is in force could not be "
                                             "checked: "
                                                   + notInForce.failure),
                        "it spreads to all instances without further action; lagoondeckctl status "
                        "shows the revision of each"};
    error.lagging = notInForce.lagging;
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
                "the reply to a read was lost; run the command again"};
    default:
        return {ExitCode::Unavailable, "store-unavailable", where,
                "nothing was applied; the catalogue in force is unchanged; run the command again "
                "later"};
    }
}

CommandError describe(const CallFailed &failure)
{
    return {ExitCode::Unavailable, "call-failed", failure.address + ": " + failure.detail,
            "check the address and that the service is running"};
}

} // namespace

std::string toText(const CommandError &error)
{
    std::ostringstream text;
    text << "error: " << error.kind << ": " << error.message << "\n";
    for (const FieldProblem &problem : error.problems) {
        text << "  " << (problem.path.empty() ? "(whole input)" : problem.path) << ": "
             << toString(problem.kind) << ": " << problem.detail << "\n";
    }
    if (error.other) {
        text << "  their change: " << writeCatalogueChange(*error.other) << "\n";
    }
    for (const LaggingInstance &instance : error.lagging) {
        text << "  " << instance.id.value << " at " << instance.httpAddress << ": "
             << (instance.revision ? "revision " + number(*instance.revision) : "no answer")
             << "\n";
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
    for (const LaggingInstance &instance : error.lagging) {
        nlohmann::json item {{"id", instance.id.value}, {"httpAddress", instance.httpAddress}};
        item["catalogueRevision"] =
                instance.revision ? nlohmann::json(instance.revision->value) : nlohmann::json();
        json["lacking"].push_back(std::move(item));
    }
    return {{"error", std::move(json)}};
}

ExitCode runCommand(const std::function<leaf::result<void>()> &step,
                    const std::function<void(const CommandError &)> &onError)
{
    const auto report = [&](const auto &failure) {
        const CommandError error = describe(failure);
        onError(error);
        return error.code;
    };
    return leaf::try_handle_all(
            [&]() -> leaf::result<ExitCode> {
                BOOST_LEAF_CHECK(step());
                return ExitCode::Done;
            },
            [&](const UsageError &failure) { return report(failure); },
            [&](const FaultyConfig &failure) { return report(failure); },
            [&](const CatalogueConflict &failure) { return report(failure); },
            [&](const RevisionAhead &failure) { return report(failure); },
            [&](const CatalogueBusy &failure) { return report(failure); },
            [&](const EntryNotFound &failure) { return report(failure); },
            [&](const InstanceNotFound &failure) { return report(failure); },
            [&](const StillRunning &failure) { return report(failure); },
            [&](const ChangeUncertain &failure) { return report(failure); },
            [&](const NotInForce &failure) { return report(failure); },
            [&](const StoreFailure &failure) { return report(failure); },
            [&](const CallFailed &failure) { return report(failure); },
            [&](const InvalidInput &failure) { return report(failure); },
            [&](const MalformedInput &failure) { return report(failure); },
            [&](const FileUnreadable &failure) { return report(failure); },
            [&] {
                onError({ExitCode::Internal, "internal", "an unexpected failure",
                         "report it together with the command line"});
                return ExitCode::Internal;
            });
}

} // namespace lagoondeck
