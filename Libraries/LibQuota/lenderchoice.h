#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Trefoil
{

/// Hash of a customer's name, which stands for it in messages between hosts: its length is bounded.
using CustomerHash = StrongId<struct CustomerHashTag, std::uint64_t>;

/// Precondition: none. Thread safety: safe from any thread.
CustomerHash hashOfCustomer(const std::string &name);

/// The hosts that lend permits for a customer, in the rendezvous order of host and customer. Hosts with the same table of hosts compute the same
/// lenders, and a host that joins or leaves replaces at most one of them. Precondition: none. Thread safety: safe from any thread.
std::vector<HostId> lendersOf(CustomerHash customer, const std::vector<HostId> &registeredHosts);

/// A host that was not registered before it started lends only after this time. It is longer than the 8 s by which a copy of the table of hosts
/// can lag and the 5 s of strict revocation, so that the lenders that it displaces have stopped.
inline constexpr std::chrono::seconds lendingDelay{15};

/// Decides from when on a host lends. Thread safety: one thread at a time.
class LendingStart
{
public:
    /// At the first start of a deployment no lender can be displaced. Precondition: none.
    explicit LendingStart(bool isFirstStart)
        : m_isDelayed(!isFirstStart)
    {
    }

    /// Records that the table of hosts had a row of an earlier process of this host. Precondition: none.
    void recordEarlierRow()
    {
        m_isDelayed = m_isDelayed && m_hasEarlierRow;
        m_hasEarlierRow = true;
    }

    /// Records whether the table of hosts has this process. Soon after the registration, a table without it is only out of date: others remove a row
    /// only after a minute of silence. Later, others may have taken its place. Precondition: now does not go back.
    void recordRegistration(bool isRegistered, BootTime now);

    /// Nothing before the host is registered. Precondition: none.
    std::optional<BootTime> lendsFrom() const;

private:
    bool m_isDelayed;
    bool m_hasEarlierRow = false;
    std::optional<BootTime> m_registeredAt;
};

} // namespace Trefoil
