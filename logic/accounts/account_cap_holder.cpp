#include "logic/accounts/account_cap_holder.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// A restart takes about a second, so a restarted holder grants no more than it could have granted
/// in that time.
constexpr double restartSeconds = 1.0;
/// A holder that replaces another one has no tokens to start with but this one: the bucket of the
/// replaced holder may be empty, and the other two holders decide meanwhile.
constexpr double replacementTokens = 1.0;
/// Changes of the members are ignored for so long after the start, while the instances of the fleet
/// register one after another.
constexpr Duration registrationPeriod = std::chrono::seconds(10);

} // namespace

void AccountCapHolder::start(Instant now, bool isFirstStart)
{
    this->startsFull = isFirstStart;
    this->startedAt = now;
    this->filledFrom = now;
}

void AccountCapHolder::onMembersChanged(const std::function<bool(const std::string &)> &isHolder,
                                        Instant now)
{
    if (now - this->startedAt >= registrationPeriod) {
        this->isChanged = true;
        this->filledFrom = now;
    }
    for (auto &[account, cap] : this->caps) {
        const bool holds = isHolder(account);
        if (holds && !cap.isHolder) {
            cap.bucket.limit(replacementTokens, now);
        }
        cap.isHolder = holds;
    }
}

AccountCapHolder::HeldCap AccountCapHolder::createCap(const ClientAccount &account) const
{
    const double restartTokens = std::min(account.requestsPerSecond * restartSeconds, account.burst)
            + AccountBucket::toleranceOf(account);
    HeldCap cap;
    cap.bucket.reset(this->isChanged            ? replacementTokens
                             : this->startsFull ? AccountBucket::capacityOf(account)
                                                : restartTokens,
                     this->filledFrom);
    return cap;
}

AccountTokens AccountCapHolder::answer(const AccountWish &wish, const ClientAccount *account,
                                       Instant now)
{
    if (account == nullptr || !account->isCapped()) {
        this->caps.erase(wish.account);
        AccountTokens unknown;
        unknown.account = wish.account;
        unknown.isUnknown = true;
        return unknown;
    }
    auto found = this->caps.find(account->name);
    if (found == this->caps.end()) {
        found = this->caps.emplace(account->name, this->createCap(*account)).first;
    }
    return found->second.bucket.take(*account, wish, now);
}

void AccountCapHolder::settle(const std::string &account, std::uint32_t returned,
                              std::uint32_t charged)
{
    if (const auto found = this->caps.find(account); found != this->caps.end()) {
        found->second.bucket.settle(returned, charged);
    }
}

std::vector<AccountTokens> AccountCapHolder::answer(const std::vector<AccountWish> &wishes,
                                                    const AccountDirectory &accounts, Instant now)
{
    std::vector<AccountTokens> answers;
    for (const AccountWish &wish : wishes) {
        AccountTokens tokens = this->answer(wish, accounts.findByName(wish.account), now);
        if (wish.count > 0) {
            answers.push_back(std::move(tokens));
        }
    }
    return answers;
}

} // namespace lagoondeck
