#pragma once

#include <functional>

namespace Trefoil
{

/// Tells running work that its result is no longer wanted.
/// Thread safety: all calls on the thread of the worker that runs the work.
class Cancellation
{
public:
    Cancellation() = default;
    Cancellation(const Cancellation &) = delete;
    Cancellation &operator=(const Cancellation &) = delete;

    /// Precondition: none.
    bool isRequested() const;

    /// Requests cancellation and calls the hook once. Precondition: none.
    void request();

    /// Sets what a request calls; an empty function removes it. The hook is called at once when the request came before.
    /// Precondition: the hook stays valid until it is replaced.
    void setHook(std::function<void()> hook);

private:
    bool m_requested = false;
    std::function<void()> m_hook;
};

} // namespace Trefoil
