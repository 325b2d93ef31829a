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

/// Lines about an instance's state that are shown with a request: the last ones before its end.
constexpr std::size_t statesShown = 8;

int eventOf(const json &line)
{
    return line.value("event", 0);
}

bool isRequestEnd(int event)
{
    return event == static_cast<int>(LogEvent::RequestServed)
            || event == static_cast<int>(LogEvent::RequestTroubled);
}

std::vector<std::string> stepsOf(const json &line)
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

/// The parts of a merged answer that have no answered step, with what became of them.
std::string missingParts(const json &line)
{
    std::vector<std::string> last;
    std::vector<bool> answered;
    for (const std::string &step : stepsOf(line)) {
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

std::string causeOf(const json &line)
{
    const std::string reason = line.value("reason", "");
    const std::string age = std::to_string(line.value("beliefAgeMs", 0));
    if (reason == "no-configuration") {
        return "the instance had no configuration yet";
    }
    if (reason == "no-route") {
        return "no route of the configuration in force matches its host and path";
    }
    if (reason == "no-target") {
        return "no target could take it; the instance had heard of the store " + age + " ms before";
    }
    if (reason == "target-failed") {
        return "its target ran it and failed, and the failure was passed on";
    }
    if (reason == "targets-failed") {
        return "its attempts came to nothing and no further one was allowed: " + missingParts(line);
    }
    if (reason == "deadline-passed") {
        return "no answer came in its time: " + missingParts(line);
    }
    if (reason == "caller-left") {
        return "its caller closed the connection after "
                + std::to_string(line.value("elapsedMs", 0)) + " ms";
    }
    const std::string missing = missingParts(line);
    if (!missing.empty()) {
        return "parts did not answer in time: " + missing;
    }
    return reason == "complete" && line.value("outcome", "") == "late"
            ? "its last part answered after the objective of "
                    + std::to_string(line.value("objectiveMs", 0)) + " ms"
            : "nothing went wrong";
}

void RequestStory::read(std::istream &lines)
{
    for (std::string text; std::getline(lines, text);) {
        // A log collector may put words of its own before the line.
        const std::size_t begin = text.find('{');
        if (begin == std::string::npos) {
            continue;
        }
        const bool mine = text.find(this->requestId) != std::string::npos;
        const bool request = text.find("\"request\":") != std::string::npos;
        if (request && !mine) {
            continue;
        }
        const json line = json::parse(text.substr(begin), nullptr, false);
        if (line.is_discarded() || !line.is_object()) {
            ++this->unreadable;
            continue;
        }
        if (isRequestEnd(eventOf(line))) {
            if (line.value("request", "") == this->requestId) {
                this->ends.push_back(
                        {line.value("time", ""), line.value("instance", ""), line.dump()});
            }
            continue;
        }
        if (eventOf(line) == static_cast<int>(LogEvent::LogLinesDropped)) {
            this->droppedLines += line.value("lines", std::size_t(0));
        }
        this->states.push_back(
                {line.value("time", ""), line.value("instance", ""), stateText(line)});
    }
}

json RequestStory::toJson() const
{
    json out {{"request", this->requestId},
              {"found", this->found()},
              {"unreadableLines", this->unreadable},
              {"droppedLines", this->droppedLines}};
    json list = json::array();
    for (const End &end : this->ends) {
        const json line = json::parse(end.line);
        list.push_back({{"line", line}, {"cause", causeOf(line)}, {"steps", stepsOf(line)}});
    }
    out["ends"] = std::move(list);
    return out;
}

void RequestStory::writeText(std::ostream &out) const
{
    if (!this->found()) {
        out << "request " << this->requestId
            << ": no line; it was served well and not in the sample, or reached another instance\n";
    }
    for (const End &end : this->ends) {
        const json line = json::parse(end.line);
        out << end.time << " " << end.instance << " request " << this->requestId << ": "
            << line.value("outcome", "") << " (" << line.value("reason", "") << ") after "
            << line.value("elapsedMs", 0) << " ms, " << line.value("partsAnswered", 0) << " of "
            << line.value("partsNeeded", 0) << " parts, route " << line.value("route", "-")
            << ", configuration " << line.value("configVersion", 0) << ", store heard "
            << line.value("beliefAgeMs", 0) << " ms before\n";
        out << "cause: " << causeOf(line) << "\n";
        for (const std::string &step : stepsOf(line)) {
            out << "  " << step << "\n";
        }
        std::vector<const StateLine *> before;
        for (const StateLine &state : this->states) {
            if (state.instance == end.instance && state.time <= end.time) {
                before.push_back(&state);
            }
        }
        std::ranges::stable_sort(before, {}, [](const StateLine *state) { return state->time; });
        out << "what " << end.instance << " noted before:\n";
        for (std::size_t i = before.size() - std::min(before.size(), statesShown);
             i < before.size(); ++i) {
            out << "  " << before[i]->time << " " << before[i]->text << "\n";
        }
    }
    if (this->droppedLines > 0 || this->unreadable > 0) {
        out << "lines are missing: " << this->droppedLines << " dropped, " << this->unreadable
            << " unreadable\n";
    }
}

} // namespace lagoondeck
