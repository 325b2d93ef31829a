#pragma once

#include <span>
#include <string_view>

namespace lagoondeck {

/// The severity of a log event.
enum class LogSeverity {
    Info,
    Warning,
    Error,
};

/// The numbered log events. The number of a removed event is never reused.
enum class LogEvent {
    Started = 100,
    Stopping = 101,
    Stopped = 102,
    StopBoundPassed = 103,
    InvariantViolated = 110,
    StepFailed = 111,
    SettingsRefused = 120,
    SettingsReloaded = 121,
    CatalogueRevised = 200,
    CatalogueWentBack = 201,
    CatalogueEntryRefused = 202,
    StoreUnavailable = 210,
    StoreAvailable = 211,
    StoreCallUnanswered = 212,
    StoreRestored = 213,
    InstanceListUnavailable = 220,
    InstanceListAvailable = 221,
    TargetSeen = 300,
    TargetLeaving = 301,
    TargetGone = 302,
    TargetOnProbation = 303,
    TargetReturned = 304,
    ConnectionRefused = 310,
    AttemptDelayed = 311,
    ReplyUnmatched = 320,
    ReplyMalformed = 321,
    SnapshotAdopted = 330,
    QueryRestarted = 331,
    RequestQuarantined = 340,
    TargetLimited = 350,
    TargetLimitEnded = 351,
    TargetPathSuspected = 360,
    TargetPathDown = 361,
    TargetPathUp = 362,
    TargetPathRecovering = 363,
    MemberJoined = 400,
    MemberSuspected = 401,
    MemberLost = 402,
    MemberLeaving = 403,
    MemberRefuted = 404,
    PeerMessageRefused = 410,
    PauseNoticed = 420,
    CutOffNoticed = 421,
    LoopStalled = 422,
    BeliefsDiffer = 430,
    ClaimResolved = 500,
    ClaimUncertain = 501,
    RequestServed = 600,
    RequestTroubled = 601,
    LogLinesDropped = 610,
    AccountCapReached = 700,
    AccountHoldersLost = 701,
    AccountHoldersFound = 702,
    ConfigBehind = 708,
    NewerConfigMissing = 709,
    DomainEvacuated = 710,
    EvacuationEnded = 711,
    DomainLost = 712,
    DomainReturned = 713,
    TargetCold = 714,
    WaitTooLong = 720,
    WaitQueueFull = 721,
    CallersEvicted = 730,
    CallersReplaced = 731,
    AcceptFailed = 732,
    RepliesEvicted = 733,
};

/// The documentation of a log event.
struct LogEventInfo
{
    LogEvent event;
    std::string_view name;
    LogSeverity severity;
    std::string_view meaning;
};

/// Returns all events in ascending order of their numbers.
std::span<const LogEventInfo> logEvents();

/// Returns the documentation of one event.
const LogEventInfo &logEventInfo(LogEvent event);

} // namespace lagoondeck
