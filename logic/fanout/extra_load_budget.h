#pragma once

#include "logic/invariant.h"

#include <algorithm>

namespace lagoondeck {

/// Allows extra sub-requests as a part of the first ones. What is not spent is kept up to a bound,
/// so that a quiet time does not pay for a storm.
class ExtraLoadBudget
{
public:
    /// The head start lets a budget spend before it has earned; zero keeps strictly to the part.
    ExtraLoadBudget(double mostKept, double headStart)
        : mostKept(mostKept), kept(headStart), earned(headStart)
    { }

    /// First sub-requests left; each earns the part, 0 to 1, of an extra one.
    void earn(double part, double firstSubRequests = 1.0)
    {
        const double gain = part * firstSubRequests;
        this->earned += gain;
        this->kept = std::min(this->mostKept, this->kept + gain);
    }

    bool allows() const { return this->kept >= 1.0 - rounding; }

    /// An extra sub-request left.
    void spend()
    {
        this->kept -= 1.0;
        this->spent += 1.0;
        ensure(this->spent <= this->earned + rounding, Invariant::HedgeWithinBudget);
    }

private:
    static constexpr double rounding = 1e-6;

    double mostKept;
    double kept;
    double earned;
    double spent = 0.0;
};

} // namespace lagoondeck
