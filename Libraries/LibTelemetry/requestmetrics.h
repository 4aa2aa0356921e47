#pragma once

#include <LibCore/snapshot.h>
#include <LibCore/strongid.h>
#include <LibTelemetry/scrapewriter.h>

#include <array>
#include <atomic>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/category.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Measurements of requests: one series for each pair of a declared tenant and class.
namespace Trefoil
{

/// How a request ended (design 2.7).
enum class RequestOutcome {
    Answered,
    NotRun,
    Unknown,
};

/// What the record filter knows of a request that has ended.
struct RequestMeasurement
{
    RequestOutcome outcome = RequestOutcome::Answered;
    /// Why it was refused, as in Trefoil-Reason; empty when it was answered. Reasons outside the known list count as "other".
    std::string_view reason;
    /// From the parsed request to the last byte of the response.
    std::chrono::nanoseconds latency{0};
    /// Part of the latency that was spent in the admission queue.
    std::chrono::nanoseconds waiting{0};
    /// Attempts after the first.
    std::uint32_t retries = 0;
};

/// Histograms of one tenant and class. Thread safety: all members are safe from any thread and take no lock.
class RequestSeries
{
public:
    /// Preconditions: the bounds of each histogram grow; reasons is not empty.
    explicit RequestSeries(const std::vector<std::string> &reasons);

    /// Counts a request as in flight. Precondition: finished() follows once.
    void started() noexcept;

    /// Records a request that has ended. Precondition: started() was called for it.
    void finished(const RequestMeasurement &measurement);

    /// Requests between started() and finished(). Precondition: none.
    std::int64_t inFlight() const noexcept;

    /// Whether it has counted any request. Precondition: none.
    bool isUsed() const noexcept;

private:
    friend class RequestMetrics;
    using Storage = boost::histogram::dense_storage<boost::histogram::accumulators::thread_safe<std::uint64_t>>;
    using Bounds = boost::histogram::axis::variable<double>;
    using Reasons = boost::histogram::axis::category<std::string>;
    template<typename Axis>
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

    /// A histogram with the sum that the exposition format asks for.
    struct Distribution
    {
        Histogram<Bounds> counts;
        std::atomic<std::uint64_t> sum{0};
    };

    Distribution m_latencyMicroseconds;
    Distribution m_waitingMicroseconds;
    Distribution m_inFlightAtStart;
    Distribution m_retries;
    Histogram<Reasons> m_refusals;
    std::array<std::atomic<std::uint64_t>, 3> m_outcomes{};
    std::atomic<std::int64_t> m_inFlight{0};
};

/// All request series of this host. Their number is bounded by what declare() was given and by the limits below,
/// whatever callers send: names that were not declared share the series "other".
class RequestMetrics
{
public:
    static constexpr std::size_t maximumTenants = 64;
    static constexpr std::size_t maximumClasses = 16;

    RequestMetrics();

    /// Sets the tenants and classes that have series of their own; series that stay keep their counts. Names beyond
    /// the limits share "other". Precondition: the thread holds a SnapshotReaderThread. Thread safety: from one thread
    /// at a time, beside all other members.
    void declare(const std::vector<TenantId> &tenants, const std::vector<ClassId> &classes);

    /// The series of a request; never null. It stays usable after a later declare().
    /// Precondition: the thread holds a SnapshotReaderThread. Thread safety: safe from any such thread; takes no lock.
    std::shared_ptr<RequestSeries> series(const TenantId &tenant, const ClassId &requestClass) const;

    /// Adds all series that have counted a request. Precondition and thread safety: as for series().
    void writeTo(ScrapeWriter &writer) const;

private:
    using SeriesByClass = std::map<std::string, std::shared_ptr<RequestSeries>, std::less<>>;
    using SeriesByTenant = std::map<std::string, SeriesByClass, std::less<>>;
    struct NamedSeries
    {
        std::string tenant;
        std::string requestClass;
        std::shared_ptr<const RequestSeries> series;
    };

    std::vector<NamedSeries> usedSeries() const;
    static void writeDistribution(ScrapeWriter &writer, const NamedSeries &named, const RequestSeries::Distribution &distribution, double unit);

    Snapshot<SeriesByTenant> m_series;
};

} // namespace Trefoil
