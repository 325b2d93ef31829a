#include "logic/gateway/exchange_trace.h"

#include <array>
#include <cstdio>

namespace lagoondeck {

const char *toString(TraceKind kind)
{
    switch (kind) {
    case TraceKind::Send:
        return "send";
    case TraceKind::Hedge:
        return "hedge";
    case TraceKind::Retry:
        return "retry";
    case TraceKind::Wait:
        return "wait";
    case TraceKind::Answered:
        return "answered";
    case TraceKind::Refused:
        return "refused";
    case TraceKind::Failed:
        return "failed";
    case TraceKind::Malformed:
        return "spoiled";
    case TraceKind::Lost:
        return "lost";
    case TraceKind::Unreachable:
        return "unreachable";
    case TraceKind::NoTarget:
        return "no-target";
    case TraceKind::Avoided:
        return "avoided";
    case TraceKind::Paused:
        return "paused";
    case TraceKind::TooLate:
        return "too-late";
    case TraceKind::Limited:
        return "limited";
    case TraceKind::PathDown:
        return "path-down";
    case TraceKind::NoBudget:
        return "no-budget";
    }
    return "unknown";
}

std::string ExchangeTrace::text() const
{
    std::string text;
    for (const TraceStep &step : this->steps) {
        std::array<char, 48> prefix {};
        std::snprintf(prefix.data(), prefix.size(), "%s%.1f %s p%zu", text.empty() ? "" : "; ",
                      toFractionalMilliseconds(step.at), toString(step.kind), step.part);
        text += prefix.data();
        if (!step.target.value.empty()) {
            text += " " + step.target.value;
        }
    }
    if (this->dropped > 0) {
        text += "; " + std::to_string(this->dropped) + " more";
    }
    return text;
}

} // namespace lagoondeck
