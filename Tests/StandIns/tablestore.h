#pragma once

#include <StandIns/platformserver.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Trefoil::StandIns
{

/// Rows of the transactional table service, without the network, so that tests in virtual time can use it too.
/// Versions come from one counter for all rows and never repeat, also when a row is deleted and created again.
/// Thread safety: one thread at a time.
class TableStore
{
public:
    /// Body of POST /v1/table/transact; returns the response.
    ServiceReply transact(const nlohmann::json &request);
    /// Body of POST /v1/table/read.
    ServiceReply read(const nlohmann::json &request, bool stale = false) const;
    /// Body of POST /v1/table/scan.
    ServiceReply scan(const nlohmann::json &request, bool stale = false) const;

    /// Keeps the present rows for stale reads.
    void rememberState();

    /// Handles a request of the table service's HTTP interface.
    ServiceReply handle(const ServiceRequest &request, bool staleRead);

private:
    struct Row
    {
        std::uint64_t version = 0;
        nlohmann::json value;
    };

    static nlohmann::json rowToJson(const std::string &key, const Row &row);
    nlohmann::json failedConditions(const nlohmann::json &conditions) const;

    std::map<std::string, Row> m_rows;
    std::map<std::string, Row> m_remembered;
    std::uint64_t m_lastVersion = 0;
};

/// The table service; the store must outlive the server.
PlatformService tableService(TableStore &store);

} // namespace Trefoil::StandIns
