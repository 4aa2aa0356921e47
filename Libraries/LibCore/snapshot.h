#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace Trefoil
{

/// Registers the calling thread with the read-copy-update library for the lifetime of the object.
/// Every thread that calls Snapshot::read must hold one.
class SnapshotReaderThread
{
public:
    SnapshotReaderThread();
    ~SnapshotReaderThread();
    SnapshotReaderThread(const SnapshotReaderThread &) = delete;
    SnapshotReaderThread &operator=(const SnapshotReaderThread &) = delete;
};

namespace Detail
{

/// Read-side critical section of the read-copy-update library.
class SnapshotReadGuard
{
public:
    SnapshotReadGuard();
    ~SnapshotReadGuard();
    SnapshotReadGuard(const SnapshotReadGuard &) = delete;
    SnapshotReadGuard &operator=(const SnapshotReadGuard &) = delete;
};

/// Waits until all read-side critical sections that were open at the call have ended.
void waitForReaders();

} // namespace Detail

/// An immutable value that one thread replaces while others read it without a lock (read-copy-update).
template<typename T>
class Snapshot
{
public:
    /// Precondition: initial is not null.
    explicit Snapshot(std::unique_ptr<const T> initial)
        : m_current(initial.release())
    {
    }

    /// Precondition: no reader is left.
    ~Snapshot()
    {
        delete m_current.load();
    }

    Snapshot(const Snapshot &) = delete;
    Snapshot &operator=(const Snapshot &) = delete;

    /// Calls function with the current value and returns its result.
    /// Preconditions: the thread holds a SnapshotReaderThread; function neither suspends a coroutine, blocks, calls
    /// publish(), nor lets a reference to the value escape.
    /// Thread safety: safe from any registered thread; never waits.
    template<typename Function>
    auto read(Function &&function) const
    {
        const Detail::SnapshotReadGuard guard;
        return std::forward<Function>(function)(*m_current.load(std::memory_order_acquire));
    }

    /// Replaces the value, then waits for readers of the old value before it is destroyed.
    /// Preconditions: next is not null; not called from within read().
    /// Thread safety: safe from any thread; publishers wait for each other.
    void publish(std::unique_ptr<const T> next)
    {
        const std::lock_guard lock(m_publishMutex);
        const std::unique_ptr<const T> previous(m_current.exchange(next.release(), std::memory_order_acq_rel));
        Detail::waitForReaders();
    }

private:
    std::atomic<const T *> m_current;
    std::mutex m_publishMutex;
};

} // namespace Trefoil
