#include "loadplan.h"

namespace Trefoil::Load
{

namespace
{

Stream streamFromJson(const nlohmann::json &item)
{
    Stream stream;
    stream.name = item.at("name");
    stream.service = item.at("service");
    stream.tenant = item.at("tenant");
    stream.requestClass = item.at("class");
    stream.path = item.value("path", stream.path);
    stream.perSecond = item.at("perSecond");
    stream.isRepeatable = item.value("repeatable", stream.isRepeatable);
    stream.mayWait = item.value("mayWait", stream.mayWait);
    stream.deadline = std::chrono::milliseconds(item.value("deadlineMs", stream.deadline.count()));
    stream.bodyBytes = item.value("bodyBytes", stream.bodyBytes);
    stream.client = item.at("client");
    stream.sourceAddress = item.value("source", stream.sourceAddress);
    return stream;
}

} // namespace

Result<LoadPlan> loadPlanFromJson(const nlohmann::json &document)
{
    LoadPlan plan;
    try {
        plan.seed = document.value("seed", plan.seed);
        plan.duration = std::chrono::milliseconds(document.value("durationMs", plan.duration.count()));
        plan.hosts = document.at("hosts").get<std::vector<std::string>>();
        plan.maximumInFlight = document.value("maximumInFlight", plan.maximumInFlight);
        for (const auto &item : document.at("streams")) {
            plan.streams.push_back(streamFromJson(item));
        }
    } catch (const nlohmann::json::exception &error) {
        return Error{ErrorCode::InvalidInput, error.what()};
    }
    if (plan.hosts.empty()) {
        return Error{ErrorCode::InvalidInput, "\"hosts\" is empty"};
    }
    return plan;
}

} // namespace Trefoil::Load
