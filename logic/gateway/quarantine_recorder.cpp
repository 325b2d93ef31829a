#include "logic/gateway/quarantine_recorder.h"

#include <algorithm>
#include <utility>

namespace lagoondeck {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(1);
constexpr Duration retryInterval = std::chrono::seconds(1);
/// The longest lease that the store grants.
constexpr Duration maxLease = std::chrono::minutes(10);
/// Bounds what is kept and written while many different requests crash targets.
constexpr std::size_t maxEntries = 64;
constexpr std::size_t maxKnown = 4096;

template <typename Entries>
void removeEntry(Entries &entries, std::uint64_t fingerprint)
{
    std::erase_if(entries, [fingerprint](const auto &entry) {
        return entry.quarantine.fingerprint == fingerprint;
    });
}

template <typename Entries>
void removeExpired(Entries &entries, Instant now)
{
    std::erase_if(entries, [now](const auto &entry) { return entry.until <= now; });
}

} // namespace

QuarantineRecorder::QuarantineRecorder(const GatewaySettings &settings)
    : minLease(settings.minLease)
{ }

void QuarantineRecorder::onObserved(Fingerprint fingerprint)
{
    if (this->observed.size() >= maxKnown) {
        this->observed.clear();
    }
    this->observed.insert(fingerprint);
}

void QuarantineRecorder::onQuarantined(const QuarantineRecord &quarantine, Duration blockedFor,
                                       GatewayContext &context)
{
    const auto known = this->recorded.find(quarantine.fingerprint);
    const bool isNews = known == this->recorded.end() || known->second < quarantine.crashes;
    if (!isNews || !this->observed.contains(Fingerprint(quarantine.fingerprint))) {
        return;
    }
    removeEntry(this->pending, quarantine.fingerprint);
    if (this->pending.size() < maxEntries) {
        this->pending.push_back({quarantine, context.now + blockedFor});
        this->callStore(context);
    }
}

void QuarantineRecorder::onRecorded(const QuarantineRecord &quarantine)
{
    if (this->recorded.size() >= maxKnown) {
        this->recorded.clear();
    }
    this->recorded[quarantine.fingerprint] = quarantine.crashes;
}

void QuarantineRecorder::onCleared(Fingerprint fingerprint, GatewayContext &context)
{
    this->observed.erase(fingerprint);
    this->recorded.erase(fingerprint.value);
    removeEntry(this->pending, fingerprint.value);
    if (this->current && this->current->quarantine.fingerprint == fingerprint.value) {
        this->current.reset();
        this->operation.reset();
    }
    for (const Entry &entry : this->written) {
        if (entry.quarantine.fingerprint == fingerprint.value && entry.until > context.now) {
            // The lease ends by itself if this call fails.
            context.emit(CallStore {context.ids.next<StoreOpId>(), EndLease {entry.lease},
                                    callTimeout, callTimeout});
        }
    }
    removeEntry(this->written, fingerprint.value);
}

void QuarantineRecorder::onHistory(std::uint64_t history, GatewayContext &context)
{
    const bool isRestored = this->knownHistory != 0 && history > this->knownHistory;
    this->knownHistory = std::max(this->knownHistory, history);
    if (!isRestored) {
        return;
    }
    this->recorded.clear();
    this->operation.reset();
    if (this->current) {
        this->written.push_back(*std::exchange(this->current, std::nullopt));
    }
    for (Entry &entry : std::exchange(this->written, {})) {
        entry.lease = 0;
        this->pending.push_back(std::move(entry));
    }
    this->callStore(context);
}

void QuarantineRecorder::call(StoreCallBody body, GatewayContext &context)
{
    this->operation = context.ids.next<StoreOpId>();
    context.emit(CallStore {*this->operation, std::move(body), callTimeout, callTimeout});
}

void QuarantineRecorder::callStore(GatewayContext &context)
{
    if (this->operation || context.now < this->nextCallAt) {
        return;
    }
    removeExpired(this->pending, context.now);
    if (this->current && this->current->until <= context.now) {
        this->current.reset();
    }
    if (!this->current && !this->pending.empty()) {
        this->current = std::move(this->pending.front());
        this->pending.pop_front();
    }
    if (!this->current) {
        return;
    }
    if (this->current->lease == 0) {
        const Duration left = this->current->until - context.now;
        this->call(GrantLease {std::clamp(left, this->minLease, maxLease)}, context);
    } else {
        this->call(RecordQuarantine {this->current->quarantine, this->current->lease}, context);
    }
}

void QuarantineRecorder::onAnswer(const StoreAnswered &event, GatewayContext &context)
{
    if (event.operation != this->operation) {
        return;
    }
    this->operation.reset();
    if (event.answer.status != StoreCallStatus::Done) {
        // The lease may have expired.
        this->current->lease = 0;
        this->nextCallAt = context.now + retryInterval;
        return;
    }
    if (this->current->lease == 0) {
        this->current->lease = event.answer.lease;
    } else {
        this->onRecorded(this->current->quarantine);
        removeExpired(this->written, context.now);
        if (this->written.size() < maxEntries) {
            this->written.push_back(*this->current);
        }
        this->current.reset();
    }
    this->callStore(context);
}

void QuarantineRecorder::onTimer(GatewayContext &context)
{
    this->callStore(context);
}

Instant QuarantineRecorder::nextTimer() const
{
    const bool hasWork = this->current || !this->pending.empty();
    return this->operation || !hasWork ? Instant::max() : this->nextCallAt;
}

} // namespace lagoondeck
