#include "operator/explain.h"

#include "core/log_event.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <string_view>

namespace lagoondeck {

namespace {

using nlohmann::json;

/// The number of lines about an instance's state that are shown with a request: the last ones
/// before its end.
constexpr std::size_t maxStatesShown = 8;

int eventCode(const json &line)
{
    return line.value("event", 0);
}

bool isRequestEnd(int event)
{
    return event == static_cast<int>(LogEvent::RequestServed)
            || event == static_cast<int>(LogEvent::RequestTroubled);
}

std::vector<std::string> splitSteps(const json &line)
{
    std::vector<std::string> steps;
    std::string text = line.value("steps", "");
    while (!text.empty()) {
        const std::size_t end = text.find("; ");
        steps.push_back(text.substr(0, end));
        text = end == std::string::npos ? "" : text.substr(end + 2);
    }
    return steps;
}

/// Lists the parts of a gathered query that have no "answered" step, with the last step of each.
std::string describeMissingParts(const json &line)
{
    std::vector<std::string> last;
    std::vector<bool> answered;
    for (const std::string &step : splitSteps(line)) {
        std::istringstream words(step);
        std::string at;
        std::string kind;
        std::string part;
        std::string target;
        words >> at >> kind >> part >> target;
        if (part.size() < 2 || part[0] != 'p') {
            continue;
        }
        const auto index = static_cast<std::size_t>(std::strtoul(part.c_str() + 1, nullptr, 10));
        if (last.size() <= index) {
            last.resize(index + 1);
            answered.resize(index + 1);
        }
        answered[index] = answered[index] || kind == "answered";
        last[index] = kind + (target.empty() ? "" : " " + target) + " at " + at + " ms";
    }
    std::string text;
    for (std::size_t i = 0; i < last.size(); ++i) {
        if (!answered[i]) {
            text += (text.empty() ? "part " : ", part ") + std::to_string(i) + " (last: " + last[i]
                    + ")";
        }
    }
    return text;
}

std::string stateText(const json &line)
{
    std::string text = line.value("name", "");
    for (const auto &[name, value] : line.items()) {
        if (name != "time" && name != "instance" && name != "event" && name != "name") {
            text += " " + name + "="
                    + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

} // namespace

std::string describeCause(const json &line)
{
    const std::string reason = line.value("reason", "");
    const std::string age = std::to_string(line.value("beliefAgeMs", 0));
    if (reason == "no-configuration") {
        return "the instance had no configuration yet";
    }
    if (reason == "stopping") {
        return "the instance was asked to stop, and would have ended before the answer";
    }
    if (reason == "read-late") {
        return "the instance was busy or paused, and read it too late to serve it";
    }
    if (reason == "no-route") {
        return "no route of the configuration in force matches its host and path";
    }
    if (reason == "unknown-key") {
        return "the request had no key of a client account in the configuration in force";
    }
    if (reason == "unconfirmed-configuration") {
        return "the instance had started and not yet made sure that its configuration is the one "
               "in force";
    }
    if (reason == "no-target") {
        return "no target was available; the instance had last heard from the store " + age
                + " ms earlier";
    }
    if (reason == "no-path") {
        return "the instance reached no target, and no other instance took the request";
    }
    if (reason == "targets-limited") {
        return "the targets limit their requests, and nothing was left for it: "
                + describeMissingParts(line);
    }
    if (reason == "account-cap-reached") {
        const std::string account = line.value("account", "");
        return line.value("decidedBy", "") == "allowance"
                ? "too few holders of the cap of the account " + account
                        + " answered, and the instance's own allowance was used up"
                : "the account " + account + " has used what it may use in the whole fleet";
    }
    if (reason == "queue-too-long") {
        return "more requests waited for the targets than they could serve in time, and it was "
               "one of the last by the turns of accounts and callers (events 720, 721)";
    }
    if (reason == "target-failed") {
        return "its target ran it and failed, and the failure was forwarded to the caller";
    }
    const std::string coordinator = line.value("coordinator", "");
    if (!coordinator.empty() && (reason == "targets-failed" || reason == "deadline-passed")) {
        return "the coordinator " + coordinator + " could not serve it; its own line tells why";
    }
    if (reason == "coordinator-silent") {
        return "the coordinator " + coordinator + " got it and fell silent; it may have run";
    }
    if (reason == "targets-failed") {
        return "all its attempts failed and no further attempt was allowed: "
                + describeMissingParts(line);
    }
    if (reason == "deadline-passed") {
        return "no answer arrived before its deadline: " + describeMissingParts(line);
    }
    if (reason == "caller-left") {
        return "its caller closed the connection after "
                + std::to_string(line.value("elapsedMs", 0)) + " ms";
    }
    if (!coordinator.empty() && reason != "complete") {
        return "the coordinator " + coordinator
                + " sent an answer with missing parts; its own line tells which";
    }
    const std::string missing = describeMissingParts(line);
    if (!missing.empty()) {
        return "parts did not answer in time: " + missing;
    }
    return reason == "complete" && line.value("outcome", "") == "late"
            ? "its last part answered after the objective of "
                    + std::to_string(line.value("objectiveMs", 0)) + " ms"
            : "nothing went wrong";
}

void RequestTrace::read(std::istream &lines)
{
    for (std::string text; std::getline(lines, text);) {
        // A log collector may prefix the line with text of its own.
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos) {
            continue;
        }
        const bool namesRequest = text.find(this->requestId) != std::string::npos;
        const bool request = text.find("\"request\":") != std::string::npos;
        if (request && !namesRequest) {
            continue;
        }
        const json line = json::parse(text.substr(begin), nullptr, false);
        if (line.is_discarded() || !line.is_object()) {
            ++this->unreadableLines;
            continue;
        }
        if (isRequestEnd(eventCode(line))) {
            if (line.value("request", "") == this->requestId) {
                this->ends.push_back(
                        {line.value("time", ""), line.value("instance", ""), line.dump()});
            }
            continue;
        }
        if (eventCode(line) == static_cast<int>(LogEvent::LogLinesDropped)) {
            this->droppedLines += line.value("lines", std::size_t(0));
        }
        this->states.push_back(
                {line.value("time", ""), line.value("instance", ""), stateText(line)});
    }
}

json RequestTrace::toJson() const
{
    json out {{"request", this->requestId},
              {"found", this->isFound()},
              {"unreadableLines", this->unreadableLines},
              {"droppedLines", this->droppedLines}};
    json list = json::array();
    for (const RequestEnd &end : this->ends) {
        const json line = json::parse(end.line);
        list.push_back(
                {{"line", line}, {"cause", describeCause(line)}, {"steps", splitSteps(line)}});
    }
    out["ends"] = std::move(list);
    return out;
}

void RequestTrace::writeText(std::ostream &out) const
{
    if (!this->isFound()) {
        out << "request " << this->requestId
            << ": no log line; it succeeded and was not sampled, or it reached another instance\n";
    }
    for (const RequestEnd &end : this->ends) {
        const json line = json::parse(end.line);
        out << end.time << " " << end.instance << " request " << this->requestId << ": "
            << line.value("outcome", "") << " (" << line.value("reason", "") << ") after "
            << line.value("elapsedMs", 0) << " ms, " << line.value("partsAnswered", 0) << " of "
            << line.value("partsNeeded", 0) << " parts, route " << line.value("route", "-")
            << ", configuration " << line.value("configVersion", 0) << ", store last heard "
            << line.value("beliefAgeMs", 0) << " ms earlier\n";
        out << "cause: " << describeCause(line) << "\n";
        for (const std::string &step : splitSteps(line)) {
            out << "  " << step << "\n";
        }
        std::vector<const StateLine *> before;
        for (const StateLine &state : this->states) {
            if (state.instance == end.instance && state.time <= end.time) {
                before.push_back(&state);
            }
        }
        std::ranges::stable_sort(before, {}, [](const StateLine *state) { return state->time; });
        out << "events on " << end.instance << " before that:\n";
        for (std::size_t i = before.size() - std::min(before.size(), maxStatesShown);
             i < before.size(); ++i) {
            out << "  " << before[i]->time << " " << before[i]->text << "\n";
        }
    }
    if (this->droppedLines > 0 || this->unreadableLines > 0) {
        out << "lines are missing: " << this->droppedLines << " dropped, " << this->unreadableLines
            << " unreadable\n";
    }
}

} // namespace lagoondeck
