#pragma once

#include "connection.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <vector>

namespace Trefoil::Review
{

/// Stand-in for the platform's store: rows, their feed and transactions, without faults. Thread safety: safe from any thread.
class Store
{
public:
    explicit Store(const std::string &ip);

    /// Writes a row with an empty part as an operator or an upstream would. Precondition: none.
    void set(const std::string &table, const std::string &key, const nlohmann::json &value);

    /// Precondition: none.
    void remove(const std::string &table, const std::string &key);

    /// IP:port. Precondition: none.
    const std::string &address() const
    {
        return m_listener.address();
    }

private:
    struct Row
    {
        std::string table;
        std::string key;
        /// In base64.
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;

        nlohmann::json toJson() const;
    };

    void serve(Connection &connection);
    std::pair<int, nlohmann::json> answer(const Message &request);
    nlohmann::json readTable(const std::string &target);
    nlohmann::json awaitChanges(const std::string &target);
    std::pair<int, nlohmann::json> transact(const nlohmann::json &transaction);
    void apply(Row row);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_version = 1;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::vector<Row> m_history;
    /// Last, since it serves connections at once.
    Listener m_listener;
};

} // namespace Trefoil::Review
