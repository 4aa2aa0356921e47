#include <StandIns/faults.h>

#include <algorithm>
#include <map>

namespace Trefoil::StandIns
{

namespace
{

const std::map<std::string, FaultMode> &modes()
{
    static const std::map<std::string, FaultMode> names = {
        {"normal", FaultMode::Normal},
        {"down", FaultMode::Down},
        {"slow", FaultMode::Slow},
        {"lose-answers", FaultMode::LoseAnswers},
        {"stale-reads", FaultMode::StaleReads},
        {"frozen", FaultMode::Frozen},
        {"silent-connections", FaultMode::SilentConnections},
    };
    return names;
}

std::string modeName(FaultMode mode)
{
    const auto position = std::find_if(modes().begin(), modes().end(), [mode](const auto &entry) { return entry.second == mode; });
    return position->first;
}

bool isValidNumber(const nlohmann::json &request, const char *name)
{
    return !request.contains(name) || (request[name].is_number_integer() && request[name].get<std::int64_t>() >= 0);
}

} // namespace

Faults::Faults(RateLimits limits)
    : m_limits(limits)
{
}

std::string Faults::control(const nlohmann::json &request)
{
    if (!request.is_object()) {
        return "the request must be a JSON object";
    }
    for (const char *name : {"delayMs", "count", "writesPerSecond", "readsPerSecond"}) {
        if (!isValidNumber(request, name)) {
            return std::string(name) + " must be a number that is not negative";
        }
    }
    const std::string only = request.contains("only") && request["only"].is_string() ? request["only"].get<std::string>() : "";
    m_limits.writesPerSecond = request.value("writesPerSecond", m_limits.writesPerSecond);
    m_limits.readsPerSecond = request.value("readsPerSecond", m_limits.readsPerSecond);
    if (!request.contains("mode")) {
        return {};
    }
    const auto position = request["mode"].is_string() ? modes().find(request["mode"].get<std::string>()) : modes().end();
    if (position == modes().end()) {
        return "unknown mode";
    }
    m_readsOnly = only == "reads";
    m_writesOnly = only == "writes";
    m_remaining = request.value("count", std::int64_t{0});
    m_decision = {position->second, std::chrono::milliseconds(request.value("delayMs", 0))};
    if (m_decision.mode == FaultMode::SilentConnections) {
        ++m_silencedConnections;
    }
    return {};
}

nlohmann::json Faults::counters() const
{
    return {{"mode", modeName(m_decision.mode)},
        {"reads", m_reads.total},
        {"writes", m_writes.total},
        {"refused", m_refused},
        {"readsPerSecondMaximum", std::max(m_reads.maximum, m_reads.inSecond)},
        {"writesPerSecondMaximum", std::max(m_writes.maximum, m_writes.inSecond)}};
}

bool Faults::admit(Access access, Time now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        for (Counter *counter : {&m_reads, &m_writes}) {
            counter->maximum = std::max(counter->maximum, counter->inSecond);
            counter->inSecond = 0;
        }
    }
    Counter &counter = access == Access::Read ? m_reads : m_writes;
    const int limit = access == Access::Read ? m_limits.readsPerSecond : m_limits.writesPerSecond;
    if (counter.inSecond >= static_cast<std::uint64_t>(limit)) {
        ++m_refused;
        return false;
    }
    ++counter.inSecond;
    ++counter.total;
    return true;
}

FaultDecision Faults::next(Access access)
{
    const bool excluded = (m_readsOnly && access == Access::Write) || (m_writesOnly && access == Access::Read);
    if (m_decision.mode == FaultMode::Normal || excluded) {
        return {};
    }
    const FaultDecision decision = m_decision;
    if (m_remaining > 0 && --m_remaining == 0) {
        m_decision = {};
    }
    return decision;
}

} // namespace Trefoil::StandIns
