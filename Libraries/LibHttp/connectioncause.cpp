#include <LibHttp/connectioncause.h>

namespace Trefoil
{

std::string_view toText(ConnectionCause cause)
{
    switch (cause) {
    case ConnectionCause::FirstUse:
        return "first-use";
    case ConnectionCause::AllInUse:
        return "all-in-use";
    case ConnectionCause::IdleUnsuitable:
        return "idle-unsuitable";
    case ConnectionCause::IdleClosedByPeer:
        return "idle-closed-by-peer";
    case ConnectionCause::IdleClosedHere:
        return "idle-closed-here";
    case ConnectionCause::Limit:
        return "limit";
    case ConnectionCause::Failure:
        return "failure";
    case ConnectionCause::CloseAnnounced:
        return "close-announced";
    }
    return "unknown";
}

void ConnectionLosses::recordLoss(ConnectionCause cause)
{
    if (m_losses.size() >= s_maximumLosses) {
        m_losses.pop_front();
    }
    m_losses.push_back(cause);
}

ConnectionCause ConnectionLosses::recordOpened(std::size_t lossesBefore, bool hasIdle)
{
    if (!m_wasUsed) {
        m_wasUsed = true;
        return ConnectionCause::FirstUse;
    }
    const bool hasLostNow = m_losses.size() > lossesBefore;
    if (hasIdle && !hasLostNow) {
        return ConnectionCause::IdleUnsuitable;
    }
    if (m_losses.empty()) {
        return ConnectionCause::AllInUse;
    }
    const ConnectionCause cause = m_losses.back();
    m_losses.pop_back();
    return cause;
}

} // namespace Trefoil
