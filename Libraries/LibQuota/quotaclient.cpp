#include <LibQuota/quotaclient.h>

#include <LibTelemetry/log.h>

#include <algorithm>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

QuotaClient::QuotaClient(asio::io_context &context, HostId self, QuotaRules rules, Send send)
    : m_context(context)
    , m_self(self)
    , m_send(std::move(send))
    , m_lender(self, rules)
    , m_borrower(std::move(self), rules, randomSeed())
{
}

void QuotaClient::update(const std::vector<HostId> &registeredHosts, const std::vector<Customer> &customers, std::optional<BootTime> lendsFrom, BootTime now)
{
    std::vector<LimitedCustomer> limited;
    for (const Customer &customer : customers) {
        if (customer.requestsPerSecond > 0) {
            limited.push_back({hashOfCustomer(customer.id.value()), {customer.requestsPerSecond, customer.burst}});
        }
    }
    const std::size_t before = m_lender.customerCount();
    m_lender.update(registeredHosts, limited, lendsFrom, now);
    m_borrower.setHosts(registeredHosts);
    if (m_lender.customerCount() != before) {
        writeLog(LogLevel::Info,
            "quota-lending-changed",
            {{"customers", static_cast<std::int64_t>(m_lender.customerCount())},
                {"limitedCustomers", static_cast<std::int64_t>(limited.size())},
                {"registeredHosts", static_cast<std::int64_t>(registeredHosts.size())}});
    }
}

void QuotaClient::stopLending()
{
    m_lender.stop();
}

QuotaClient::Outcome QuotaClient::acquire(const Customer &customer, BootTime deadline, const asio::yield_context &yield)
{
    const CustomerHash hash = hashOfCustomer(customer.id.value());
    const QuotaLimit limit{customer.requestsPerSecond, customer.burst};
    m_borrower.arrive(hash, BootClock::now());
    while (true) {
        const BootTime now = BootClock::now();
        const QuotaBorrower::Step step = m_borrower.nextStep(hash, limit, now);
        if (const auto *permit = std::get_if<Permit>(&step)) {
            return *permit;
        }
        if (const auto *exceeded = std::get_if<QuotaExceeded>(&step)) {
            ++rejectionsOf(customer).exceeded;
            return *exceeded;
        }
        if (std::holds_alternative<QuotaUnavailable>(step)) {
            ++rejectionsOf(customer).unavailable;
            return QuotaUnavailable{};
        }
        if (const auto *needed = std::get_if<PermitsNeeded>(&step)) {
            send(*needed);
            continue;
        }
        if (now >= deadline) {
            m_borrower.giveUp(hash);
            ++rejectionsOf(customer).unavailable;
            return QuotaUnavailable{};
        }
        awaitReply(hash, std::min(deadline, std::get<ReplyAwaited>(step).until), yield);
    }
}

void QuotaClient::send(const PermitsNeeded &needed)
{
    if (needed.lender == m_self) {
        take(m_lender.reply(needed.request, BootClock::now()));
        return;
    }
    m_send(needed.lender, encodeQuotaMessage(needed.request));
}

void QuotaClient::take(const PermitReply &reply)
{
    const auto customer = m_borrower.receive(reply, BootClock::now());
    const auto waiters = customer ? m_waiters->find(*customer) : m_waiters->end();
    if (waiters == m_waiters->end()) {
        return;
    }
    for (asio::steady_timer *timer : waiters->second) {
        timer->cancel();
    }
}

void QuotaClient::awaitReply(CustomerHash customer, BootTime until, const asio::yield_context &yield)
{
    struct Registration
    {
        Registration(std::shared_ptr<Waiters> all, CustomerHash key, asio::steady_timer &own)
            : waiters(std::move(all))
            , customer(key)
            , timer(own)
        {
            (*waiters)[customer].insert(&timer);
        }
        ~Registration()
        {
            const auto found = waiters->find(customer);
            found->second.erase(&timer);
            if (found->second.empty()) {
                waiters->erase(found);
            }
        }
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;

        std::shared_ptr<Waiters> waiters;
        CustomerHash customer;
        asio::steady_timer &timer;
    };
    asio::steady_timer timer(m_context, std::chrono::duration_cast<asio::steady_timer::duration>(until - BootClock::now()));
    const Registration registration(m_waiters, customer, timer);
    // A reply cancels the timer.
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

void QuotaClient::release(const Customer &customer, const Permit &permit)
{
    m_borrower.release(hashOfCustomer(customer.id.value()), permit, BootClock::now());
}

std::optional<std::string> QuotaClient::receive(std::string_view bytes)
{
    const auto message = decodeQuotaMessage(bytes);
    if (!message) {
        return std::nullopt;
    }
    if (const auto *reply = std::get_if<PermitReply>(&*message)) {
        take(*reply);
        return std::nullopt;
    }
    return encodeQuotaMessage(m_lender.reply(std::get<PermitRequest>(*message), BootClock::now()));
}

void QuotaClient::prune(BootTime now)
{
    m_borrower.prune(now);
}

QuotaClient::Rejections &QuotaClient::rejectionsOf(const Customer &customer)
{
    const std::string &name = customer.id.value();
    const bool hasOwn = m_rejections.count(name) > 0 || m_rejections.size() < s_maximumCustomers;
    return m_rejections[hasOwn ? name : "other"];
}

void QuotaClient::writeTo(ScrapeWriter &writer) const
{
    writer.begin("trefoil_quota_permits_total", "counter", "Permits of customers with a limit: lent to hosts, borrowed from lenders, expired unused.");
    writer.sample("", {{"event", "lent"}}, static_cast<double>(m_lender.lentPermits()));
    writer.sample("", {{"event", "borrowed"}}, static_cast<double>(m_borrower.borrowedPermits()));
    writer.sample("", {{"event", "expired"}}, static_cast<double>(m_borrower.expiredPermits()));
    writer.begin("trefoil_quota_customers", "gauge", "Customers for which this host lends permits.");
    writer.sample("", {}, static_cast<double>(m_lender.customerCount()));
    writer.begin("trefoil_quota_rejections_total", "counter", "Requests without a permit, by customer: over the limit, or no lender replied.");
    for (const auto &[customer, counts] : m_rejections) {
        writer.sample("", {{"customer", customer}, {"reason", "exceeded"}}, static_cast<double>(counts.exceeded));
        writer.sample("", {{"customer", customer}, {"reason", "unavailable"}}, static_cast<double>(counts.unavailable));
    }
}

} // namespace Trefoil
