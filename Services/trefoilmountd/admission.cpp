#include <Services/trefoilmountd/admission.h>

#include <random>
#include <utility>

namespace Trefoil
{

namespace asio = boost::asio;

namespace
{

/// Maximum number of requests that one worker queues for one service.
constexpr std::size_t s_queueCapacity = 512;
/// How often grants and deadlines are checked while requests are queued; freed slots are signalled immediately.
constexpr std::chrono::milliseconds s_tickInterval{2};

SlotRejection toSlotRejection(DispatchRejection rejection)
{
    switch (rejection) {
    case DispatchRejection::LeaseExpired:
        return SlotRejection::LeaseExpired;
    case DispatchRejection::RegionLimit:
        return SlotRejection::RegionLimit;
    case DispatchRejection::NoFreeSlot:
        return SlotRejection::NoFreeSlot;
    case DispatchRejection::ShiftCap:
        return SlotRejection::ShiftCap;
    }
    return SlotRejection::NoFreeSlot;
}

} // namespace

Admission::ServiceQueue::ServiceQueue()
    : queue(s_queueCapacity)
{
}

Admission::Admission(asio::io_context &context, HostState &state, SlotSignal &signal, std::size_t worker)
    : m_context(context)
    , m_state(state)
    , m_signal(signal)
    , m_worker(worker)
    , m_generator(std::random_device{}())
{
    m_signal.attach(worker, context, [this] { serveQueues(); });
}

NotRun Admission::toNotRun(SlotRejection rejection)
{
    switch (rejection) {
    case SlotRejection::NoUpstream:
        return {"no-upstream", "no upstream of the service may be used by this host"};
    case SlotRejection::LeaseExpired:
        return {"lease-expired", "this host may not dispatch at present"};
    case SlotRejection::RegionLimit:
        return {"no-slot", "the region limit is reached"};
    case SlotRejection::NoFreeSlot:
        return {"no-slot", "no upstream slot became free in time"};
    case SlotRejection::ShiftCap:
        return {"shift-cap", "the shift cap of the region is used up"};
    }
    return {"no-slot"};
}

SlotDecision Admission::reserve(const ClassifiedRequest &request)
{
    return m_state.routing.read([this, &request](const RoutingView &view) -> SlotDecision {
        const auto *service = view.findService(request.parsed.service);
        if (!service || !(*service)->gate) {
            return SlotRejection::NoUpstream;
        }
        auto decision = (*service)->gate->tryDispatch(request.moved, request.mayRepeat, m_state.lease, m_generator, BootClock::now());
        if (const auto *rejection = std::get_if<DispatchRejection>(&decision)) {
            return toSlotRejection(*rejection);
        }
        Dispatch &dispatch = std::get<Dispatch>(decision);
        const UpstreamRoute &route = (*service)->routes.at(dispatch.selection.upstream->id());
        return ReadyDispatch{std::move(dispatch), route};
    });
}

SlotDecision Admission::tryReserve(const ClassifiedRequest &request)
{
    const auto service = m_services.find(request.parsed.service);
    if (service != m_services.end() && service->second.queue.size() > 0) {
        return SlotRejection::NoFreeSlot;
    }
    return reserve(request);
}

AdmissionResult Admission::waitForSlot(const ClassifiedRequest &request, Cancellation *cancellation, const asio::yield_context &yield)
{
    ServiceQueue &service = m_services[request.parsed.service];
    const std::uint64_t ticket = ++m_lastTicket;
    const QueuedRequest queued{ticket, request.parsed.tenant, request.tenantWeight, request.mayWait, request.deadline};
    const PushResult pushed = service.queue.push(queued, BootClock::now());
    if (pushed.evicted) {
        finish(service, pushed.evicted->ticket, NotRun{"queue-full", "the place in the queue went to another tenant", 429});
    }
    if (pushed.outcome == PushOutcome::Full) {
        return NotRun{"queue-full", "the queue is full", 429};
    }
    if (pushed.outcome == PushOutcome::DeadlineTooClose) {
        return NotRun{"deadline", "the deadline can't be met at the present service time"};
    }
    Waiter waiter(m_context, request);
    service.waiters[ticket] = &waiter;
    m_signal.setWaiting(m_worker, true);
    startTicking();
    serveQueues();
    if (!waiter.result && cancellation) {
        cancellation->setHook([&service, &queued, ticket] {
            service.queue.cancel(queued);
            finish(service, ticket, NotRun{"cancelled", "the caller went away"});
        });
    }
    if (!waiter.result) {
        // The queue expires requests at their deadlines; this timeout covers a waiter that is no longer in the queue.
        boost::system::error_code ignored;
        waiter.timer.expires_after(request.deadline - BootClock::now() + std::chrono::seconds(1));
        waiter.timer.async_wait(yield[ignored]);
    }
    if (cancellation) {
        cancellation->setHook({});
    }
    service.waiters.erase(ticket);
    m_signal.setWaiting(m_worker, waitingCount() > 0);
    if (!waiter.result) {
        service.queue.cancel(queued);
        return toNotRun(SlotRejection::NoFreeSlot);
    }
    return std::move(*waiter.result);
}

void Admission::finish(ServiceQueue &service, std::uint64_t ticket, AdmissionResult result)
{
    const auto found = service.waiters.find(ticket);
    if (found == service.waiters.end() || found->second->result) {
        return;
    }
    found->second->result.emplace(std::move(result));
    found->second->timer.cancel();
}

void Admission::slotFreed()
{
    if (waitingCount() > 0) {
        serveQueues();
    }
    m_signal.slotFreed(m_worker);
}

void Admission::serveQueues()
{
    for (auto &[id, service] : m_services) {
        if (!service.waiters.empty()) {
            serveQueue(service);
        }
    }
}

void Admission::serveQueue(ServiceQueue &service)
{
    const BootTime now = BootClock::now();
    for (const QueuedRequest &queued : service.queue.expire(now)) {
        finish(service, queued.ticket, toNotRun(SlotRejection::NoFreeSlot));
    }
    // Requests from other regions that wait for the shift window must not block those of this region.
    std::vector<QueuedRequest> heldBack;
    while (const auto queued = service.queue.pop(now)) {
        const auto found = service.waiters.find(queued->ticket);
        if (found == service.waiters.end()) {
            continue;
        }
        SlotDecision decision = reserve(found->second->request);
        if (auto *ready = std::get_if<ReadyDispatch>(&decision)) {
            finish(service, queued->ticket, std::move(*ready));
            continue;
        }
        const SlotRejection rejection = std::get<SlotRejection>(decision);
        if (rejection == SlotRejection::ShiftCap) {
            heldBack.push_back(*queued);
            continue;
        }
        if (rejection == SlotRejection::NoUpstream || rejection == SlotRejection::LeaseExpired) {
            finish(service, queued->ticket, toNotRun(rejection));
            continue;
        }
        service.queue.requeue(*queued);
        break;
    }
    for (const QueuedRequest &queued : heldBack) {
        const PushResult pushed = service.queue.push(queued, now);
        if (pushed.outcome != PushOutcome::Queued) {
            finish(service, queued.ticket, toNotRun(SlotRejection::ShiftCap));
        }
        if (pushed.evicted) {
            finish(service, pushed.evicted->ticket, NotRun{"queue-full", "the place in the queue went to another tenant", 429});
        }
    }
}

void Admission::startTicking()
{
    if (m_ticking) {
        return;
    }
    m_ticking = true;
    asio::spawn(m_context, [this](const asio::yield_context &yield) {
        asio::steady_timer timer(m_context);
        while (waitingCount() > 0) {
            boost::system::error_code ignored;
            timer.expires_after(s_tickInterval);
            timer.async_wait(yield[ignored]);
            serveQueues();
        }
        m_ticking = false;
    });
}

std::size_t Admission::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[id, service] : m_services) {
        count += service.waiters.size();
    }
    return count;
}

void Admission::recordServiceTime(const ServiceId &service, std::chrono::nanoseconds time)
{
    ServiceQueue &measured = m_services[service];
    measured.serviceTime.record(time);
    measured.queue.setServiceTime(measured.serviceTime.likelyMaximum());
}

void Admission::recordTimeout(const ServiceId &service, std::chrono::nanoseconds time)
{
    ServiceQueue &measured = m_services[service];
    measured.serviceTime.recordTimeout(time);
    measured.queue.setServiceTime(measured.serviceTime.likelyMaximum());
}

} // namespace Trefoil
