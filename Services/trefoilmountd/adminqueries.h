#pragma once

#include <Services/trefoilmountd/hoststate.h>

#include <LibCommand/command.h>
#include <LibCommand/whatif.h>
#include <LibCore/result.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Trefoil
{

/// Functions that return the data of queries from other services. A query whose function is not set is unavailable.
/// All are called on the control thread and return an array of flat objects, the rows of a table.
struct QuerySources
{
    std::function<nlohmann::json(const std::optional<ServiceId> &service)> traffic;
    std::function<nlohmann::json(const std::optional<ServiceId> &service)> grants;
    /// Recent requests of a tenant or service with their regions and reasons.
    std::function<nlohmann::json(const WhyCommand &query)> why;
};

/// Answers operators' queries with tables.
/// Thread safety: control thread only.
class AdminQueries
{
public:
    /// Precondition: state outlives the object; the control thread holds a SnapshotReaderThread.
    AdminQueries(const HostState &state, QuerySources sources);

    /// The table of one query: {"title", "rows"}. Precondition: the command is not a change.
    Result<nlohmann::json> answer(const Command &query) const;

private:
    Result<nlohmann::json> rows(const ShowCommand &query) const;
    Result<nlohmann::json> rows(const WhyCommand &query) const;
    Result<nlohmann::json> rows(const WhatIfCommand &query) const;
    Result<nlohmann::json> rowsOfService(const std::function<nlohmann::json(const std::optional<ServiceId> &)> &source, const ShowCommand &query) const;

    const HostState &m_state;
    QuerySources m_sources;
};

} // namespace Trefoil
