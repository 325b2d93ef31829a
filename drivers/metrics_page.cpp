#include "drivers/metrics_page.h"

#include "core/exposition_writer.h"

#include <chrono>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace lagoondeck {

namespace {

double toSeconds(const timeval &time)
{
    using std::chrono::microseconds;
    using std::chrono::seconds;
    return std::chrono::duration<double>(seconds(time.tv_sec) + microseconds(time.tv_usec)).count();
}

/// Returns the resident memory of this process; 0 when the system does not report it.
std::uint64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return file ? resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) : 0;
}

void writeGauge(ExpositionWriter &writer, std::string_view name, std::string_view help,
                std::uint64_t value)
{
    writer.begin(name, MetricKind::Gauge, help);
    writer.sample({}, value);
}

void writeStatus(ExpositionWriter &writer, const NodeStatus &status)
{
    writeGauge(writer, "lagoondeck_ready", "1 when the instance takes work.", status.ready ? 1 : 0);
    writeGauge(writer, "lagoondeck_stopping", "1 during a graceful stop.", status.stopping ? 1 : 0);
    writeGauge(writer, "lagoondeck_catalogue_revision", "The catalogue revision in force.",
               status.catalogueRevision.value);
    writeGauge(writer, "lagoondeck_members", "Other entry instances in this instance's view.",
               status.members.size());
    writeGauge(writer, "lagoondeck_targets", "Targets known.", status.targets);
    writeGauge(writer, "lagoondeck_targets_leaving", "Targets that get no new work.",
               status.targetsLeaving);
    writeGauge(writer, "lagoondeck_connections", "Connections to targets.", status.connections);
    writeGauge(writer, "lagoondeck_queries_in_flight", "Queries without an answer yet.",
               status.queriesInFlight);
    writeGauge(writer, "lagoondeck_slots_in_use",
               "Sub-requests that targets hold for this instance.", status.attemptsInFlight);
}

void writeStore(ExpositionWriter &writer, const DriverCounts &counts)
{
    writer.begin("lagoondeck_platform_calls_total", MetricKind::Counter,
                 "Calls on the platform's services by kind.");
    writer.sample({{"kind", "range"}}, counts.store.ranges);
    writer.sample({{"kind", "transaction"}}, counts.store.transactions);
    writer.sample({{"kind", "lease-grant"}}, counts.store.leaseGrants);
    writer.sample({{"kind", "watch"}}, counts.store.watches);
    writer.sample({{"kind", "instance-list"}}, counts.instanceListCalls);
    writer.begin("lagoondeck_store_failures_total", MetricKind::Counter,
                 "Calls on the key-value service that brought no readable reply.");
    writer.sample({}, counts.store.failures);
    writeGauge(writer, "lagoondeck_store_watches_open",
               "Open watches; the key-value service counts each as one call a second.",
               counts.store.openWatches);
}

void writePeers(ExpositionWriter &writer, const PeerTraffic &peers)
{
    writer.begin("lagoondeck_control_bytes_total", MetricKind::Counter,
                 "Bytes of the messages between entry instances.");
    writer.sample({{"direction", "in"}}, peers.bytesIn);
    writer.sample({{"direction", "out"}}, peers.bytesOut);
    writer.begin("lagoondeck_control_messages_total", MetricKind::Counter,
                 "Messages between entry instances.");
    writer.sample({{"direction", "in"}}, peers.messagesIn);
    writer.sample({{"direction", "out"}}, peers.messagesOut);
    writer.sample({{"direction", "refused"}}, peers.refused);
    writer.sample({{"direction", "dropped"}}, peers.dropped);
    writer.begin("lagoondeck_control_cpu_seconds_total", MetricKind::Counter,
                 "Processor time of the thread that carries the peer messages.");
    writer.sample({}, std::chrono::duration<double>(peers.processorTime).count());
}

void writeFailedSteps(ExpositionWriter &writer, const DriverCounts &counts)
{
    writer.begin("lagoondeck_failed_steps_total", MetricKind::Counter,
                 "Steps of a thread that an exception ended, by thread.");
    for (const auto &[thread, count] : counts.failedSteps) {
        writer.sample({{"thread", thread}}, count);
    }
}

void writeProcess(ExpositionWriter &writer)
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    writer.begin("process_cpu_seconds_total", MetricKind::Counter,
                 "Processor time of the process, user and system.");
    writer.sample({}, toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime));
    writeGauge(writer, "process_resident_memory_bytes", "Resident memory.", residentBytes());
}

} // namespace

void MetricsPage::record(const AnswerCaller &answer)
{
    const std::lock_guard lock(this->mutex);
    this->metrics.record(answer.trafficClass, answer.caller, answer.answer);
}

std::string MetricsPage::text(const NodeStatus &status, const DriverCounts &counts) const
{
    ExpositionWriter writer;
    {
        const std::lock_guard lock(this->mutex);
        this->metrics.write(writer);
    }
    writeStatus(writer, status);
    writeStore(writer, counts);
    writePeers(writer, counts.peers);
    writeFailedSteps(writer, counts);
    writeProcess(writer);
    return writer.text();
}

} // namespace lagoondeck
