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
    }
    return "unknown";
}

void ConnectionEvents::writeTo(ScrapeWriter &writer) const
{
    writer.begin("trefoil_caller_connection_events_total", "counter", "Connections and responses of callers that a planned stop or a failed write ended.");
    for (std::size_t i = 0; i < s_connectionEventCount; ++i) {
        const auto event = static_cast<ConnectionEvent>(i);
        writer.sample("", {{"event", toText(event)}}, static_cast<double>(of(event)));
    }
}

} // namespace Trefoil
