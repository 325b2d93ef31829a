#include "logic/workload/fair_queue.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// No priority is served less than this fraction as often as all. Section 3 of
/// docs/design/ACCOUNTS_AND_OVERLOAD.md demands a quarter; with exactly that, requests that don't
/// wait and parts that are due but expire would leave less.
constexpr double guaranteedFraction = 0.3;
/// The share of served parts is a moving average over about this many parts: enough that one
/// account's loss does not show in it, and few enough to follow an overload within a second.
constexpr double servedShareSamples = 128.0;
/// Bounds of a priority's shortage in parts. What it got beyond the guarantee counts against it
/// only shortly, and what it was short of is not made up by a burst that others would notice.
constexpr double minShortage = -2.0;
constexpr double maxShortage = 2.0;
/// How many parts of a priority the guarantee may let pass others without further ones arriving.
constexpr std::size_t maxOwed = 2;
/// How many accounts and callers without waiting parts are remembered, so that the turns they had
/// are not forgotten. A priority of a group then remembers 144 KB when nothing waits.
constexpr std::size_t maxIdleAccounts = 128;
constexpr std::size_t maxIdleCallers = 32;

} // namespace

FairQueue::AccountContent::AccountContent() : callers(maxIdleCallers) { }

FairQueue::Priority::Priority() : accounts(maxIdleAccounts) { }

FairQueue::Accounts::Member &FairQueue::accountOf(Priority &priority, const WaitingSender &sender)
{
    Accounts::Member &account = priority.accounts.get(sender.account);
    account.content.rank = sender.urgencyRank;
    return account;
}

void FairQueue::countOffered(Priority &priority) const
{
    priority.shortage =
            std::min(maxShortage, priority.shortage + guaranteedFraction * this->servedShare);
}

void FairQueue::countRefused(const WaitingSender &sender)
{
    this->countOffered(this->priorities[sender.urgencyRank]);
    this->servedShare -= this->servedShare / servedShareSamples;
}

void FairQueue::add(const WaitingPart &part, const WaitingSender &sender, Instant startBy)
{
    Priority &priority = this->priorities[sender.urgencyRank];
    this->countOffered(priority);
    Accounts::Member &account = accountOf(priority, sender);
    Callers::Member &caller = account.content.callers.get(sender.caller);
    caller.content.entries.push_back({part, startBy});
    account.content.callers.onAdded(caller);
    priority.accounts.onAdded(account);
    ++priority.waiting;
    this->locations[part] = {&account, &caller, std::prev(caller.content.entries.end())};
}

const FairQueue::Priority *FairQueue::nextPriority() const
{
    const Priority *next = nullptr;
    for (const auto &[rank, priority] : this->priorities) {
        const bool isMoreOwed = priority.isOwed()
                && (next == nullptr || !next->isOwed() || priority.shortage > next->shortage);
        if (isMoreOwed || (next == nullptr && priority.waiting > 0)) {
            next = &priority;
        }
    }
    return next;
}

const FairQueue::Entry *FairQueue::next() const
{
    const Priority *priority = this->nextPriority();
    return priority == nullptr
            ? nullptr
            : &priority->accounts.first()->content.callers.first()->content.entries.front();
}

void FairQueue::takeNext()
{
    this->guaranteedCount += this->nextPriority()->isOwed() ? 1 : 0;
    this->erase(this->locations.find(this->next()->part), true);
}

void FairQueue::remove(const WaitingPart &part)
{
    const auto found = this->locations.find(part);
    if (found != this->locations.end()) {
        this->erase(found, false);
    }
}

void FairQueue::erase(std::unordered_map<WaitingPart, Location>::iterator found, bool served)
{
    const Location location = found->second;
    this->locations.erase(found);
    Accounts::Member &account = *location.account;
    Callers::Member &caller = *location.caller;
    Callers &callers = account.content.callers;
    Priority &priority = this->priorities[account.content.rank];
    this->servedShare += ((served ? 1.0 : 0.0) - this->servedShare) / servedShareSamples;
    caller.content.entries.erase(location.entry);
    --priority.waiting;
    if (served) {
        priority.shortage = std::max(minShortage, priority.shortage - 1.0);
        callers.onServed(caller);
    } else {
        callers.onRemoved(caller);
    }
    if (account.waiting == 1) {
        // Callers compete only while their account has parts waiting.
        callers = Callers(maxIdleCallers);
    }
    if (served) {
        priority.accounts.onServed(account);
    } else {
        priority.accounts.onRemoved(account);
    }
}

void FairQueue::setStartBy(const WaitingPart &part, Instant startBy)
{
    const auto found = this->locations.find(part);
    if (found != this->locations.end()) {
        found->second.entry->startBy = startBy;
    }
}

const FairQueue::Priority *FairQueue::lastPriority() const
{
    const auto waiting = std::find_if(this->priorities.rbegin(), this->priorities.rend(),
                                      [](const auto &each) { return each.second.waiting > 0; });
    return waiting == this->priorities.rend() ? nullptr : &waiting->second;
}

const FairQueue::Entry *FairQueue::last() const
{
    const Priority *priority = this->lastPriority();
    return priority == nullptr
            ? nullptr
            : &priority->accounts.last()->content.callers.last()->content.entries.back();
}

bool FairQueue::mayLastPassOthers() const
{
    const Priority *priority = this->lastPriority();
    return priority != nullptr && priority->isOwed() && priority->waiting <= maxOwed;
}

std::size_t FairQueue::countAhead(const WaitingSender &sender)
{
    Priority &priority = this->priorities[sender.urgencyRank];
    const Accounts::Member &account = accountOf(priority, sender);
    const Callers &callers = account.content.callers;
    const Callers::Member *caller = callers.find(sender.caller);
    const std::size_t ownAhead = caller == nullptr ? 0 : caller->waiting;
    const std::uint64_t turnOfCaller =
            caller == nullptr ? callers.currentRound() : callers.nextTurnOf(*caller);
    const std::size_t accountAhead =
            callers.isAfterOthers(caller, turnOfCaller) ? account.waiting : ownAhead;
    const std::uint64_t firstTurn =
            account.waiting == 0 ? priority.accounts.nextTurnOf(account) : account.turn;
    const bool isLast = priority.accounts.isAfterOthers(&account, firstTurn + accountAhead);
    const std::size_t ahead =
            isLast ? priority.waiting - account.waiting + accountAhead : accountAhead;
    const bool isOwed = priority.shortage + guaranteedFraction * this->servedShare >= 1.0;
    if (isOwed && ahead < maxOwed) {
        return ahead;
    }
    std::size_t moreUrgent = 0;
    for (const auto &[rank, other] : this->priorities) {
        moreUrgent += rank < sender.urgencyRank ? other.waiting : 0;
    }
    return moreUrgent + ahead;
}

std::map<std::uint32_t, std::size_t> FairQueue::sizes() const
{
    std::map<std::uint32_t, std::size_t> sizes;
    for (const auto &[rank, priority] : this->priorities) {
        sizes[rank] = priority.waiting;
    }
    return sizes;
}

std::size_t FairQueue::rememberedSenders() const
{
    std::size_t count = 0;
    for (const auto &[rank, priority] : this->priorities) {
        count += priority.accounts.memberCount();
    }
    return count;
}

} // namespace lagoondeck
