#pragma once

#include <LibMembership/granttable.h>
#include <LibMembership/memberoutbox.h>

#include <deque>

namespace Trefoil
{

/// A copy of a region's grants with the versions of its two rows.
struct GrantRows
{
    GrantTable table;
    RowVersion grantsVersion = 0;
    RowVersion versionRowVersion = 0;
};

/// Reads both rows of a region's grants; rows that do not exist stand for an empty table.
Result<GrantRows> parseGrantRows(const std::vector<TableRow> &rows, const RegionId &region);

/// Adds the conditions and puts that replace present by table.
void addGrantsUpdate(Transaction &transaction, const RegionId &region, const GrantRows &present, const GrantTable &table);

/// What this host may use of each resource, from its copy of the grants.
/// Thread safety: one thread at a time.
class GrantHolder
{
public:
    explicit GrantHolder(HostId host);

    /// Uses these totals from now on. Lowered totals bind at once; the row follows later.
    void setResources(std::vector<Resource> resources, BootTime now);
    const std::vector<Resource> &resources() const
    {
        return m_resources;
    }

    /// Takes over a newer copy; an older one is ignored, since it may show grants that were released since. A windowed
    /// grant that grew is used one interval later, because its former holder may have spent it in the present interval.
    /// Precondition: now was read after the rows arrived.
    void adopt(GrantRows rows, BootTime now);
    const GrantRows &rows() const
    {
        return m_rows;
    }

    /// Drops all grants of a host that was fenced.
    void clear();

    /// What the host may use now, while its lease is valid.
    std::int64_t limit(const Resource &resource, BootTime now) const;

    /// The next state of the row for this host, when it differs from the present one. The limits of grants that are to
    /// be lowered sink at once, and the row lowers a grant only when usage has sunk to the limit.
    /// Precondition: the host is a member of the present table; hosts is at least 1.
    std::optional<GrantTable> nextTable(std::size_t hosts, const std::function<std::int64_t(const ResourceId &)> &usage);

    /// The table after this host has joined and taken its first grants.
    /// Precondition: hosts, which counts this host, is at least 1.
    GrantTable joinedTable(const GrantTable &present, std::size_t hosts) const;

    /// Notes that a transaction on the present rows may still take effect, so that lowered limits stay low.
    void recordAmbiguousUpdate();

private:
    struct PendingIncrease
    {
        std::int64_t amount = 0;
        BootTime usableFrom;
    };

    void lowerLimit(const ResourceId &resource, std::int64_t own, std::int64_t planned);
    void updatePendingIncreases(BootTime now);
    std::int64_t pendingAmount(const ResourceId &resource, BootTime now) const;
    std::vector<Resource> undeclaredResources() const;

    HostId m_host;
    std::vector<Resource> m_resources;
    GrantRows m_rows;
    std::map<ResourceId, std::int64_t> m_loweredLimits;
    std::map<ResourceId, std::deque<PendingIncrease>> m_pendingIncreases;
    std::map<ResourceId, std::int64_t> m_windowedGrants;
    std::optional<RowVersion> m_ambiguousVersion;
};

} // namespace Trefoil
