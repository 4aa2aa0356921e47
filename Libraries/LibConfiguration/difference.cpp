#include <LibConfiguration/difference.h>

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace Trefoil
{

namespace
{

using Members = std::map<std::string, std::string>;
using Subjects = std::map<std::string, Members>;

std::string text(bool value)
{
    return value ? "yes" : "no";
}

std::string text(Milliseconds value)
{
    return fmt::format("{}ms", value.count());
}

void addRegions(const Configuration &configuration, Subjects &subjects)
{
    for (const auto &region : configuration.regions) {
        subjects["region " + region.id.value()] = {{"limit", fmt::format("{}%", region.limitPercent)}, {"drained", text(region.drained)}};
        for (const auto &zone : region.zones) {
            subjects["zone " + zone.id.value()] = {{"region", region.id.value()}, {"drained", text(zone.drained)}};
        }
    }
}

void addLinks(const Configuration &configuration, Subjects &subjects)
{
    for (const auto &link : configuration.links) {
        subjects[fmt::format("link {} to {}", link.from.value(), link.to.value())] = {
            {"delay", text(link.delay)}, {"capacity", fmt::format("{}kbps", link.capacity.value())}};
    }
}

void addServices(const Configuration &configuration, Subjects &subjects)
{
    for (const auto &service : configuration.services) {
        subjects["service " + service.id.value()] = {{"objective", service.objective == Objective::Latency ? "latency" : "headroom"},
            {"cap", fmt::format("{}/{}", service.shiftCap.requests.value(), text(service.shiftCap.interval))}};
        for (const auto &upstream : service.upstreams) {
            subjects["upstream " + upstream.id.value()] = {{"service", service.id.value()},
                {"region", upstream.region.value()},
                {"zone", upstream.zone.value()},
                {"address", upstream.address},
                {"slots", std::to_string(upstream.slots.value())},
                {"connections", std::to_string(upstream.connections.value())},
                {"weight", std::to_string(upstream.weight)},
                {"drained", text(upstream.drained)}};
        }
    }
}

void addClassesAndTenants(const Configuration &configuration, Subjects &subjects)
{
    for (const auto &requestClass : configuration.classes) {
        subjects["class " + requestClass.id.value()] = {{"may-wait", text(requestClass.mayWait)},
            {"may-repeat", text(requestClass.mayRepeat)},
            {"deadline", text(requestClass.defaultDeadline)},
            {"progress-timeout", text(requestClass.progressTimeout)}};
    }
    for (const auto &tenant : configuration.tenants) {
        subjects["tenant " + tenant.id.value()] = {{"weight", std::to_string(tenant.weight)}};
    }
}

Subjects subjectsOf(const Configuration &configuration)
{
    Subjects subjects;
    addRegions(configuration, subjects);
    addLinks(configuration, subjects);
    addServices(configuration, subjects);
    addClassesAndTenants(configuration, subjects);
    return subjects;
}

std::string allMembers(const Members &members)
{
    std::string result;
    for (const auto &[name, value] : members) {
        result += fmt::format("{}{} {}", result.empty() ? "" : " ", name, value);
    }
    return result;
}

void compareMembers(const std::string &subject, const Members &before, const Members &after, std::vector<ConfigurationChange> &changes)
{
    for (const auto &[name, value] : after) {
        const std::string &former = before.at(name);
        if (former != value) {
            changes.push_back({ChangeAction::Changed, subject, name, former, value});
        }
    }
}

void compareSubjects(const Subjects &before, const Subjects &after, std::vector<ConfigurationChange> &changes)
{
    for (const auto &[subject, members] : before) {
        const auto match = after.find(subject);
        if (match == after.end()) {
            changes.push_back({ChangeAction::Removed, subject, "", allMembers(members), ""});
            continue;
        }
        compareMembers(subject, members, match->second, changes);
    }
    for (const auto &[subject, members] : after) {
        if (before.count(subject) == 0) {
            changes.push_back({ChangeAction::Added, subject, "", "", allMembers(members)});
        }
    }
}

using BlockPointers = std::vector<const ClientBlockConfiguration *>;

BlockPointers sortedBlocks(const Configuration &configuration)
{
    BlockPointers blocks;
    blocks.reserve(configuration.clientBlocks.size());
    for (const auto &block : configuration.clientBlocks) {
        blocks.push_back(&block);
    }
    std::sort(blocks.begin(), blocks.end(), [](const auto *a, const auto *b) { return a->block < b->block; });
    return blocks;
}

/// Client blocks number up to 850,000, too many to copy their members for the comparison; sorted pointers suffice.
void compareBlocks(const BlockPointers &before, const BlockPointers &after, std::vector<ConfigurationChange> &changes)
{
    auto former = before.begin();
    auto later = after.begin();
    while (former != before.end() || later != after.end()) {
        const bool isRemoved = later == after.end() || (former != before.end() && (*former)->block < (*later)->block);
        const bool isAdded = !isRemoved && (former == before.end() || (*later)->block < (*former)->block);
        if (isRemoved) {
            changes.push_back({ChangeAction::Removed, "block " + (*former)->block, "", "region " + (*former)->region.value(), ""});
            ++former;
            continue;
        }
        if (isAdded) {
            changes.push_back({ChangeAction::Added, "block " + (*later)->block, "", "", "region " + (*later)->region.value()});
            ++later;
            continue;
        }
        if ((*former)->region != (*later)->region) {
            changes.push_back({ChangeAction::Changed, "block " + (*later)->block, "region", (*former)->region.value(), (*later)->region.value()});
        }
        ++former;
        ++later;
    }
}

const char *actionName(ChangeAction action)
{
    switch (action) {
    case ChangeAction::Added:
        return "added";
    case ChangeAction::Removed:
        return "removed";
    case ChangeAction::Changed:
        return "changed";
    }
    return "changed";
}

} // namespace

std::vector<ConfigurationChange> difference(const Configuration &before, const Configuration &after)
{
    std::vector<ConfigurationChange> changes;
    compareSubjects(subjectsOf(before), subjectsOf(after), changes);
    compareBlocks(sortedBlocks(before), sortedBlocks(after), changes);
    std::sort(changes.begin(), changes.end(), [](const auto &a, const auto &b) { return std::tie(a.subject, a.field) < std::tie(b.subject, b.field); });
    return changes;
}

nlohmann::json toJson(const std::vector<ConfigurationChange> &changes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &change : changes) {
        list.push_back(
            {{"action", actionName(change.action)}, {"subject", change.subject}, {"field", change.field}, {"before", change.before}, {"after", change.after}});
    }
    return list;
}

std::string toText(const std::vector<ConfigurationChange> &changes)
{
    if (changes.empty()) {
        return "no difference\n";
    }
    std::size_t subjectWidth = 0;
    std::size_t fieldWidth = 0;
    for (const auto &change : changes) {
        subjectWidth = std::max(subjectWidth, change.subject.size());
        fieldWidth = std::max(fieldWidth, change.field.size());
    }
    std::string result;
    for (const auto &change : changes) {
        const std::string values = change.action == ChangeAction::Changed ? fmt::format("{} -> {}", change.before, change.after) : change.before + change.after;
        result += fmt::format("{:<7}  {:<{}}  {:<{}}  {}\n", actionName(change.action), change.subject, subjectWidth, change.field, fieldWidth, values);
    }
    return result;
}

} // namespace Trefoil
