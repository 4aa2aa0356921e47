#pragma once

#include <LibMembership/granttable.h>
#include <LibMembership/memberoutbox.h>

#include <deque>

namespace Trefoil
{

/// A copy of a region's grants with the versions of the two rows that hold them.
struct GrantRows
{
    GrantTable table;
    RowVersion grantsVersion = 0;
    RowVersion versionRowVersion = 0;
};

/// Parses both rows of a region's grants; rows that do not exist stand for an empty table.
Result<GrantRows> parseGrantRows(const std::vector<TableRow> &rows, const RegionId &region);

/// Adds the conditions and puts that replace the present rows with the given table.
void addGrantsUpdate(Transaction &transaction, const RegionId &region, const GrantRows &present, const GrantTable &table);

/// Computes what this host may use of each resource, from its copy of the grants.
/// Thread safety: one thread at a time.
class GrantHolder
{
public:
    explicit GrantHolder(HostId host);

    /// Sets the resources and their totals. Lowered totals reduce the limits at once; the row is updated later.
    void setResources(std::vector<Resource> resources, BootTime now);
    const std::vector<Resource> &resources() const
    {
        return m_resources;
    }

    /// Adopts a newer copy; an older one is ignored, since it may show grants that this host has released since. An increase
    /// of a rate-limited grant becomes usable one interval later, because its former holder may have spent it in the
    /// current interval.
    /// Precondition: now was read after the rows arrived.
    void adopt(GrantRows rows, BootTime now);
    const GrantRows &rows() const
    {
        return m_rows;
    }

    /// Discards all grants, after this host was fenced.
    void clear();

    /// Amount that the host may use now, provided that its lease is valid.
    std::int64_t limit(const Resource &resource, BootTime now) const;

    /// Computes the next table for this host; std::nullopt when it equals the current one. Limits of grants that are to be
    /// lowered take effect at once, while the table lowers such a grant only when usage has decreased to the limit.
    /// Preconditions: the host is a member of the current table; hosts is at least 1.
    std::optional<GrantTable> nextTable(std::size_t hosts, const std::function<std::int64_t(const ResourceId &)> &usage);

    /// Computes the table after this host has joined and acquired its first grants.
    /// Precondition: hosts, which counts this host, is at least 1.
    GrantTable joinedTable(const GrantTable &present, std::size_t hosts) const;

    /// Records that a transaction on the current rows may still take effect, so that lowered limits are not raised again.
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
