#include <LibHttp/connectionevents.h>

namespace Trefoil
{

std::string_view toText(ConnectionEvent event)
{
    switch (event) {
    case ConnectionEvent::ResponseNotWritten:
        return "response-not-written";
    case ConnectionEvent::ClosedIdle:
        return "closed-idle";
    case ConnectionEvent::AcceptedLate:
        return "accepted-late";
    case ConnectionEvent::EndedForRoom:
        return "ended-for-room";
    case ConnectionEvent::RejectedAtLimit:
        return "rejected-at-limit";
    }
    return "unknown";
}

void ConnectionEvents::writeTo(ScrapeWriter &writer) const
{
    writer.begin("trefoil_caller_connection_events_total",
        "counter",
        "Connections and responses of callers that a planned stop, a failed write or the connection limit ended.");
    for (std::size_t i = 0; i < s_connectionEventCount; ++i) {
        const auto event = static_cast<ConnectionEvent>(i);
        writer.sample("", {{"event", toText(event)}}, static_cast<double>(of(event)));
    }
}

} // namespace Trefoil
