#include <LibTelemetry/requestmetrics.h>

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Trefoil
{

namespace
{

constexpr const char *sharedName = "other";
constexpr double microsecondsInSecond = 1e6;

constexpr std::array<const char *, 3> outcomeNames = {"answered", "not-run", "unknown"};

const std::vector<std::string> &reasonNames()
{
    static const std::vector<std::string> names = {"bad-input",
        "body-too-large",
        "configuration-too-old",
        "deadline",
        "draining",
        "host-stopping",
        "key-expired",
        "key-running",
        "lease-expired",
        "link-budget",
        "no-common-region",
        "no-configuration",
        "no-key",
        "no-room",
        "no-route",
        "no-slot",
        "no-upstream",
        "other-scheme",
        "outcome-unknown",
        "queue-full",
        "region-drained",
        "several-keys",
        "shed",
        "shift-cap",
        "store-unavailable",
        "timeout",
        "unknown-key",
        "unknown-service",
        "upstream-error",
        "upstream-refused"};
    return names;
}

/// From 50 us to 60 s; the performance limits of design 1.3 (300 us, 2 ms) are bounds, so that they can be read off.
std::vector<double> timeBounds()
{
    return {0, 50, 100, 200, 300, 500, 1000, 2000, 3000, 5000, 10000, 20000, 50000, 100000, 200000, 500000, 1e6, 2e6, 5e6, 1e7, 3e7, 6e7};
}

// Bins are half-open at the top, whereas the "le" of the exposition format is inclusive. Bounds between the whole
// numbers make both the same.
std::vector<double> countBounds()
{
    return {-0.5, 0.5, 1.5, 2.5, 3.5, 4.5, 6.5, 8.5, 12.5, 16.5, 32.5, 64.5, 128.5, 256.5, 512.5, 1024.5, 4096.5};
}

std::vector<double> retryBounds()
{
    return {-0.5, 0.5, 1.5, 2.5, 3.5, 4.5, 8.5};
}

double microseconds(std::chrono::nanoseconds time)
{
    return static_cast<double>(std::max<std::int64_t>(0, time.count())) / 1e3;
}

/// The first limit names, without the shared one, which is added separately.
template<typename Id>
std::vector<std::string> boundedNames(const std::vector<Id> &ids, std::size_t limit)
{
    std::vector<std::string> names;
    for (const auto &id : ids) {
        if (names.size() == limit) {
            break;
        }
        if (id.value() == sharedName) {
            continue;
        }
        names.push_back(id.value());
    }
    names.emplace_back(sharedName);
    return names;
}

std::shared_ptr<RequestSeries> keptOrNew(const std::map<std::string, std::map<std::string, std::shared_ptr<RequestSeries>, std::less<>>, std::less<>> &old,
    const std::string &tenant,
    const std::string &requestClass)
{
    const auto byClass = old.find(tenant);
    if (byClass != old.end()) {
        const auto position = byClass->second.find(requestClass);
        if (position != byClass->second.end()) {
            return position->second;
        }
    }
    return std::make_shared<RequestSeries>(reasonNames());
}

} // namespace

RequestSeries::RequestSeries(const std::vector<std::string> &reasons)
    : m_latencyMicroseconds{Histogram<Bounds>(Bounds(timeBounds()))}
    , m_waitingMicroseconds{Histogram<Bounds>(Bounds(timeBounds()))}
    , m_inFlightAtStart{Histogram<Bounds>(Bounds(countBounds()))}
    , m_retries{Histogram<Bounds>(Bounds(retryBounds()))}
    , m_refusals(Reasons(reasons))
{
}

void RequestSeries::started() noexcept
{
    const auto before = m_inFlight.fetch_add(1, std::memory_order_relaxed);
    m_inFlightAtStart.counts(static_cast<double>(before));
    m_inFlightAtStart.sum.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(0, before)), std::memory_order_relaxed);
}

void RequestSeries::finished(const RequestMeasurement &measurement)
{
    m_inFlight.fetch_sub(1, std::memory_order_relaxed);
    const double latency = microseconds(measurement.latency);
    const double waiting = microseconds(measurement.waiting);
    m_latencyMicroseconds.counts(latency);
    m_latencyMicroseconds.sum.fetch_add(static_cast<std::uint64_t>(latency), std::memory_order_relaxed);
    m_waitingMicroseconds.counts(waiting);
    m_waitingMicroseconds.sum.fetch_add(static_cast<std::uint64_t>(waiting), std::memory_order_relaxed);
    m_retries.counts(static_cast<double>(measurement.retries));
    m_retries.sum.fetch_add(measurement.retries, std::memory_order_relaxed);
    m_outcomes.at(static_cast<std::size_t>(measurement.outcome)).fetch_add(1, std::memory_order_relaxed);
    if (!measurement.reason.empty()) {
        m_refusals(std::string(measurement.reason));
    }
}

std::int64_t RequestSeries::inFlight() const noexcept
{
    return m_inFlight.load(std::memory_order_relaxed);
}

bool RequestSeries::isUsed() const noexcept
{
    const auto isCounted = [](const std::atomic<std::uint64_t> &count) { return count.load(std::memory_order_relaxed) > 0; };
    return inFlight() > 0 || std::any_of(m_outcomes.begin(), m_outcomes.end(), isCounted);
}

RequestMetrics::RequestMetrics()
    : m_series(std::make_unique<SeriesByTenant>(SeriesByTenant{{sharedName, {{sharedName, std::make_shared<RequestSeries>(reasonNames())}}}}))
{
}

void RequestMetrics::declare(const std::vector<TenantId> &tenants, const std::vector<ClassId> &classes)
{
    const SeriesByTenant old = m_series.read([](const SeriesByTenant &current) { return current; });
    auto next = std::make_unique<SeriesByTenant>();
    for (const auto &tenant : boundedNames(tenants, maximumTenants)) {
        for (const auto &requestClass : boundedNames(classes, maximumClasses)) {
            (*next)[tenant][requestClass] = keptOrNew(old, tenant, requestClass);
        }
    }
    m_series.publish(std::move(next));
}

std::shared_ptr<RequestSeries> RequestMetrics::series(const TenantId &tenant, const ClassId &requestClass) const
{
    return m_series.read([&](const SeriesByTenant &current) {
        auto byTenant = current.find(tenant.value());
        if (byTenant == current.end()) {
            byTenant = current.find(sharedName);
        }
        auto byClass = byTenant->second.find(requestClass.value());
        if (byClass == byTenant->second.end()) {
            byClass = byTenant->second.find(sharedName);
        }
        return byClass->second;
    });
}

std::vector<RequestMetrics::NamedSeries> RequestMetrics::usedSeries() const
{
    return m_series.read([](const SeriesByTenant &current) {
        std::vector<NamedSeries> used;
        for (const auto &[tenant, byClass] : current) {
            for (const auto &[requestClass, series] : byClass) {
                if (series->isUsed()) {
                    used.push_back({tenant, requestClass, series});
                }
            }
        }
        return used;
    });
}

void RequestMetrics::writeDistribution(ScrapeWriter &writer, const NamedSeries &named, const RequestSeries::Distribution &distribution, double unit)
{
    const auto &counts = distribution.counts;
    const int size = counts.axis().size();
    // Buckets are cumulative; the underflow bin (index -1) is empty, since negative values are clamped.
    std::uint64_t cumulative = 0;
    for (int i = 0; i < size; ++i) {
        cumulative += counts.at(i).load(std::memory_order_relaxed);
        const std::string bound = fmt::format("{}", std::floor(counts.axis().value(i + 1)) / unit);
        writer.sample("_bucket", {{"tenant", named.tenant}, {"class", named.requestClass}, {"le", bound}}, static_cast<double>(cumulative));
    }
    cumulative += counts.at(size).load(std::memory_order_relaxed);
    const std::vector<MetricLabel> labels = {{"tenant", named.tenant}, {"class", named.requestClass}};
    writer.sample("_bucket", {labels[0], labels[1], {"le", "+Inf"}}, static_cast<double>(cumulative));
    writer.sample("_sum", labels, static_cast<double>(distribution.sum.load(std::memory_order_relaxed)) / unit);
    writer.sample("_count", labels, static_cast<double>(cumulative));
}

void RequestMetrics::writeTo(ScrapeWriter &writer) const
{
    const auto all = usedSeries();
    writer.begin("trefoil_request_seconds", "histogram", "Time from the parsed request to the end of its response.");
    for (const auto &named : all) {
        writeDistribution(writer, named, named.series->m_latencyMicroseconds, microsecondsInSecond);
    }
    writer.begin("trefoil_waiting_seconds", "histogram", "Time that requests spent in the admission queue.");
    for (const auto &named : all) {
        writeDistribution(writer, named, named.series->m_waitingMicroseconds, microsecondsInSecond);
    }
    writer.begin("trefoil_in_flight_at_start", "histogram", "Requests of the same tenant and class in flight when one starts.");
    for (const auto &named : all) {
        writeDistribution(writer, named, named.series->m_inFlightAtStart, 1);
    }
    writer.begin("trefoil_retries", "histogram", "Attempts after the first for each request.");
    for (const auto &named : all) {
        writeDistribution(writer, named, named.series->m_retries, 1);
    }
    writer.begin("trefoil_in_flight", "gauge", "Requests in flight.");
    for (const auto &named : all) {
        writer.sample("", {{"tenant", named.tenant}, {"class", named.requestClass}}, static_cast<double>(named.series->inFlight()));
    }
    writer.begin("trefoil_requests_total", "counter", "Requests that have ended, by outcome.");
    for (const auto &named : all) {
        for (std::size_t i = 0; i < outcomeNames.size(); ++i) {
            writer.sample("",
                {{"tenant", named.tenant}, {"class", named.requestClass}, {"outcome", outcomeNames.at(i)}},
                static_cast<double>(named.series->m_outcomes.at(i).load(std::memory_order_relaxed)));
        }
    }
    writer.begin("trefoil_refusals_total", "counter", "Requests that were refused or whose outcome is unknown, by reason.");
    for (const auto &named : all) {
        const auto &refusals = named.series->m_refusals;
        for (int i = 0; i <= refusals.axis().size(); ++i) {
            const auto count = refusals.at(i).load(std::memory_order_relaxed);
            if (count == 0) {
                continue;
            }
            const std::string reason = i < refusals.axis().size() ? refusals.axis().value(i) : sharedName;
            writer.sample("", {{"tenant", named.tenant}, {"class", named.requestClass}, {"reason", reason}}, static_cast<double>(count));
        }
    }
}

} // namespace Trefoil
