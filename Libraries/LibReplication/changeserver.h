#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>
#include <LibPeer/messages.h>
#include <LibReplication/changelog.h>

#include <functional>
#include <list>
#include <map>
#include <string>

namespace Trefoil
{

/// Passes on the changes of tables to hosts that follow this one, and refuses to do so once it can't vouch for what it knows:
/// a subscriber of a host that has lost the store must learn it before the change that it misses is due.
/// Thread safety: one thread at a time.
class ChangeServer
{
public:
    using Send = std::function<void(const HostId &to, const ChangesSince &response)>;

    /// Precondition: send is set and doesn't call this object.
    explicit ChangeServer(Send send);

    /// Declares a table. Subscribers are refused once it wasn't confirmed for longer than maximumAge. Precondition: none.
    void addTable(const std::string &table, std::chrono::milliseconds maximumAge);

    /// Notes that a table was read in full. Precondition: addTable() was called for it, here and below.
    void reset(const std::string &table, FeedVersion version);

    /// Takes changes and passes them on.
    void append(const std::string &table, const FeedRows &changes, BootTime now);

    /// Notes that the store has just told this host all changes of a table.
    void confirm(const std::string &table, BootTime now);

    /// Takes the request of a subscriber. Precondition: none.
    void request(const HostId &from, const AwaitChanges &request, BootTime now);

    /// Answers requests that have waited for their time, and those that can't be served any more. Precondition: none.
    void respondToDueRequests(BootTime now);

    /// Whether requests wait for changes. Precondition: none.
    bool hasPendingRequests() const
    {
        return !m_pendingRequests.empty();
    }

private:
    struct Table
    {
        std::chrono::milliseconds maximumAge{0};
        ChangeLog log;
        BootTime confirmedAt{};
    };

    struct PendingRequest
    {
        HostId from;
        AwaitChanges request;
        BootTime deadline;
    };

    /// True when the request was answered.
    bool tryRespond(const PendingRequest &pending, BootTime now);

    Send m_send;
    std::map<std::string, Table> m_tables;
    std::list<PendingRequest> m_pendingRequests;
};

} // namespace Trefoil
