#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>
#include <LibCore/units.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Trefoil
{

/// What an upstream last said of itself.
struct UpstreamRegistration
{
    UpstreamId id;
    ServiceId service;
    /// IP:port.
    std::string address;
    ZoneId zone;
    SlotCount slots;
    bool leaving = false;
    /// How much longer the upstream stays cold, counted from the time of the report.
    std::chrono::milliseconds coldRemaining{0};
    /// Start of the process in Unix milliseconds; a later start under the same id is another process.
    std::int64_t startedAt = 0;
    /// Grows with each report of one process.
    std::int64_t reportNumber = 0;
};

/// What has become of the row of one upstream.
enum class RegistrationChange {
    /// Nothing that matters.
    None,
    /// A process that wasn't known before, also under a known id.
    Started,
    /// The same process with other values.
    Updated,
    /// No longer there, or no longer readable.
    Gone,
};

/// All registrations that are in force, kept from rows that may come late, twice, or out of order.
/// Thread safety: one thread at a time.
class UpstreamCatalog
{
public:
    /// Takes one report. A report of an earlier process under the same id, or an older one of the same process, changes
    /// nothing; a process that was leaving stays so. Precondition: the id is not empty.
    RegistrationChange apply(UpstreamRegistration registration);

    /// Takes that the row is gone or unreadable. Precondition: none.
    RegistrationChange remove(const UpstreamId &id);

    /// Ids that are in the catalog but not among those given, for a full read of the table. Precondition: none.
    std::vector<UpstreamId> missingFrom(const std::set<UpstreamId> &present) const;

    /// Precondition: none.
    const std::map<UpstreamId, UpstreamRegistration> &all() const
    {
        return m_registrations;
    }

private:
    /// Of a process that is gone, the last report is kept, so that a late older one doesn't bring it back.
    static constexpr std::size_t s_maximumGone = 4096;

    std::map<UpstreamId, UpstreamRegistration> m_registrations;
    std::map<UpstreamId, UpstreamRegistration> m_gone;
};

} // namespace Trefoil
