#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoil
{

/// One label of a metric. Values may hold any bytes; they are escaped.
struct MetricLabel
{
    std::string_view name;
    std::string_view value;
};

/// Builds text in the Prometheus exposition format 0.0.4.
/// Thread safety: one object for one thread at a time.
class ScrapeWriter
{
public:
    /// Starts a metric: writes its HELP and TYPE lines. Precondition: each name is started once; type is "counter", "gauge" or "histogram".
    void begin(std::string_view name, std::string_view type, std::string_view help);

    /// Adds one sample of the metric that was started last, with a suffix such as "_bucket" or none.
    /// Precondition: begin() was called.
    void sample(std::string_view suffix, const std::vector<MetricLabel> &labels, double value);

    /// The text so far. Precondition: none.
    const std::string &text() const;

private:
    std::string m_name;
    std::string m_text;
};

} // namespace Trefoil
