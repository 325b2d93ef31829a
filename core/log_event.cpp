#include "core/log_event.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace lagoondeck {

namespace {

constexpr auto eventTable = std::to_array<LogEventInfo>({
        {LogEvent::Started, "Started", LogSeverity::Info,
         "The process started and accepts connections."},
        {LogEvent::Stopping, "Stopping", LogSeverity::Info,
         "A graceful stop began; no new work is accepted."},
        {LogEvent::Stopped, "Stopped", LogSeverity::Info,
         "The process finished all accepted work and exits."},
        {LogEvent::StopBoundPassed, "StopBoundPassed", LogSeverity::Error,
         "The graceful stop reached its time limit with work left."},
        {LogEvent::InvariantViolated, "InvariantViolated", LogSeverity::Error,
         "An invariant was violated; the fields name it."},
        {LogEvent::SettingsRefused, "SettingsRefused", LogSeverity::Error,
         "The settings file has invalid settings; each of them is listed."},
        {LogEvent::SettingsReloaded, "SettingsReloaded", LogSeverity::Info,
         "The settings file was read again and passed the checks."},
        {LogEvent::CatalogueRevised, "CatalogueRevised", LogSeverity::Info,
         "A catalogue change is in force on this instance."},
        {LogEvent::CatalogueWentBack, "CatalogueWentBack", LogSeverity::Error,
         "The store holds an older catalogue than the one in force; it is ignored."},
        {LogEvent::CatalogueEntryRefused, "CatalogueEntryRefused", LogSeverity::Error,
         "The store holds a catalogue entry that does not pass the checks."},
        {LogEvent::StoreUnavailable, "StoreUnavailable", LogSeverity::Warning,
         "The key-value service does not answer."},
        {LogEvent::StoreAvailable, "StoreAvailable", LogSeverity::Info,
         "The key-value service answers again."},
        {LogEvent::StoreCallUnanswered, "StoreCallUnanswered", LogSeverity::Warning,
         "A call to the key-value service got no answer; its connection was closed."},
        {LogEvent::StoreRestored, "StoreRestored", LogSeverity::Warning,
         "The key-value service was restored from a copy of its data; all data is read again."},
        {LogEvent::InstanceListUnavailable, "InstanceListUnavailable", LogSeverity::Warning,
         "The instance list does not answer."},
        {LogEvent::InstanceListAvailable, "InstanceListAvailable", LogSeverity::Info,
         "The instance list answers again."},
        {LogEvent::TargetSeen, "TargetSeen", LogSeverity::Info,
         "A target joined the instance list."},
        {LogEvent::TargetLeaving, "TargetLeaving", LogSeverity::Info,
         "A target was found to be leaving; it gets no new work."},
        {LogEvent::TargetGone, "TargetGone", LogSeverity::Info, "A target left the instance list."},
        {LogEvent::TargetOnProbation, "TargetOnProbation", LogSeverity::Warning,
         "A target is much slower than its replicas and gets only probes."},
        {LogEvent::TargetReturned, "TargetReturned", LogSeverity::Info,
         "A target's probes are fast again; its load is increased in steps."},
        {LogEvent::ConnectionRefused, "ConnectionRefused", LogSeverity::Warning,
         "A target refused a connection, for example at its connection cap."},
        {LogEvent::AttemptDelayed, "AttemptDelayed", LogSeverity::Warning,
         "A request was written to its target long after the attempt was decided."},
        {LogEvent::ReplyUnmatched, "ReplyUnmatched", LogSeverity::Warning,
         "A reply belonged to no pending attempt and was dropped."},
        {LogEvent::ReplyMalformed, "ReplyMalformed", LogSeverity::Error,
         "A target's reply could not be parsed; its connection was closed."},
        {LogEvent::SnapshotAdopted, "SnapshotAdopted", LogSeverity::Info,
         "New queries use a newer index version."},
        {LogEvent::QueryRestarted, "QueryRestarted", LogSeverity::Info,
         "A query was restarted on a newer index version."},
        {LogEvent::RequestQuarantined, "RequestQuarantined", LogSeverity::Warning,
         "Several targets were lost while they ran the same request; it is refused from now on."},
        {LogEvent::TargetLimited, "TargetLimited", LogSeverity::Warning,
         "A target limits the requests that it takes from the whole fleet."},
        {LogEvent::TargetLimitEnded, "TargetLimitEnded", LogSeverity::Info,
         "A target no longer limits its requests."},
        {LogEvent::TargetPathSuspected, "TargetPathSuspected", LogSeverity::Warning,
         "Several targets fail and no other one answers; this instance's path to them may be "
         "broken."},
        {LogEvent::TargetPathDown, "TargetPathDown", LogSeverity::Warning,
         "This instance reaches no target; other members are asked to serve its requests."},
        {LogEvent::TargetPathUp, "TargetPathUp", LogSeverity::Info,
         "This instance reaches the targets again."},
        {LogEvent::TargetPathRecovering, "TargetPathRecovering", LogSeverity::Info,
         "This instance reaches targets again; it serves a growing share of its requests itself."},
        {LogEvent::MemberJoined, "MemberJoined", LogSeverity::Info,
         "An entry instance joined the membership."},
        {LogEvent::MemberSuspected, "MemberSuspected", LogSeverity::Warning,
         "An entry instance does not answer probes."},
        {LogEvent::MemberLost, "MemberLost", LogSeverity::Warning,
         "A suspected entry instance did not refute the suspicion in time."},
        {LogEvent::MemberLeaving, "MemberLeaving", LogSeverity::Info,
         "An entry instance announced that it leaves."},
        {LogEvent::MemberRefuted, "MemberRefuted", LogSeverity::Info,
         "This instance was suspected and refuted the suspicion."},
        {LogEvent::PeerMessageRefused, "PeerMessageRefused", LogSeverity::Warning,
         "A peer message was malformed or not from a member."},
        {LogEvent::PauseNoticed, "PauseNoticed", LogSeverity::Warning,
         "This process was paused for a while; its state is checked again."},
        {LogEvent::CutOffNoticed, "CutOffNoticed", LogSeverity::Warning,
         "No message from another entry instance arrived for a while; this one may be cut off."},
        {LogEvent::LoopStalled, "LoopStalled", LogSeverity::Warning,
         "One iteration of the event loop took long, so events were handled late."},
        {LogEvent::BeliefsDiffer, "BeliefsDiffer", LogSeverity::Warning,
         "Another entry instance has different data for the same revision; all data is read "
         "again."},
        {LogEvent::ClaimResolved, "ClaimResolved", LogSeverity::Info,
         "The store's reply to a claim was lost; the claim was read back."},
        {LogEvent::ClaimUncertain, "ClaimUncertain", LogSeverity::Warning,
         "A claim could not be confirmed; the request was refused as not run."},
        {LogEvent::RequestServed, "RequestServed", LogSeverity::Info,
         "A request was answered completely and in time; only a sample of these is logged."},
        {LogEvent::RequestTroubled, "RequestTroubled", LogSeverity::Warning,
         "A request was late, partial, refused, failed or abandoned by its caller; the steps show "
         "why."},
        {LogEvent::LogLinesDropped, "LogLinesDropped", LogSeverity::Warning,
         "Log lines were dropped because there were too many or the log was not read."},
        {LogEvent::CallersEvicted, "CallersEvicted", LogSeverity::Warning,
         "Callers' connections were closed because all together held too many bytes."},
        {LogEvent::CallersReplaced, "CallersReplaced", LogSeverity::Warning,
         "Callers' connections were closed because there were too many."},
        {LogEvent::AcceptFailed, "AcceptFailed", LogSeverity::Error,
         "Connections could not be accepted because no descriptor was free."},
        {LogEvent::RepliesEvicted, "RepliesEvicted", LogSeverity::Warning,
         "Targets' replies were given up because all together held too many bytes."},
});

} // namespace

std::span<const LogEventInfo> logEvents()
{
    return eventTable;
}

const LogEventInfo &logEventInfo(LogEvent event)
{
    const auto found = std::ranges::find(eventTable, event, &LogEventInfo::event);
    return found == eventTable.end() ? eventTable.front() : *found;
}

} // namespace lagoondeck
