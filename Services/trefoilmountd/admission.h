#pragma once

#include <LibHttp/cancellation.h>
#include <LibSteering/admissionqueue.h>
#include <LibSteering/servicetimeestimate.h>
#include <Services/trefoilmountd/hoststate.h>
#include <Services/trefoilmountd/requestmodel.h>
#include <Services/trefoilmountd/slotsignal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <unordered_map>
#include <variant>

namespace Trefoil
{

/// A reserved dispatch and the route to its upstream.
struct ReadyDispatch
{
    Dispatch dispatch;
    UpstreamRoute route;
};

/// Why no slot of this region is available.
enum class SlotRejection {
    /// The region has no upstream of the service, is drained, or this host holds no grant.
    NoUpstream,
    LeaseExpired,
    RegionLimit,
    NoFreeSlot,
    ShiftCap,
};

using SlotDecision = std::variant<ReadyDispatch, SlotRejection>;
using AdmissionResult = std::variant<ReadyDispatch, NotRun>;

/// Admit and select filters of one worker: reserves a slot, or queues the request until a slot is free.
/// Thread safety: the worker's thread.
class Admission
{
public:
    /// Precondition: one thread runs context; all references outlive the object.
    Admission(boost::asio::io_context &context, HostState &state, SlotSignal &signal, std::size_t worker);

    /// Reserves a slot without waiting. Fails while requests of the same service are queued, which have precedence.
    /// Precondition: the thread holds a SnapshotReaderThread.
    SlotDecision tryReserve(const ClassifiedRequest &request);

    /// Waits for a slot until the deadline. Precondition: as for tryReserve(); cancellation may be null.
    AdmissionResult waitForSlot(const ClassifiedRequest &request, Cancellation *cancellation, const boost::asio::yield_context &yield);

    /// Dispatches queued requests to freed slots and wakes another worker. Precondition: called after each release of a slot.
    void slotFreed();

    /// Records the service time of an answered request; the queue rejects deadlines below the estimate. Precondition: time is not negative.
    void recordServiceTime(const ServiceId &service, std::chrono::nanoseconds time);

    /// Records the time of a request that was sent and had no response by its deadline. Precondition: as for recordServiceTime().
    void recordTimeout(const ServiceId &service, std::chrono::nanoseconds time);

    /// Converts a rejection to the end of a request. Thread safety: safe from any thread.
    static NotRun toNotRun(SlotRejection rejection);

private:
    struct Waiter
    {
        Waiter(boost::asio::io_context &context, const ClassifiedRequest &waitingRequest)
            : request(waitingRequest)
            , timer(context)
        {
        }

        const ClassifiedRequest &request;
        boost::asio::steady_timer timer;
        std::optional<AdmissionResult> result{};
    };

    struct ServiceQueue
    {
        ServiceQueue();

        AdmissionQueue queue;
        std::unordered_map<std::uint64_t, Waiter *> waiters;
        ServiceTimeEstimate serviceTime;
    };

    SlotDecision reserve(const ClassifiedRequest &request);
    void serveQueues();
    void serveQueue(ServiceQueue &service);
    static void finish(ServiceQueue &service, std::uint64_t ticket, AdmissionResult result);
    void startTicking();
    std::size_t waitingCount() const;

    boost::asio::io_context &m_context;
    HostState &m_state;
    SlotSignal &m_signal;
    std::size_t m_worker;
    pcg32 m_generator;
    std::map<ServiceId, ServiceQueue> m_services;
    std::uint64_t m_lastTicket = 0;
    bool m_ticking = false;
};

} // namespace Trefoil
