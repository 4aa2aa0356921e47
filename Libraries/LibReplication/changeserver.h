#pragma once

#include <LibCore/bootclock.h>
#include <LibCore/strongid.h>
#include <LibPeer/messages.h>
#include <LibReplication/changelog.h>
#include <LibReplication/tableimage.h>

#include <functional>
#include <list>
#include <map>
#include <string>

namespace Trefoil
{

/// Serves the changes of tables to subscribers, and whole tables to hosts that start or are further behind than the log reaches. Rejects their requests once its own copy is no longer confirmed by the store, so that
/// the subscribers of a host that has lost the store notice it before a missed change has to be in force. Rejects versions of another era of the store,
/// and states the own one.
/// Thread safety: one thread at a time.
class ChangeServer
{
public:
    using Send = std::function<void(const HostId &to, const ChangesSince &response)>;

    /// Precondition: send is set and does not call this object.
    explicit ChangeServer(Send send);

    /// Registers a table. Requests are rejected when its last confirmation is older than maximumAge. Precondition: none.
    void addTable(const std::string &table, std::chrono::milliseconds maximumAge);

    /// Replaces what is known of a table after a full read. Pending requests of an earlier era are rejected with respondToDueRequests(). Precondition: addTable() was called for the table.
    void reset(const std::string &table, const FeedRows &rows);

    /// Appends changes and sends them to the subscribers that wait. Precondition: addTable() was called for the table; the changes are of the era of the
    /// last reset().
    void append(const std::string &table, const FeedRows &changes, BootTime now);

    /// Records that the store has just confirmed, in answer to a call that began at provenAt, that this host has all changes of a table.
    /// Precondition: addTable() was called for the table.
    void confirm(const std::string &table, BootTime now, BootTime provenAt);

    /// Responds to a request of a subscriber, or keeps it pending until there are changes. Precondition: none.
    void request(const HostId &from, const AwaitChanges &request, BootTime now);

    /// Responds to requests whose wait is over, and rejects those that can no longer be served. Precondition: none.
    void respondToDueRequests(BootTime now);

    /// Whether requests are waiting for changes. Precondition: none.
    bool hasPendingRequests() const
    {
        return !m_pendingRequests.empty();
    }

private:
    struct Table
    {
        std::chrono::milliseconds maximumAge{0};
        ChangeLog log;
        TableImage image;
        BootTime confirmedAt{};
        BootTime provenAt{};
    };

    struct PendingRequest
    {
        HostId from;
        AwaitChanges request;
        BootTime receivedAt;
        BootTime deadline;
    };

    /// Returns whether a response or a rejection was sent.
    bool tryRespond(const PendingRequest &pending, BootTime now);

    Send m_send;
    std::map<std::string, Table> m_tables;
    std::list<PendingRequest> m_pendingRequests;
};

} // namespace Trefoil
