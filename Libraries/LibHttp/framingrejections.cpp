#include <LibHttp/framingrejections.h>

namespace Trefoil
{

void FramingRejections::writeTo(ScrapeWriter &writer) const
{
    writer.begin("trefoil_rejected_framings_total", "counter", "Requests that were rejected because their end can't be told for certain, by reason.");
    for (std::size_t i = 0; i < s_framingFaultCount; ++i) {
        const auto fault = static_cast<FramingFault>(i);
        writer.sample("", {{"reason", toText(fault)}}, static_cast<double>(of(fault)));
    }
}

} // namespace Trefoil
