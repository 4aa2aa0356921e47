#pragma once

#include <LibCore/bootclock.h>

#include <chrono>

namespace Trefoil
{

/// When a key that was taken away must not be used any more.
struct RevocationPolicy
{
    /// Whether the time holds for hosts that can't reach the store, too. If not, such hosts use the keys that they know.
    bool isStrict = false;
    /// Time after the store acknowledged the configuration without the key.
    std::chrono::milliseconds time{5000};
};

/// Largest age of a configuration whose keys may be used: a part of the policy's time, since clocks of hosts differ in speed and a request that was
/// checked takes time to be sent. Precondition: the policy is strict. Thread safety: safe from any thread.
std::chrono::milliseconds maximumCopyAge(const RevocationPolicy &policy);

/// Whether a host may use the keys of its configuration. provenAt is the start of the call to the store that showed that the configuration was the newest.
/// Handles hosts, zones and regions that lose the store while keys are taken away: without the bound they would go on to use these keys.
/// Precondition: both times are of BootClock, which goes on while the process is suspended. Thread safety: safe from any thread.
bool mayUseKeys(const RevocationPolicy &policy, BootTime provenAt, BootTime now);

} // namespace Trefoil
