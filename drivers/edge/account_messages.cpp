#include "drivers/edge/account_messages.h"

#include "proto/peer.pb.h"

#include <algorithm>

namespace lagoondeck {

namespace {

/// More requests of one account do not arrive at an instance in one event.
constexpr std::uint32_t maxTokens = 10000;
/// A longer time of return is of no use to a caller.
constexpr Duration maxRetryAfter = std::chrono::hours(1);

std::uint32_t readCount(std::uint32_t count)
{
    return std::min(count, maxTokens);
}

Duration readRetry(std::int64_t microseconds)
{
    return std::clamp(Duration(microseconds), Duration(0), maxRetryAfter);
}

} // namespace

std::shared_ptr<const proto::PeerMessage> writeAccountAsk(const AskAccountTokens &ask,
                                                          const std::string &sender,
                                                          const std::string &senderAddress)
{
    auto message = std::make_shared<proto::PeerMessage>();
    message->set_sender(sender);
    message->set_sender_address(senderAddress);
    message->mutable_account_ask()->set_number(ask.number);
    for (const AccountWish &wish : ask.wishes) {
        proto::AccountWish &row = *message->mutable_account_ask()->add_wishes();
        row.set_account(wish.account);
        row.set_count(wish.count);
        row.set_returned(wish.returned);
        row.set_charged(wish.charged);
    }
    return message;
}

std::shared_ptr<const proto::PeerMessage> writeAccountGrant(const GrantAccountTokens &grant,
                                                            const std::string &sender,
                                                            const std::string &senderAddress)
{
    auto message = std::make_shared<proto::PeerMessage>();
    message->set_sender(sender);
    message->set_sender_address(senderAddress);
    message->mutable_account_grant()->set_number(grant.number);
    for (const AccountTokens &tokens : grant.tokens) {
        proto::AccountTokens &row = *message->mutable_account_grant()->add_tokens();
        row.set_account(tokens.account);
        row.set_granted(tokens.granted);
        row.set_is_unknown(tokens.isUnknown);
        row.set_retry_after_us(tokens.retryAfter.count());
        row.set_retry_interval_us(tokens.retryInterval.count());
    }
    return message;
}

std::optional<AccountTokensAsked> readAccountAsk(const proto::PeerMessage &message)
{
    if (!message.has_account_ask()) {
        return std::nullopt;
    }
    AccountTokensAsked event {message.sender_address(), message.account_ask().number(), {}};
    for (const proto::AccountWish &row : message.account_ask().wishes()) {
        event.wishes.push_back({row.account(), readCount(row.count()), readCount(row.returned()),
                                readCount(row.charged())});
    }
    return event;
}

std::optional<AccountTokensGranted> readAccountGrant(const proto::PeerMessage &message)
{
    if (!message.has_account_grant()) {
        return std::nullopt;
    }
    AccountTokensGranted event {message.sender_address(), message.account_grant().number(), {}};
    for (const proto::AccountTokens &row : message.account_grant().tokens()) {
        event.tokens.push_back({row.account(), readCount(row.granted()), row.is_unknown(),
                                readRetry(row.retry_after_us()),
                                readRetry(row.retry_interval_us())});
    }
    return event;
}

} // namespace lagoondeck
