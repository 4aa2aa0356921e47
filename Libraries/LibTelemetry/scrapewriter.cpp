#include <LibTelemetry/scrapewriter.h>

#include <fmt/format.h>
#include <iterator>

namespace Trefoil
{

namespace
{

std::string escaped(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '\\' || character == '"') {
            text += '\\';
        }
        text += character;
    }
    return text;
}

} // namespace

void ScrapeWriter::begin(std::string_view name, std::string_view type, std::string_view help)
{
    m_name = name;
    fmt::format_to(std::back_inserter(m_text), "# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void ScrapeWriter::sample(std::string_view suffix, const std::vector<MetricLabel> &labels, double value)
{
    m_text += m_name;
    m_text += suffix;
    const char *separator = "{";
    for (const auto &label : labels) {
        fmt::format_to(std::back_inserter(m_text), "{}{}=\"{}\"", separator, label.name, escaped(label.value));
        separator = ",";
    }
    fmt::format_to(std::back_inserter(m_text), "{} {}\n", labels.empty() ? "" : "}", value);
}

const std::string &ScrapeWriter::text() const
{
    return m_text;
}

} // namespace Trefoil
