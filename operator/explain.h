#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace lagoondeck {

/// Collects the log lines of one request and explains its outcome.
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId) : requestId(std::move(requestId)) { }

    /// Reads log lines and keeps those about the request and those about the state of instances.
    void read(std::istream &lines);

    /// Returns whether a line with the request's end was found.
    bool isFound() const { return !this->ends.empty(); }
    void writeText(std::ostream &out) const;
    nlohmann::json toJson() const;

private:
    struct StateLine
    {
        std::string time;
        std::string instance;
        std::string text;
    };
    struct RequestEnd
    {
        std::string time;
        std::string instance;
        std::string line;
    };

    std::string requestId;
    /// One for each instance that served the request; each attempt of a caller reaches one
    /// instance.
    std::vector<RequestEnd> ends;
    std::vector<StateLine> states;
    std::size_t unreadableLines = 0;
    std::size_t droppedLines = 0;
};

/// Returns the cause of a request's outcome in one sentence, from the fields of its last log line.
std::string describeCause(const nlohmann::json &line);

} // namespace lagoondeck
