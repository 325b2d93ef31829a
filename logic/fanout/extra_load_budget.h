#pragma once

#include "logic/invariant.h"

#include <algorithm>

namespace lagoondeck {

/// Limits extra sub-requests to a ratio of the first sub-requests. The unspent balance is capped,
/// so that a period with few extra sub-requests does not allow a burst of them later.
class ExtraLoadBudget
{
public:
    /// The initial balance can be spent before anything is earned. Zero enforces the ratio
    /// strictly.
    ExtraLoadBudget(double maxBalance, double initialBalance)
        : maxBalance(maxBalance), balance(initialBalance), earned(initialBalance)
    { }

    /// Called when first sub-requests were sent. Each one adds `ratio`, 0 to 1, to the balance.
    void earn(double ratio, double firstSubRequests = 1.0)
    {
        const double gain = ratio * firstSubRequests;
        this->earned += gain;
        this->balance = std::min(this->maxBalance, this->balance + gain);
    }

    bool canSpend() const { return this->balance >= 1.0 - roundingTolerance; }

    /// Called when an extra sub-request was sent.
    void spend()
    {
        this->balance -= 1.0;
        this->spent += 1.0;
        ensure(this->spent <= this->earned + roundingTolerance, Invariant::HedgeWithinBudget);
    }

private:
    static constexpr double roundingTolerance = 1e-6;

    double maxBalance;
    double balance;
    double earned;
    double spent = 0.0;
};

} // namespace lagoondeck
