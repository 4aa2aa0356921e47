#pragma once

#include <chrono>
#include <optional>

namespace Trefoil
{

/// Timing of a publisher; the sum bounds how long the host and its subscribers take to notice that the store is unreachable.
struct PublisherTiming
{
    /// Delay after a change, in which further changes are batched.
    std::chrono::milliseconds batchDelay;
    /// How long the store, and a publisher, hold a request while there are no changes.
    std::chrono::milliseconds holdTime;
    /// A response that is later than the hold time by this much counts as lost.
    std::chrono::milliseconds responseMargin;
};

/// How long a subscriber may let its publisher hold the next request; nothing when the copy is so old that the subscriber has to call the
/// store itself.
/// Handles a publisher that first loses a call to the store and then stops to respond: its subscribers would wait for the age at which it
/// refuses them, and for a lost response after that, which together exceed the time within which a change must be in force. So the older
/// the copy, the shorter the wait.
/// Precondition: age is the time since the store confirmed the copy. Thread safety: safe from any thread.
std::optional<std::chrono::milliseconds> subscriptionWait(std::chrono::milliseconds age, const PublisherTiming &timing);

} // namespace Trefoil
