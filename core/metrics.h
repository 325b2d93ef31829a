#pragma once

#include "core/answer.h"
#include "core/ids.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace lagoondeck {

class ExpositionWriter;

/// What callers got, for each class of traffic and for each caller in it. The number of classes and
/// of callers is bounded; what comes later counts under "other".
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Counts one answer. An empty class, as of an unknown entry, counts under "none".
    void record(std::string_view trafficClass, const CallerName &caller, const Answer &answer);

    void write(ExpositionWriter &writer) const;

private:
    struct ClassMetrics;
    struct CallerMetrics;

    ClassMetrics &classOf(std::string_view trafficClass);
    CallerMetrics &callerOf(std::string_view trafficClass, const CallerName &caller);
    void writeQueries(ExpositionWriter &writer) const;
    void writeCoverage(ExpositionWriter &writer) const;
    void writeLoad(ExpositionWriter &writer) const;
    void writeCallers(ExpositionWriter &writer) const;

    std::map<std::string, std::unique_ptr<ClassMetrics>, std::less<>> classes;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<CallerMetrics>> callers;
};

} // namespace lagoondeck
