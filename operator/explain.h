#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace lagoondeck {

/// What the logs tell of one request.
class RequestStory
{
public:
    explicit RequestStory(std::string requestId) : requestId(std::move(requestId)) { }

    /// Takes the lines that concern the request, and what its instance believed around it.
    void read(std::istream &lines);

    /// Some line names the request.
    bool found() const { return !this->ends.empty(); }
    void writeText(std::ostream &out) const;
    nlohmann::json toJson() const;

private:
    struct StateLine
    {
        std::string time;
        std::string instance;
        std::string text;
    };
    struct End
    {
        std::string time;
        std::string instance;
        std::string line;
    };

    std::string requestId;
    /// One for each instance that ended the request; a caller's attempt reaches one.
    std::vector<End> ends;
    std::vector<StateLine> states;
    std::size_t unreadable = 0;
    std::size_t droppedLines = 0;
};

/// The cause in one sentence, from the fields of a request's last line.
std::string causeOf(const nlohmann::json &line);

} // namespace lagoondeck
