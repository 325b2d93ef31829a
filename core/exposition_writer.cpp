#include "core/exposition_writer.h"

#include "core/duration_histogram.h"

#include <array>
#include <charconv>
#include <cmath>

namespace lagoondeck {

namespace {

std::string numberText(double value)
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

/// The format wants a backslash, a quote and a line feed escaped.
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

void ExpositionWriter::begin(std::string_view metric, MetricKind kind, std::string_view help)
{
    this->name = metric;
    this->written += "# HELP " + this->name + " ";
    this->written += help;
    this->written += "\n# TYPE " + this->name + " ";
    this->written += kindName(kind);
    this->written += "\n";
}

void ExpositionWriter::line(std::string_view suffix, const MetricLabels &labels,
                            std::string_view value)
{
    this->written += this->name;
    this->written += suffix;
    for (std::size_t i = 0; i < labels.size(); ++i) {
        this->written += i == 0 ? "{" : ",";
        this->written += labels[i].first;
        this->written += "=\"";
        appendEscaped(this->written, labels[i].second);
        this->written += "\"";
    }
    this->written += labels.empty() ? " " : "} ";
    this->written += value;
    this->written += "\n";
}

void ExpositionWriter::sample(const MetricLabels &labels, double value)
{
    this->line("", labels, numberText(value));
}

void ExpositionWriter::sample(const MetricLabels &labels, std::uint64_t value)
{
    this->line("", labels, std::to_string(value));
}

void ExpositionWriter::sample(const MetricLabels &labels, const DurationHistogram &histogram)
{
    MetricLabels binLabels = labels;
    binLabels.emplace_back("le", "");
    for (const DurationHistogram::CumulativeBin &bin : histogram.cumulative()) {
        const std::string bound = numberText(std::chrono::duration<double>(bin.upTo).count());
        binLabels.back().second = bound;
        this->line("_bucket", binLabels, std::to_string(bin.count));
    }
    const std::string count = std::to_string(histogram.count());
    binLabels.back().second = "+Inf";
    this->line("_bucket", binLabels, count);
    this->line("_sum", labels, numberText(std::chrono::duration<double>(histogram.sum()).count()));
    this->line("_count", labels, count);
}

} // namespace lagoondeck
