#include <LibSteering/coldstartramp.h>

namespace Trefoil
{

namespace
{

constexpr unsigned s_limitShift = 32;
constexpr std::uint64_t s_successMask = 0xffffffffU;
/// No grant is larger, so the limit stops growing here.
constexpr std::uint64_t s_maximumLimit = 1U << 20U;

} // namespace

SlotCount ColdStartRamp::limit() const
{
    return SlotCount(static_cast<std::int32_t>(m_state.load(std::memory_order_acquire) >> s_limitShift));
}

void ColdStartRamp::recordSuccess()
{
    std::uint64_t state = m_state.load(std::memory_order_acquire);
    while (true) {
        const std::uint64_t limit = state >> s_limitShift;
        if (limit >= s_maximumLimit) {
            return;
        }
        const std::uint64_t successes = (state & s_successMask) + 1;
        const std::uint64_t next = successes >= limit ? (limit * 2) << s_limitShift : (limit << s_limitShift) | successes;
        if (m_state.compare_exchange_weak(state, next, std::memory_order_acq_rel)) {
            return;
        }
    }
}

void ColdStartRamp::recordFailure()
{
    std::uint64_t state = m_state.load(std::memory_order_acquire);
    while (!m_state.compare_exchange_weak(state, state & ~s_successMask, std::memory_order_acq_rel)) { }
}

void ColdStartRamp::restart()
{
    m_state.store(std::uint64_t{1} << s_limitShift, std::memory_order_release);
}

} // namespace Trefoil
