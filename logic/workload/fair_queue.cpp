#include "logic/workload/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace lagoondeck {

namespace {

/// No account in a priority is served less than this fraction as often as all. Section 3 of
/// docs/design/ACCOUNTS_AND_OVERLOAD.md demands a quarter; with exactly that, requests that don't
/// wait and parts that are due but expire would leave less.
constexpr double guaranteedFraction = 0.3;
/// The share of served parts is a moving average over about this many parts: enough that one
/// account's loss does not show in it, and few enough to follow an overload within a second.
constexpr double servedShareSamples = 128.0;
/// Bounds of an account's shortage in parts. What it got beyond the guarantee counts against it
/// only shortly, and what it was short of is not made up by a burst that others would notice.
constexpr double minShortage = -2.0;
constexpr double maxShortage = 2.0;
/// How many accounts and callers without waiting parts are remembered, so that their guarantee and
/// the turns they had are not forgotten. A priority of a group then remembers 146 KB when nothing
/// waits.
constexpr std::size_t maxIdleAccounts = 128;
constexpr std::size_t maxIdleCallers = 32;

} // namespace

FairQueue::AccountContent::AccountContent() : callers(maxIdleCallers) { }

FairQueue::Accounts &FairQueue::accountsOf(std::uint32_t rank)
{
    return this->priorities.try_emplace(rank, maxIdleAccounts).first->second;
}

FairQueue::Accounts::Member &FairQueue::accountOf(const WaitingSender &sender)
{
    Accounts::Member &account = this->accountsOf(sender.urgencyRank).get(sender.account);
    account.content.rank = sender.urgencyRank;
    return account;
}

void FairQueue::countOffered(AccountContent &account)
{
    account.shortage =
            std::min(maxShortage, account.shortage + guaranteedFraction * this->servedShare);
}

void FairQueue::countRefused(const WaitingSender &sender)
{
    this->countOffered(this->accountOf(sender).content);
    this->servedShare -= this->servedShare / servedShareSamples;
}

void FairQueue::add(const WaitingPart &part, const WaitingSender &sender, Instant startBy)
{
    Accounts::Member &account = this->accountOf(sender);
    this->countOffered(account.content);
    Callers::Member &caller = account.content.callers.get(sender.caller);
    caller.content.entries.push_back({part, startBy});
    account.content.callers.onAdded(caller);
    this->accountsOf(sender.urgencyRank).onAdded(account);
    ++this->waitingByRank[sender.urgencyRank];
    const auto entry = std::prev(caller.content.entries.end());
    this->locations[part] = {&account, &caller, entry};
    this->updateGuarantee(account);
}

void FairQueue::updateGuarantee(Accounts::Member &account)
{
    AccountContent &content = account.content;
    const bool isDue = content.shortage >= 1.0 && account.waiting > 0;
    if (isDue && !content.guarantee) {
        this->guaranteed.push_back(&account);
        content.guarantee = std::prev(this->guaranteed.end());
    } else if (!isDue && content.guarantee) {
        this->guaranteed.erase(*content.guarantee);
        content.guarantee.reset();
    }
}

FairQueue::Accounts::Member *FairQueue::nextAccount() const
{
    if (!this->guaranteed.empty()) {
        return this->guaranteed.front();
    }
    const auto waiting = std::ranges::find_if(
            this->priorities, [](const auto &each) { return each.second.first() != nullptr; });
    return waiting == this->priorities.end() ? nullptr : waiting->second.first();
}

const FairQueue::Entry *FairQueue::next() const
{
    const Accounts::Member *account = this->nextAccount();
    return account == nullptr ? nullptr
                              : &account->content.callers.first()->content.entries.front();
}

void FairQueue::takeNext()
{
    const Accounts::Member &account = *this->nextAccount();
    this->guaranteedCount += account.content.guarantee ? 1 : 0;
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
    this->servedShare += ((served ? 1.0 : 0.0) - this->servedShare) / servedShareSamples;
    AccountContent &content = account.content;
    Accounts &accounts = this->accountsOf(content.rank);
    caller.content.entries.erase(location.entry);
    --this->waitingByRank[content.rank];
    if (served) {
        content.shortage = std::max(minShortage, content.shortage - 1.0);
        content.callers.onServed(caller);
    } else {
        content.callers.onRemoved(caller);
    }
    // The guarantee is withdrawn before the account may be forgotten.
    const std::size_t left = account.waiting - 1;
    if (content.guarantee && (left == 0 || content.shortage < 1.0)) {
        this->guaranteed.erase(*content.guarantee);
        content.guarantee.reset();
    }
    if (left == 0) {
        // Callers compete only while their account has parts waiting.
        content.callers = Callers(maxIdleCallers);
    }
    if (served) {
        accounts.onServed(account);
    } else {
        accounts.onRemoved(account);
    }
}

void FairQueue::setStartBy(const WaitingPart &part, Instant startBy)
{
    const auto found = this->locations.find(part);
    if (found != this->locations.end()) {
        found->second.entry->startBy = startBy;
    }
}

FairQueue::Accounts::Member *FairQueue::lastAccount() const
{
    const auto waiting =
            std::find_if(this->priorities.rbegin(), this->priorities.rend(),
                         [](const auto &each) { return each.second.last() != nullptr; });
    return waiting == this->priorities.rend() ? nullptr : waiting->second.last();
}

const FairQueue::Entry *FairQueue::last() const
{
    const Accounts::Member *account = this->lastAccount();
    return account == nullptr ? nullptr : &account->content.callers.last()->content.entries.back();
}

bool FairQueue::mayLastPassOthers() const
{
    const Accounts::Member *account = this->lastAccount();
    return account != nullptr && account->content.guarantee
            && account->waiting <= static_cast<std::size_t>(maxShortage);
}

std::size_t FairQueue::countAhead(const WaitingSender &sender)
{
    Accounts::Member &account = this->accountOf(sender);
    const Accounts &accounts = this->accountsOf(sender.urgencyRank);
    const double nextShortage = account.content.shortage + guaranteedFraction * this->servedShare;
    if (nextShortage >= 1.0 && account.waiting < static_cast<std::size_t>(maxShortage)) {
        return 0;
    }
    std::size_t ahead = 0;
    for (const auto &[rank, count] : this->waitingByRank) {
        ahead += rank < sender.urgencyRank ? count : 0;
    }
    Callers &callers = account.content.callers;
    const Callers::Member *caller = callers.find(sender.caller);
    const std::size_t ownAhead = caller == nullptr ? 0 : caller->waiting;
    const std::uint64_t turnOfCaller =
            caller == nullptr ? callers.currentRound() : callers.nextTurnOf(*caller);
    const std::size_t accountAhead =
            callers.isAfterOthers(caller, turnOfCaller) ? account.waiting : ownAhead;
    const std::uint64_t firstTurn =
            account.waiting == 0 ? accounts.nextTurnOf(account) : account.turn;
    const bool isLast = accounts.isAfterOthers(&account, firstTurn + accountAhead);
    return ahead
            + (isLast ? this->waitingByRank[sender.urgencyRank] - account.waiting + accountAhead
                      : accountAhead);
}

std::size_t FairQueue::rememberedSenders() const
{
    std::size_t count = 0;
    for (const auto &[rank, accounts] : this->priorities) {
        count += accounts.memberCount();
    }
    return count;
}

} // namespace lagoondeck
