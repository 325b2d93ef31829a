#include "logic/accounts/account_caps.h"

#include "logic/accounts/account_holders.h"

#include <algorithm>
#include <random>

namespace lagoondeck {

namespace {

constexpr int statusTooManyRequests = 429;
/// Answers from another failure domain take up to 5 ms; the rest is for an event loop that is busy.
constexpr Duration answerWait = std::chrono::milliseconds(25);
/// Later answers are ignored. A token in them is lost, so this is long compared with a pause.
constexpr Duration answerLifetime = std::chrono::seconds(2);
/// After so many requests in a row without a majority, the next ones don't wait for it.
constexpr std::uint32_t maxMissedMajorities = 3;
/// Until the others have registered, the fleet is assumed to have this many instances at least.
constexpr std::size_t assumedInstances = 8;
constexpr Duration assumedInstancesPeriod = std::chrono::seconds(5);
/// An instance whose data from the store is older may not know which holders the others have. The
/// others replace a holder 16 s after it was cut off at the earliest: its lease of 12 s was renewed
/// up to 4 s before, and it counts as a member for 8 s more.
constexpr Duration maxDataAge = std::chrono::seconds(10);
/// Callers refused by the local allowance may return within this time, spread at random.
constexpr Duration minLocalRetry = std::chrono::seconds(1);
constexpr Duration maxLocalRetry = std::chrono::seconds(5);
/// A cap that is reached again after this time is logged again.
constexpr Duration capReportInterval = std::chrono::seconds(60);
/// Limits the number of label values in the metrics.
constexpr std::size_t maxCountedAccounts = 64;

/// Returns the fields that describe a request that ends before it is served.
std::vector<LogField> endFields(const AdmittedRequest &request, ExchangeOutcome outcome,
                                EndReason reason, Instant now)
{
    const std::uint64_t version = request.config == nullptr ? 0 : request.config->version;
    return {{"request", request.request->requestId},
            {"outcome", toString(outcome)},
            {"reason", toString(reason)},
            {"route", request.route->name},
            {"account", request.account->name},
            numberField("configVersion", static_cast<std::int64_t>(version)),
            numberField("beliefAgeMs", toMilliseconds(request.storeDataAge)),
            numberField("elapsedMs", toMilliseconds(now - request.arrivedAt))};
}

} // namespace

AccountCaps::AccountCaps(InstanceId self, bool isFirstStart)
    : self(std::move(self)), isFirstStart(isFirstStart)
{ }

void AccountCaps::start(Instant now)
{
    this->startedAt = now;
    this->holder.start(now, this->isFirstStart);
}

void AccountCaps::setMembers(std::vector<MemberRecord> newMembers, Instant now)
{
    this->members = std::move(newMembers);
    ++this->memberChanges;
    this->holder.onMembersChanged(
            [this](const std::string &account) {
                return std::ranges::any_of(
                        accountHolders(this->members, account),
                        [this](const MemberRecord &member) { return member.id == this->self; });
            },
            now);
}

AccountCaps::Account &AccountCaps::accountFor(const std::string &name)
{
    Account &account = this->accounts[name];
    if (account.memberChange != this->memberChanges) {
        account.memberChange = this->memberChanges;
        account.holders = accountHolders(this->members, name);
    }
    return account;
}

std::size_t AccountCaps::holderCount(const Account &account, Instant now) const
{
    // An instance that knows only itself must not take itself for the whole fleet.
    const bool isComplete = this->isFirstStart || now - this->startedAt >= assumedInstancesPeriod;
    return isComplete ? account.holders.size() : accountHolderCount;
}

std::size_t AccountCaps::instanceCount(Instant now) const
{
    return now - this->startedAt < assumedInstancesPeriod
            ? std::max(this->members.size(), assumedInstances)
            : this->members.size();
}

void AccountCaps::submit(AdmittedRequest request, GatewayContext &context)
{
    Account &account = this->accountFor(request.account->name);
    const std::uint64_t number = ++this->lastNumber;
    const TokenVote vote(this->holderCount(account, context.now),
                         request.storeDataAge > maxDataAge ? TokenVote::Quorum::All
                                                           : TokenVote::Quorum::Majority);
    const auto found = this->running.emplace(number, Decision(vote)).first;
    Decision &decision = found->second;
    decision.account = request.account->name;
    this->waiting.emplace(request.id, number);
    decision.answersDueAt = context.now + answerWait;
    this->timers.emplace(std::min(decision.answersDueAt, request.deadlineAt), number);
    decision.expiresAt = context.now + answerLifetime;
    this->timers.emplace(decision.expiresAt, number);
    decision.request = std::move(request);
    this->askHolders(account, number, decision, context.now);
    const bool isWaitPointless = account.missedMajorities >= maxMissedMajorities;
    this->decide(decision, isWaitPointless || account.holders.empty(), context);
}

void AccountCaps::askHolders(Account &account, std::uint64_t number, Decision &decision,
                             Instant now)
{
    for (const MemberRecord &member : account.holders) {
        if (member.id != this->self) {
            this->asks.ask(member.peerAddress, decision.account, number);
            continue;
        }
        const AccountTokens tokens =
                this->holder.answer({decision.account, 1, 0, 0}, decision.request->account, now);
        this->addAnswer(
                decision, "",
                {tokens.granted > 0 ? TokenAnswer::Kind::Granted : TokenAnswer::Kind::Refused,
                 tokens.retryAfter},
                now);
    }
}

void AccountCaps::addAnswer(Decision &decision, const std::string &from, const TokenAnswer &answer,
                            Instant now)
{
    decision.vote.add(answer);
    if (decision.isServed) {
        this->settle(decision, from, answer, now);
    } else {
        decision.answers.emplace_back(from, answer);
    }
}

void AccountCaps::onAsked(const AccountTokensAsked &event, const AccountDirectory &directory,
                          GatewayContext &context)
{
    std::vector<AccountTokens> tokens = this->holder.answer(event.wishes, directory, context.now);
    if (!tokens.empty()) {
        context.emit(GrantAccountTokens {event.sender, event.number, std::move(tokens)});
    }
}

void AccountCaps::onGranted(const AccountTokensGranted &event, GatewayContext &context)
{
    for (const TokenAsks::VoteAnswer &answer : this->asks.takeAnswers(event)) {
        const auto found = this->running.find(answer.vote);
        if (found == this->running.end()) {
            continue;
        }
        Decision &decision = found->second;
        this->addAnswer(decision, event.sender, answer.answer, context.now);
        if (!decision.isServed) {
            this->decide(decision, false, context);
        } else if (decision.vote.hasMajority()) {
            this->noteMajority(this->accountFor(decision.account), decision.account, context);
        }
        if (decision.isServed && decision.vote.isComplete()) {
            this->running.erase(found);
        }
    }
}

void AccountCaps::decide(Decision &decision, bool isWaitOver, GatewayContext &context)
{
    const TokenDecision result = decision.vote.decide(isWaitOver);
    if (result == TokenDecision::Undecided) {
        return;
    }
    Account &account = this->accountFor(decision.account);
    if (decision.vote.hasMajority()) {
        this->noteMajority(account, decision.account, context);
    } else {
        this->noteMissedMajority(account, decision.account, context);
    }
    switch (result) {
    case TokenDecision::Admitted:
        account.allowance.onGranted(context.now);
        ++this->countsOf(decision.account).granted;
        this->admit(decision);
        break;
    case TokenDecision::Refused:
        this->refuse(decision, decision.vote.retryAfter(), false, context);
        break;
    case TokenDecision::NoMajority:
        this->decideLocally(decision, context);
        break;
    case TokenDecision::Undecided:
        break;
    }
    for (const auto &[from, answer] : std::exchange(decision.answers, {})) {
        this->settle(decision, from, answer, context.now);
    }
}

void AccountCaps::decideLocally(Decision &decision, GatewayContext &context)
{
    ++this->countsOf(decision.account).local;
    LocalAllowance &allowance = this->accountFor(decision.account).allowance;
    if (allowance.tryTake(*decision.request->account, this->instanceCount(context.now), context.now,
                          context.random)) {
        this->admit(decision);
        return;
    }
    std::uniform_int_distribution<Duration::rep> spread(minLocalRetry.count(),
                                                        maxLocalRetry.count());
    this->refuse(decision, Duration(spread(context.random)), true, context);
}

AdmittedRequest AccountCaps::finish(Decision &decision, bool isServed)
{
    AdmittedRequest request = std::move(*decision.request);
    decision.request.reset();
    decision.isServed = isServed;
    this->waiting.erase(request.id);
    return request;
}

void AccountCaps::admit(Decision &decision)
{
    this->admitted.push_back(this->finish(decision, true));
}

void AccountCaps::refuse(Decision &decision, Duration retryAfter, bool isLocal,
                         GatewayContext &context)
{
    const AdmittedRequest request = this->finish(decision, false);
    Account &account = this->accountFor(decision.account);
    if (!isLocal && (!account.refusedAt || context.now - *account.refusedAt >= capReportInterval)) {
        context.log(LogEvent::AccountCapReached,
                    {{"account", decision.account},
                     {"requestsPerSecond", std::to_string(request.account->requestsPerSecond)},
                     {"burst", std::to_string(request.account->burst)},
                     numberField("retryAfterMs", toMilliseconds(retryAfter))});
    }
    if (!isLocal) {
        account.refusedAt = context.now;
    }
    ++this->countsOf(decision.account).refused;
    std::vector<LogField> fields =
            endFields(request, ExchangeOutcome::Refused, EndReason::AccountCapReached, context.now);
    fields.push_back({"decidedBy", isLocal ? "allowance" : "holders"});
    fields.push_back(numberField("retryAfterMs", toMilliseconds(retryAfter)));
    context.log(LogEvent::RequestTroubled, std::move(fields));
    CallerReply reply;
    reply.status = statusTooManyRequests;
    reply.retryAfter = retryAfter;
    reply.detail = "not run: the cap of the client account is reached";
    context.emit(AnswerExchange {request.id,
                                 std::move(reply),
                                 {request.route->name, ExchangeOutcome::Refused,
                                  EndReason::AccountCapReached, context.now - request.arrivedAt}});
}

void AccountCaps::settle(Decision &decision, const std::string &from, const TokenAnswer &answer,
                         Instant now)
{
    const bool isReturned = answer.kind == TokenAnswer::Kind::Granted && !*decision.isServed;
    // A later refusal comes from a holder that was paused, and has lost the tokens of that time.
    const bool isCharged = answer.kind == TokenAnswer::Kind::Refused && *decision.isServed
            && now <= decision.answersDueAt;
    if (from.empty()) {
        this->holder.settle(decision.account, isReturned ? 1 : 0, isCharged ? 1 : 0);
    } else if (isReturned) {
        this->asks.giveBack(from, decision.account);
    } else if (isCharged) {
        this->asks.charge(from, decision.account);
    }
}

void AccountCaps::noteMajority(Account &account, const std::string &name, GatewayContext &context)
{
    if (account.missedMajorities >= maxMissedMajorities) {
        context.log(LogEvent::AccountHoldersFound, {{"account", name}});
    }
    account.missedMajorities = 0;
    account.allowance.onMajority();
}

void AccountCaps::noteMissedMajority(Account &account, const std::string &name,
                                     GatewayContext &context)
{
    if (account.missedMajorities < maxMissedMajorities
        && ++account.missedMajorities == maxMissedMajorities) {
        std::string holders;
        for (const MemberRecord &member : account.holders) {
            holders += (holders.empty() ? "" : ",") + member.id.value;
        }
        context.log(LogEvent::AccountHoldersLost, {{"account", name}, {"holders", holders}});
    }
}

bool AccountCaps::onCallerLeft(ExchangeId exchange, GatewayContext &context)
{
    const auto found = this->waiting.find(exchange);
    if (found == this->waiting.end()) {
        return false;
    }
    Decision &decision = this->running.at(found->second);
    const AdmittedRequest request = this->finish(decision, false);
    context.log(
            LogEvent::RequestTroubled,
            endFields(request, ExchangeOutcome::CallerLeft, EndReason::CallerLeft, context.now));
    for (const auto &[from, answer] : std::exchange(decision.answers, {})) {
        this->settle(decision, from, answer, context.now);
    }
    return true;
}

void AccountCaps::onTimer(GatewayContext &context)
{
    while (!this->timers.empty() && this->timers.top().first <= context.now) {
        const auto found = this->running.find(this->timers.top().second);
        this->timers.pop();
        if (found == this->running.end()) {
            continue;
        }
        if (!found->second.isServed) {
            this->decide(found->second, true, context);
        } else {
            this->running.erase(found);
        }
    }
}

void AccountCaps::sendAsks(GatewayContext &context)
{
    this->asks.send(context);
    // Drops the timers of requests that are decided, so that they don't cause events.
    while (!this->timers.empty()) {
        const auto &[at, number] = this->timers.top();
        const auto found = this->running.find(number);
        if (found != this->running.end()
            && (!found->second.isServed || at >= found->second.expiresAt)) {
            break;
        }
        this->timers.pop();
    }
}

Instant AccountCaps::nextTimer() const
{
    return this->timers.empty() ? Instant::max() : this->timers.top().first;
}

AccountDecisions &AccountCaps::countsOf(const std::string &account)
{
    const bool isCounted =
            this->decisions.contains(account) || this->decisions.size() < maxCountedAccounts;
    return this->decisions[isCounted ? account : "other"];
}

} // namespace lagoondeck
