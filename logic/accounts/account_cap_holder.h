#pragma once

#include "logic/accounts/account_bucket.h"
#include "logic/accounts/account_directory.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoondeck {

/// The buckets of the accounts whose caps this instance holds, for itself and the other members.
///
/// It answers every member that asks, also if this instance would choose other holders, because the
/// members that ask must not depend on whose view is newer.
class AccountCapHolder
{
public:
    /// `isFirstStart` tells that the whole fleet starts for the first time, so that no account has
    /// used anything yet.
    void start(Instant now, bool isFirstStart);
    /// Called when the members have changed. `isHolder` tells whether this instance holds the cap
    /// of an account now.
    void onMembersChanged(const std::function<bool(const std::string &)> &isHolder, Instant now);
    /// Answers a wish. The account is null if this instance's configuration does not have it.
    AccountTokens answer(const AccountWish &wish, const ClientAccount *account, Instant now);
    std::vector<AccountTokens> answer(const std::vector<AccountWish> &wishes,
                                      const AccountDirectory &accounts, Instant now);
    /// Applies what became of tokens that this instance asked of itself.
    void settle(const std::string &account, std::uint32_t returned, std::uint32_t charged);

private:
    struct HeldCap
    {
        AccountBucket bucket;
        bool isHolder = true;
    };

    HeldCap createCap(const ClientAccount &account) const;

    bool startsFull = false;
    /// Whether the members have changed since the start.
    bool isChanged = false;
    Instant startedAt {};
    /// New buckets are filled from this time on.
    Instant filledFrom {};
    std::unordered_map<std::string, HeldCap> caps;
};

} // namespace lagoondeck
