#pragma once

#include <LibQuota/quotaborrower.h>
#include <LibQuota/quotalender.h>
#include <LibRouting/routingconfiguration.h>
#include <LibTelemetry/scrapewriter.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>

namespace Trefoil
{

/// Keeps the requests of each customer, on all hosts together, within its limit: borrows permits of the lenders and lends those of this host.
/// Thread safety: all calls on the thread that runs the context.
class QuotaClient
{
public:
    using Outcome = std::variant<Permit, QuotaExceeded, QuotaUnavailable>;
    /// Sends a datagram to a host; it may be lost.
    using Send = std::function<void(const HostId &to, const std::string &bytes)>;

    /// Precondition: context outlives the client.
    QuotaClient(boost::asio::io_context &context, HostId self, QuotaRules rules, Send send);

    /// Sets the registered hosts, the customers, and the time from which on this host lends; nothing when it does not.
    /// Precondition: now does not go back.
    void update(const std::vector<HostId> &registeredHosts, const std::vector<Customer> &customers, std::optional<BootTime> lendsFrom, BootTime now);

    /// Ends lending: the process stops. Precondition: none.
    void stopLending();

    /// Gets a permit for one request; unavailable if none came until the deadline. A customer without a rate needs none.
    /// Precondition: the customer has a rate; runs in a coroutine of the context.
    Outcome acquire(const Customer &customer, BootTime deadline, const boost::asio::yield_context &yield);

    /// Returns a permit whose request was not sent. Precondition: acquire() returned it for this customer.
    void release(const Customer &customer, const Permit &permit);

    /// Handles a datagram of another host. Returns the reply to send, if any; datagrams that are no valid message are ignored. Precondition: none.
    std::optional<std::string> receive(std::string_view bytes);

    /// Forgets what is out of date. Precondition: now does not go back.
    void prune(BootTime now);

    /// Writes all metrics to a scrape. Precondition: none.
    void writeTo(ScrapeWriter &writer) const;

private:
    /// Timers of the requests that wait for a reply, by customer.
    using Waiters = std::map<CustomerHash, std::set<boost::asio::steady_timer *>>;

    /// Customers with counters of their own; all further ones share the label "other".
    static constexpr std::size_t s_maximumCustomers = 1024;

    struct Rejections
    {
        std::uint64_t exceeded = 0;
        std::uint64_t unavailable = 0;
    };

    void send(const PermitsNeeded &needed);
    void take(const PermitReply &reply);
    void awaitReply(CustomerHash customer, BootTime until, const boost::asio::yield_context &yield);
    Rejections &rejectionsOf(const Customer &customer);

    boost::asio::io_context &m_context;
    HostId m_self;
    Send m_send;
    QuotaLender m_lender;
    QuotaBorrower m_borrower;
    /// Shared with the requests, since coroutines that are left when the context goes end after the client.
    std::shared_ptr<Waiters> m_waiters = std::make_shared<Waiters>();
    std::map<std::string, Rejections> m_rejections;
};

} // namespace Trefoil
