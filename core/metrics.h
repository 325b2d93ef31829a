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

/// Metrics of the answers, by class of traffic and by caller within a class. The numbers of classes
/// and callers are limited; further ones are counted as "other".
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /// Counts one answer. An empty class, as with an unknown entry, is counted as "none".
    void record(std::string_view trafficClass, const CallerName &caller, const Answer &answer);

    void write(ExpositionWriter &writer) const;

private:
    struct ClassMetrics;
    struct CallerMetrics;

    ClassMetrics &findOrAddClass(std::string_view trafficClass);
    CallerMetrics &findOrAddCaller(std::string_view trafficClass, const CallerName &caller);
    void writeQueries(ExpositionWriter &writer) const;
    void writeCoverage(ExpositionWriter &writer) const;
    void writeLoad(ExpositionWriter &writer) const;
    void writeCallers(ExpositionWriter &writer) const;

    std::map<std::string, std::unique_ptr<ClassMetrics>, std::less<>> classes;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<CallerMetrics>> callers;
};

} // namespace lagoondeck
