#include "core/exposition_writer.h"

#include "core/duration_histogram.h"

#include <array>
#include <charconv>
#include <cmath>

namespace lagoondeck {

namespace {

std::string formatNumber(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> buffer {};
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return error == std::errc() ? std::string(buffer.data(), end) : "NaN";
}

std::string_view kindName(MetricKind kind)
{
    switch (kind) {
    case MetricKind::Counter:
        return "counter";
    case MetricKind::Gauge:
        return "gauge";
    case MetricKind::Histogram:
        return "histogram";
    }
    return "untyped";
}

/// Appends a label value. The format requires that backslashes, quotes and line feeds are escaped.
void appendEscaped(std::string &text, std::string_view value)
{
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += c;
    }
}

} // namespace

void ExpositionWriter::begin(std::string_view name, MetricKind kind, std::string_view help)
{
    this->metricName = name;
    this->output += "# HELP " + this->metricName + " ";
    this->output += help;
    this->output += "\n# TYPE " + this->metricName + " ";
    this->output += kindName(kind);
    this->output += "\n";
}

void ExpositionWriter::writeLine(std::string_view suffix, const MetricLabels &labels,
                                 std::string_view value)
{
    this->output += this->metricName;
    this->output += suffix;
    for (std::size_t i = 0; i < labels.size(); ++i) {
        this->output += i == 0 ? "{" : ",";
        this->output += labels[i].first;
        this->output += "=\"";
        appendEscaped(this->output, labels[i].second);
        this->output += "\"";
    }
    this->output += labels.empty() ? " " : "} ";
    this->output += value;
    this->output += "\n";
}

void ExpositionWriter::sample(const MetricLabels &labels, double value)
{
    this->writeLine("", labels, formatNumber(value));
}

void ExpositionWriter::sample(const MetricLabels &labels, std::uint64_t value)
{
    this->writeLine("", labels, std::to_string(value));
}

void ExpositionWriter::sample(const MetricLabels &labels, const DurationHistogram &histogram)
{
    MetricLabels binLabels = labels;
    binLabels.emplace_back("le", "");
    for (const DurationHistogram::CumulativeBin &bin : histogram.cumulative()) {
        const std::string bound =
                formatNumber(std::chrono::duration<double>(bin.upperBound).count());
        binLabels.back().second = bound;
        this->writeLine("_bucket", binLabels, std::to_string(bin.count));
    }
    const std::string count = std::to_string(histogram.count());
    binLabels.back().second = "+Inf";
    this->writeLine("_bucket", binLabels, count);
    this->writeLine("_sum", labels,
                    formatNumber(std::chrono::duration<double>(histogram.sum()).count()));
    this->writeLine("_count", labels, count);
}

} // namespace lagoondeck
