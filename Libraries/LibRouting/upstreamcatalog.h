#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/era.h>
#include <LibCore/strongid.h>
#include <LibCore/units.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Trefoil
{

/// Version of a row of the store: one counter for all rows that grows with each transaction of an era.
using RowVersion = StrongId<struct RowVersionTag, std::uint64_t>;

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
    /// Start of the process in Unix milliseconds of its machine's clock, which may be set back: another value under the same id is
    /// another process, whether it is larger or smaller. 0 when the row names none.
    std::int64_t startedAt = 0;
    /// Grows with each report of one process.
    std::int64_t reportNumber = 0;
    /// Version of the row that holds the report.
    RowVersion rowVersion;
    /// Era of the store that the version is from.
    StoreEra rowEra{};
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

/// All registrations that are in force, kept from rows that may come late, twice, or out of order. Rows are ordered by the era of the store and their
/// version.
/// Thread safety: one thread at a time.
class UpstreamCatalog
{
public:
    /// Takes one report. A report from a row that is not newer than the last one under the same id changes nothing, whatever its
    /// start and number; neither does one that an earlier write of the process, or of one before it, left behind because the store
    /// performed it late. A process that was leaving stays so. A report without a start, under an id whose process had one, comes from
    /// another writer and counts as unreadable. Precondition: the id is not empty.
    RegistrationChange apply(UpstreamRegistration registration);

    /// Takes that the row is gone or unreadable as of a version of the store. Changes nothing when the last row under the id is newer.
    /// Precondition: none.
    RegistrationChange remove(const UpstreamId &id, RowVersion version, StoreEra era = {});

    /// Takes a report whatever its start and number: the store came back from an older copy, and the newer one that it lost was not written again. A
    /// process that was leaving stays so. Changes nothing when the last row under the id is newer. Precondition: the id is not empty.
    RegistrationChange follow(UpstreamRegistration registration);

    /// Removes an upstream whose row the store lost and that was not written again as of a version. Later reports of its processes count whatever their
    /// numbers, since the process may write the lost ones again. Changes nothing when the last row under the id is newer. Precondition: none.
    RegistrationChange removeLost(const UpstreamId &id, RowVersion version, StoreEra era);

    /// Whether a registration is in force whose process has a later start than a report. Precondition: none.
    bool hasLaterProcess(const UpstreamRegistration &report) const;

    /// Ids that are in the catalog but not among those given, for a full read of the table. Precondition: none.
    std::vector<UpstreamId> missingFrom(const std::set<UpstreamId> &present) const;

    /// Precondition: none.
    const std::map<UpstreamId, UpstreamRegistration> &all() const
    {
        return m_registrations;
    }

private:
    /// Upstreams without a readable row whose last version is kept, so that a late older row doesn't bring them back.
    static constexpr std::size_t s_maximumGone = 4096;

    /// Processes under one id that are remembered; a write that the store performs late comes from the one before, or the one before that.
    static constexpr std::size_t s_maximumProcesses = 4;

    /// Reports in a row that look as if they were written late until one counts: the store performs single writes late, while a process
    /// whose number or start was spoilt by another writer goes on reporting.
    static constexpr int s_maximumLateReports = 3;

    /// Place of a row in the history of the store.
    struct RowPosition
    {
        StoreEra era;
        RowVersion version;

        bool operator<(const RowPosition &other) const
        {
            return era < other.era || (era == other.era && version < other.version);
        }
    };

    /// A process under an id. Processes keep their service, so that a row of another writer that names another one says nothing of the
    /// process.
    struct Process
    {
        std::int64_t startedAt = 0;
        ServiceId service;
        std::int64_t reportNumber = 0;
        bool isLeaving = false;

        bool isOf(const UpstreamRegistration &report) const
        {
            return startedAt == report.startedAt && service == report.service;
        }
    };

    /// What outlives the row of an upstream.
    struct History
    {
        /// Of the last row, or of its removal.
        RowPosition position;
        /// In the order of their last reports.
        std::vector<Process> processes;
        /// Reports since the last one that counted that look as if they were written late.
        int lateReports = 0;
    };

    /// Whether the store seems to have performed the write of a report later than newer ones: its number is not larger than one of the
    /// same process, or its process was followed by one with a later start.
    static bool isWrittenLate(const History &history, const UpstreamRegistration &report);
    /// Records the process of a report that counts.
    static const Process &recordReport(History &history, const UpstreamRegistration &report);
    /// Puts a report that counts in force.
    RegistrationChange putInForce(History &history, UpstreamRegistration registration);
    /// Records the position of the last row; false when the known one is as new.
    bool advance(const UpstreamId &id, const RowPosition &position);
    /// Removes the registration, but keeps the history.
    RegistrationChange removeRegistration(const UpstreamId &id);
    /// Removes the history with the oldest position among the upstreams without a row, when there are too many.
    void forgetOldestGone();

    std::map<UpstreamId, UpstreamRegistration> m_registrations;
    /// Of all upstreams in m_registrations, and of those that are gone.
    std::map<UpstreamId, History> m_histories;
};

} // namespace Trefoil
