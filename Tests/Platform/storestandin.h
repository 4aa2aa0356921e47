#pragma once

#include <LibHttp/httpserver.h>
#include <platform/metadatastore.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Trefoil::Platform
{

/// Stand-in for the platform's store: tables, transactions and feeds, with faults.
class StoreStandIn
{
public:
    /// IP address of a host, and a table.
    using HostTable = std::pair<std::string, std::string>;

    explicit StoreStandIn(boost::asio::io_context &context);

    /// Version of the last change of any table.
    FeedVersion version() const
    {
        return m_version;
    }

    std::string address() const
    {
        return m_server->address();
    }

    /// Writes a row as another client would.
    void set(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    /// From now on calls for changes after an earlier version fail because the history is truncated.
    void truncateHistory();

    /// Full reads return the tables as they are now until this is called with false.
    void freezeReads(bool isFrozen);

    /// While unresponsive, calls are dropped: those that are open when it begins and those that arrive meanwhile are never answered.
    void setUnresponsive(bool isUnresponsive);

    /// Keeps a copy of the tables as they are now.
    void keepCopy();

    /// Comes back from the copy: what was written since is gone, its versions are assigned again, and the era rises by one. Calls that are held are
    /// answered with status 503, as by a store that was away for a moment.
    void restoreCopy();

    /// Era that the store states; no header while unset.
    std::optional<std::uint64_t> era;
    /// Value of the header in place of the era; for values that can't be read.
    std::optional<std::string> eraText;
    /// IP addresses of hosts that are answered with the header of an earlier era.
    std::map<std::string, std::uint64_t> staleEras;
    /// Called before each page of a full read is sent. Optional.
    std::function<void()> pageRead;
    /// All calls fail with status 503.
    bool isDown = false;
    /// Calls take effect, but the responses of those that arrive or end meanwhile are dropped.
    bool dropsResponses = false;
    /// Full reads are never answered.
    bool dropsReads = false;
    /// Only the first page of a full read is current; freezeReads() was called for the others.
    bool firstPageIsFresh = false;
    /// IP addresses of hosts whose calls are never answered.
    std::set<std::string> unresponsiveTo;
    /// IP addresses of hosts whose calls fail at once, with the status of the failure.
    std::map<std::string, int> rejects;
    /// IP addresses of hosts whose calls to feeds are answered as if the store had only the changes up to this version.
    std::map<std::string, FeedVersion> staleFeeds;
    /// How many of the next calls of a host to the feed of a table are dropped.
    std::map<HostTable, int> feedCallsToDrop;
    /// Calls of a host to the feed of a table that have arrived, whether they are answered or not.
    std::map<HostTable, int> receivedFeedCalls;
    /// Additional delay of each call.
    std::chrono::milliseconds delay{0};
    int readCalls = 0;
    int feedCalls = 0;
    /// Calls to the feed of a table that are held now, and those that arrived while the store was unresponsive.
    std::map<std::string, int> heldFeedCalls;
    std::map<std::string, int> droppedFeedCalls;
    /// Full reads of a table that were dropped.
    std::map<std::string, int> droppedReads;
    /// Calls to the feed of a table whose responses were passed to the connection.
    std::map<std::string, int> answeredFeedCalls;

private:
    struct Change
    {
        std::string table;
        FeedRow row;
    };
    using Tables = std::map<std::string, std::map<std::string, FeedRow>>;

    HttpResponse handle(const HttpRequest &request, const std::string &caller, const boost::asio::yield_context &yield);
    void stateEra(HttpResponse &response, const std::string &caller) const;
    HttpResponse dispatch(const HttpRequest &request, const std::string &caller, const boost::asio::yield_context &yield);
    HttpResponse handleRead(const std::string &table, const std::string &from, std::size_t limit);
    HttpResponse handleFeed(
        const std::string &caller, const std::string &table, FeedVersion after, std::chrono::milliseconds wait, const boost::asio::yield_context &yield);
    HttpResponse handleTransaction(const std::string &body);

    boost::asio::io_context &m_context;
    Tables m_tables;
    Tables m_frozen;
    FeedVersion m_frozenVersion = 0;
    bool m_isFrozen = false;
    bool m_isUnresponsive = false;
    /// How often the store became unresponsive; a call during which one of these periods begins is dropped.
    int m_unresponsivePeriods = 0;
    std::vector<Change> m_changes;
    FeedVersion m_version = 1;
    FeedVersion m_historyStart = 0;
    Tables m_copy;
    std::vector<Change> m_copiedChanges;
    FeedVersion m_copiedVersion = 0;
    /// How often the store came back from a copy.
    int m_restorations = 0;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Trefoil::Platform
