#include "report.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace Trefoil
{

using nlohmann::json;

namespace
{

/// Columns that name what a row is about, in the order in which they lead a table.
constexpr std::array<const char *, 7> s_leadingColumns{"action", "subject", "upstream", "host", "tenant", "service", "region"};

std::string cell(const json &row, const std::string &column)
{
    const auto position = row.find(column);
    if (position == row.end() || position->is_null()) {
        return "-";
    }
    if (position->is_string()) {
        return position->get<std::string>();
    }
    if (position->is_boolean()) {
        return position->get<bool>() ? "yes" : "no";
    }
    return position->dump(-1, ' ', false, json::error_handler_t::replace);
}

std::size_t columnRank(const std::string &column)
{
    return static_cast<std::size_t>(std::find(s_leadingColumns.begin(), s_leadingColumns.end(), column) - s_leadingColumns.begin());
}

std::vector<std::string> columnsOf(const json &rows)
{
    std::vector<std::string> columns;
    for (const auto &row : rows) {
        for (const auto &member : row.items()) {
            if (std::find(columns.begin(), columns.end(), member.key()) == columns.end()) {
                columns.push_back(member.key());
            }
        }
    }
    std::sort(columns.begin(), columns.end(), [](const auto &a, const auto &b) { return std::make_pair(columnRank(a), a) < std::make_pair(columnRank(b), b); });
    return columns;
}

std::string textOf(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_string() ? object[name].get<std::string>() : std::string();
}

json listOf(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_array() ? object[name] : json::array();
}

std::string findingsText(const json &body)
{
    Findings findings;
    for (const auto &finding : listOf(body, "findings")) {
        findings.push_back({textOf(finding, "place"), textOf(finding, "message"), textOf(finding, "hint")});
    }
    return toText(findings);
}

std::string responseText(const json &body)
{
    const std::string status = textOf(body, "status");
    std::string text;
    if (status.empty()) {
        text = fmt::format("refused: {}\n", textOf(body, "message"));
    } else if (status != "answered") {
        const std::string version = body.contains("version") ? body["version"].dump() : "?";
        text = fmt::format("{}: {} (version {})\n", status, textOf(body, "message"), version);
    }
    text += findingsText(body);
    const json changes = listOf(body, "changes");
    if (!changes.empty()) {
        text += tableText(changes);
    }
    for (const auto &table : listOf(body, "tables")) {
        text += fmt::format("{}\n{}", textOf(table, "title"), tableText(listOf(table, "rows")));
    }
    return text;
}

ToolExit exitOf(int status)
{
    switch (status) {
    case 200:
        return ToolExit::Done;
    case 202:
    case 504:
        return ToolExit::OutcomeOpen;
    case 400:
    case 413:
        return ToolExit::BadInput;
    default:
        return ToolExit::Refused;
    }
}

Report failure(const char *status, const std::string &message, ToolExit exit, bool asJson)
{
    if (asJson) {
        return {json{{"status", status}, {"message", message}}.dump(2, ' ', false, json::error_handler_t::replace) + "\n", exit};
    }
    return {fmt::format("{}: {}\n", status, message), exit};
}

} // namespace

std::string tableText(const json &rows)
{
    if (rows.empty()) {
        return "  (nothing)\n";
    }
    const std::vector<std::string> columns = columnsOf(rows);
    std::vector<std::size_t> widths;
    widths.reserve(columns.size());
    for (const auto &column : columns) {
        std::size_t width = column.size();
        for (const auto &row : rows) {
            width = std::max(width, cell(row, column).size());
        }
        widths.push_back(width);
    }
    const auto line = [&](const auto &cellText) {
        std::string text;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            text += fmt::format("  {:<{}}", cellText(columns[i]), widths[i]);
        }
        text.erase(text.find_last_not_of(' ') + 1);
        return text + "\n";
    };
    std::string text = line([](const std::string &column) { return column; });
    for (const auto &row : rows) {
        text += line([&row](const std::string &column) { return cell(row, column); });
    }
    return text;
}

Report makeReport(const AdministrationResult &result, bool asJson)
{
    if (const auto *unreachable = std::get_if<NoHostReachable>(&result)) {
        return failure("unreachable", unreachable->message, ToolExit::Unreachable, asJson);
    }
    if (const auto *unknown = std::get_if<ChangeOutcomeUnknown>(&result)) {
        return failure("unknown", unknown->message, ToolExit::OutcomeOpen, asJson);
    }
    const auto &response = std::get<AdministrationResponse>(result);
    if (!response.body.is_object()) {
        return failure("refused", fmt::format("the host responded {} without JSON", response.status), ToolExit::Refused, asJson);
    }
    if (asJson) {
        return {response.body.dump(2, ' ', false, json::error_handler_t::replace) + "\n", exitOf(response.status)};
    }
    return {responseText(response.body), exitOf(response.status)};
}

Report makeReport(const Error &error, bool asJson)
{
    if (!asJson) {
        return {toText(error.findings), ToolExit::BadInput};
    }
    json findings = json::array();
    for (const auto &finding : error.findings) {
        findings.push_back({{"place", finding.place}, {"message", finding.message}, {"hint", finding.hint}});
    }
    const json body = {{"status", "invalid"}, {"message", error.message}, {"findings", std::move(findings)}};
    return {body.dump(2, ' ', false, json::error_handler_t::replace) + "\n", ToolExit::BadInput};
}

} // namespace Trefoil
