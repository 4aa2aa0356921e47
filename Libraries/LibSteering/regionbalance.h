#pragma once

#include <atomic>
#include <cstdint>

namespace Trefoil
{

/// Share of the own region's requests that goes to emptier regions before the own one is full (objective Headroom). The share is corrected a
/// little at each heartbeat round: all hosts of a region see the same reports, and would otherwise all move their requests at once and back.
class RegionBalance
{
public:
    /// Corrects the share by the used share of slots here and in the emptiest open region.
    /// Precondition: both lie in [0, 1]. Thread safety: one control thread at a time.
    void update(double ownUsed, double emptiestUsed);

    /// True for the part of the calls that the share names, evenly spread. Precondition: none. Thread safety: safe from any thread; lock-free.
    bool movesNext();

    /// Precondition: none. Thread safety: safe from any thread.
    double share() const;

private:
    std::atomic<std::uint32_t> m_step{0};
    std::atomic<std::uint32_t> m_credit{0};
};

} // namespace Trefoil
