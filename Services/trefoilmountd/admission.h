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

/// A request that may be sent now, and where to.
struct ReadyDispatch
{
    Dispatch dispatch;
    UpstreamRoute route;
};

/// Why no slot of this region can be had now.
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

/// Admit and select filters of one worker: reserves a slot, or queues the request until one is free.
/// Thread safety: the worker's thread.
class Admission
{
public:
    /// Precondition: one thread runs context; all references outlive the object.
    Admission(boost::asio::io_context &context, HostState &state, SlotSignal &signal, std::size_t worker);

    /// Reserves a slot without waiting. A request behind queued ones of its service gets none.
    /// Precondition: the thread holds a SnapshotReaderThread.
    SlotDecision tryReserve(const ClassifiedRequest &request);

    /// Waits for a slot until the deadline. Precondition: as for tryReserve(); cancellation may be null.
    AdmissionResult waitForSlot(const ClassifiedRequest &request, Cancellation *cancellation, const boost::asio::yield_context &yield);

    /// Gives queued requests the slots that became free. Precondition: called after each release of a slot.
    void slotFreed();

    /// Takes the time of a request that was answered, for the estimate of what can still be met. Precondition: time is not negative.
    void recordServiceTime(const ServiceId &service, std::chrono::nanoseconds time);

    /// The same for a request that was sent and had no response by its deadline. Precondition: as for recordServiceTime().
    void recordTimeout(const ServiceId &service, std::chrono::nanoseconds time);

    /// The refusal as the end of a request. Thread safety: safe from any thread.
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
