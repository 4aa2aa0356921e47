#pragma once

#include <LibCore/units.h>

#include <atomic>
#include <memory>
#include <optional>

namespace Trefoil
{

class ConnectionLimit;

/// Stands for one open connection until it is destroyed. Thread safety: one thread at a time.
class ConnectionPermit
{
public:
    ConnectionPermit(ConnectionPermit &&) noexcept = default;
    ConnectionPermit &operator=(ConnectionPermit &&) = delete;
    ConnectionPermit(const ConnectionPermit &) = delete;
    ConnectionPermit &operator=(const ConnectionPermit &) = delete;
    ~ConnectionPermit();

private:
    friend class ConnectionLimit;
    explicit ConnectionPermit(std::shared_ptr<ConnectionLimit> limit);

    std::shared_ptr<ConnectionLimit> m_limit;
};

/// Bound on open connections: those to one upstream, shared by the pools of all worker threads, or all of one pool.
class ConnectionLimit : public std::enable_shared_from_this<ConnectionLimit>
{
public:
    /// Precondition: granted is not negative.
    static std::shared_ptr<ConnectionLimit> create(ConnectionCount granted);

    /// A permit for one more connection, or nothing at the limit.
    /// Precondition: none. Thread safety: safe from any thread; lock-free.
    std::optional<ConnectionPermit> tryAcquire();

    /// Sets the limit. Open connections above a lowered limit stay open until they end.
    /// Precondition: granted is not negative. Thread safety: safe from any thread.
    void setGranted(ConnectionCount granted);

    /// Precondition: none. Thread safety: safe from any thread.
    ConnectionCount granted() const;

    /// Precondition: none. Thread safety: safe from any thread.
    ConnectionCount open() const;

private:
    friend class ConnectionPermit;
    explicit ConnectionLimit(ConnectionCount granted);

    std::atomic<std::int32_t> m_granted;
    std::atomic<std::int32_t> m_open{0};
};

} // namespace Trefoil
