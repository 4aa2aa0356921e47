#include "quotasimulation.h"

#include <algorithm>

namespace Trefoil::QuotaTests
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// From SIGTERM until the row is removed, and until the process has ended.
constexpr auto s_rowRemovalDelay = 1000ms;
constexpr auto s_stopTime = 4000ms;
/// Strict revocation: without the store, requests that need a key are not sent after this time.
constexpr auto s_revocationTime = 5000ms;
/// From the grant of a permit until the request is sent.
constexpr auto s_longestConnect = 20ms;
constexpr auto s_shortestDelay = 1ms;
constexpr auto s_longestDelay = 30ms;

BootTime::duration toDuration(double seconds)
{
    return std::chrono::duration_cast<BootTime::duration>(Seconds(seconds));
}

} // namespace

QuotaSimulation::QuotaSimulation(const SimulationSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    for (int i = 0; i < settings.customerCount; ++i) {
        SimulatedCustomer customer;
        customer.name = "customer-" + std::to_string(i);
        const double others = settings.totalRate * 0.8 / std::max(1, settings.customerCount - 1);
        customer.usualRate = i == 0 ? settings.totalRate * 0.2 : others;
        customer.presentRate = customer.usualRate;
        customer.limit = {customer.usualRate * settings.headroom, customer.usualRate * settings.headroom * settings.burstSeconds};
        customer.referenceAt = start;
        customers.push_back(customer);
    }
    for (int i = 0; i < settings.hostCount; ++i) {
        Host host;
        host.id = hostId(static_cast<std::size_t>(i));
        m_indices[host.id] = m_hosts.size();
        m_rows.push_back(host.id);
        m_hosts.push_back(std::move(host));
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        startProcess(i, true, false);
    }
    for (std::size_t i = 0; i < customers.size(); ++i) {
        scheduleArrival(i);
    }
}

HostId QuotaSimulation::hostId(std::size_t index) const
{
    // Other seeds have other lenders.
    return HostId("host-" + std::to_string(m_settings.seed) + "-" + std::to_string(index));
}

void QuotaSimulation::setDemand(std::size_t customer, double factor)
{
    customers[customer].presentRate = customers[customer].usualRate * factor;
    ++customers[customer].rateChanges;
    if (factor > 0) {
        scheduleArrival(customer);
    }
}

void QuotaSimulation::at(std::chrono::milliseconds time, const std::function<void()> &function)
{
    schedule(start + time, function);
}

void QuotaSimulation::runUntil(std::chrono::milliseconds end)
{
    while (!m_events.empty() && m_events.begin()->first <= start + end) {
        const auto function = std::move(m_events.begin()->second);
        m_now = m_events.begin()->first;
        m_events.erase(m_events.begin());
        function();
    }
    m_now = start + end;
}

void QuotaSimulation::schedule(BootTime time, std::function<void()> function)
{
    m_events.emplace(time, std::move(function));
}

BootTime::duration QuotaSimulation::randomTime(std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
{
    return toDuration(std::uniform_real_distribution<double>(Seconds(shortest).count(), Seconds(longest).count())(m_random));
}

void QuotaSimulation::startProcess(std::size_t index, bool isFirstStart, bool hasEarlierRow)
{
    Host &host = m_hosts[index];
    host.isRunning = true;
    host.isStopping = false;
    ++host.process;
    host.waiting.clear();
    host.lender = std::make_unique<QuotaLender>(host.id, m_settings.rules);
    host.borrower = std::make_unique<QuotaBorrower>(host.id, m_settings.rules, m_random());
    host.start = std::make_unique<LendingStart>(isFirstStart);
    host.limits.clear();
    for (const SimulatedCustomer &customer : customers) {
        host.limits.push_back(customer.limit);
    }
    if (hasEarlierRow) {
        host.start->recordEarlierRow();
    }
    learnTable(index, m_rows);
}

void QuotaSimulation::publishTable()
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        schedule(m_now + randomTime(0ms, m_settings.tableLag), [this, i, process = m_hosts[i].process] {
            if (m_hosts[i].process == process && m_hosts[i].isRunning && !m_hosts[i].isCutOff) {
                learnTable(i, m_rows);
            }
        });
    }
}

void QuotaSimulation::learnTable(std::size_t index, const std::vector<HostId> &table)
{
    Host &host = m_hosts[index];
    host.table = table;
    host.start->recordRegistration(std::find(table.begin(), table.end(), host.id) != table.end(), m_now);
    update(host);
}

void QuotaSimulation::update(Host &host)
{
    std::vector<LimitedCustomer> limited;
    for (std::size_t i = 0; i < customers.size(); ++i) {
        limited.push_back({hashOfCustomer(customers[i].name), host.limits[i]});
    }
    host.lender->update(host.table, limited, host.start->lendsFrom(), m_now);
    host.borrower->setHosts(host.table);
}

void QuotaSimulation::addHost()
{
    Host host;
    host.id = hostId(m_hosts.size());
    m_indices[host.id] = m_hosts.size();
    m_rows.push_back(host.id);
    m_hosts.push_back(std::move(host));
    startProcess(m_hosts.size() - 1, false, false);
    publishTable();
}

void QuotaSimulation::stopHost(std::size_t host)
{
    m_hosts[host].isStopping = true;
    m_hosts[host].lender->stop();
    schedule(m_now + s_rowRemovalDelay, [this, host] {
        m_rows.erase(std::remove(m_rows.begin(), m_rows.end(), m_hosts[host].id), m_rows.end());
        publishTable();
    });
    schedule(m_now + s_stopTime, [this, host] { killHost(host); });
}

void QuotaSimulation::killHost(std::size_t host)
{
    m_hosts[host].isRunning = false;
    ++m_hosts[host].process;
}

void QuotaSimulation::startHost(std::size_t host)
{
    const bool hasRow = std::find(m_rows.begin(), m_rows.end(), m_hosts[host].id) != m_rows.end();
    if (!hasRow) {
        m_rows.push_back(m_hosts[host].id);
        publishTable();
    }
    startProcess(host, false, hasRow);
}

void QuotaSimulation::cutOff(std::size_t host, bool isCutOff)
{
    m_hosts[host].isCutOff = isCutOff;
    m_hosts[host].cutOffAt = m_now;
    if (!isCutOff && m_hosts[host].isRunning) {
        for (std::size_t i = 0; i < customers.size(); ++i) {
            m_hosts[host].limits[i] = customers[i].limit;
        }
        learnTable(host, m_rows);
    }
}

void QuotaSimulation::setLimit(std::size_t customer, const QuotaLimit &limit)
{
    customers[customer].limit = limit;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        schedule(m_now + randomTime(0ms, m_settings.configurationLag), [this, i, customer, limit, process = m_hosts[i].process] {
            if (m_hosts[i].process == process && !m_hosts[i].isCutOff) {
                m_hosts[i].limits[customer] = limit;
                update(m_hosts[i]);
            }
        });
    }
}

void QuotaSimulation::scheduleArrival(std::size_t customer)
{
    const double wait = std::exponential_distribution<double>(customers[customer].presentRate)(m_random);
    schedule(m_now + toDuration(wait), [this, customer, rateChanges = customers[customer].rateChanges] {
        if (customers[customer].rateChanges == rateChanges) {
            arrive(customer);
            scheduleArrival(customer);
        }
    });
}

void QuotaSimulation::arrive(std::size_t index)
{
    SimulatedCustomer &customer = customers[index];
    const std::size_t host = std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(m_random);
    const bool isRevoked = m_hosts[host].isCutOff && m_now - m_hosts[host].cutOffAt > s_revocationTime;
    if (!m_hosts[host].isRunning || m_hosts[host].isStopping || isRevoked) {
        return;
    }
    ++customer.arrived;
    const double elapsed = Seconds(m_now - customer.referenceAt).count();
    customer.reference = std::min(std::max(1.0, customer.limit.burst), customer.reference + elapsed * customer.limit.rate);
    customer.referenceAt = m_now;
    auto request = std::make_shared<Request>(Request{host, index});
    request->isReferenceAdmitted = customer.reference >= 1;
    customer.reference -= request->isReferenceAdmitted ? 1 : 0;
    m_hosts[host].borrower->arrive(hashOfCustomer(customer.name), m_now);
    advance(request, m_hosts[host].process, 0);
}

void QuotaSimulation::advance(const std::shared_ptr<Request> &request, int process, int lastStep)
{
    if (request->steps != lastStep) {
        return;
    }
    ++request->steps;
    const CustomerHash hash = hashOfCustomer(customers[request->customer].name);
    while (!request->isDone && m_hosts[request->host].process == process) {
        Host &host = m_hosts[request->host];
        const auto step = host.borrower->nextStep(hash, host.limits[request->customer], m_now);
        if (const auto *needed = std::get_if<PermitsNeeded>(&step)) {
            if (needed->lender == host.id) {
                deliver(request->host, request->host, host.lender->reply(needed->request, m_now));
            } else {
                send(request->host, needed->lender, needed->request);
            }
            continue;
        }
        if (const auto *awaited = std::get_if<ReplyAwaited>(&step)) {
            host.waiting[hash].push_back(request);
            schedule(awaited->until, [this, request, process, last = request->steps] { advance(request, process, last); });
            return;
        }
        customers[request->customer].exceeded += std::holds_alternative<QuotaExceeded>(step) ? 1 : 0;
        customers[request->customer].unavailable += std::holds_alternative<QuotaUnavailable>(step) ? 1 : 0;
        finish(*request, std::holds_alternative<Permit>(step));
    }
}

void QuotaSimulation::finish(Request &request, bool hasRun)
{
    request.isDone = true;
    SimulatedCustomer &customer = customers[request.customer];
    customer.rejectedBelow += request.isReferenceAdmitted && !hasRun ? 1 : 0;
    customer.admittedAbove += !request.isReferenceAdmitted && hasRun ? 1 : 0;
    if (hasRun) {
        customer.runs.push_back(m_now + randomTime(0ms, s_longestConnect));
    }
}

void QuotaSimulation::send(std::size_t from, const HostId &to, const QuotaMessage &message)
{
    ++datagrams;
    const auto index = m_indices.find(to);
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.lost;
    if (isLost || index == m_indices.end() || m_hosts[from].isCutOff != m_hosts[index->second].isCutOff) {
        return;
    }
    schedule(m_now + randomTime(s_shortestDelay, s_longestDelay), [this, from, receiver = index->second, message] {
        if (m_hosts[receiver].isRunning) {
            deliver(from, receiver, message);
        }
    });
}

void QuotaSimulation::deliver(std::size_t from, std::size_t to, const QuotaMessage &message)
{
    Host &host = m_hosts[to];
    if (const auto *request = std::get_if<PermitRequest>(&message)) {
        const PermitReply reply = host.lender->reply(*request, m_now);
        lentPermits += reply.granted;
        send(to, m_hosts[from].id, reply);
        return;
    }
    const auto customer = host.borrower->receive(std::get<PermitReply>(message), m_now);
    if (!customer || host.waiting[*customer].empty()) {
        return;
    }
    const auto waiting = std::move(host.waiting[*customer]);
    host.waiting[*customer].clear();
    for (const auto &request : waiting) {
        schedule(m_now, [this, request, process = host.process, last = request->steps] { advance(request, process, last); });
    }
}

} // namespace Trefoil::QuotaTests
