#include <LibCommand/apply.h>

#include <LibCommand/parser.h>
#include <LibConfiguration/validation.h>

#include <algorithm>
#include <fmt/format.h>
#include <unordered_map>

namespace Trefoil
{

namespace
{

template<typename Item>
Item *findById(std::vector<Item> &items, const std::string &id)
{
    const auto position = std::find_if(items.begin(), items.end(), [&id](const Item &item) { return item.id.value() == id; });
    return position == items.end() ? nullptr : &*position;
}

template<typename Item>
std::vector<std::string> namesOf(const std::vector<Item> &items)
{
    std::vector<std::string> names;
    names.reserve(items.size());
    for (const auto &item : items) {
        names.push_back(item.id.value());
    }
    return names;
}

template<typename Item>
void eraseById(std::vector<Item> &items, const std::string &id)
{
    items.erase(std::remove_if(items.begin(), items.end(), [&id](const Item &item) { return item.id.value() == id; }), items.end());
}

template<typename Value, typename Target>
void assign(const std::optional<Value> &value, Target &target)
{
    if (value) {
        target = *value;
    }
}

/// Applies commands to its own copy of a configuration and collects findings.
class Applier
{
public:
    explicit Applier(const Configuration &base)
        : m_result(base)
    {
    }

    Result<Configuration> run(const std::vector<Command> &commands)
    {
        for (const auto &command : commands) {
            std::visit([this](const auto &value) { apply(value); }, command);
        }
        checkRemovals();
        compactBlocks();
        if (m_findings.empty()) {
            m_findings = validate(m_result);
        }
        if (!m_findings.empty()) {
            return Error{ErrorCode::InvalidInput, "the change cannot be applied", std::move(m_findings)};
        }
        m_result.version = ConfigurationVersion(m_result.version.value() + 1);
        return std::move(m_result);
    }

private:
    void apply(const ShowCommand & /*query*/)
    {
    }
    void apply(const WhyCommand & /*query*/)
    {
    }
    void apply(const WhatIfCommand & /*query*/)
    {
    }

    void apply(const DeclareCommand &command)
    {
        if (exists(command.entity)) {
            add(command.entity.name, fmt::format("{} is already declared", describe(command.entity)), "use \"set\" to change it");
            return;
        }
        std::visit([&](const auto &properties) { declare(command.entity, properties); }, command.properties);
    }

    void apply(const SetCommand &command)
    {
        if (require(command.entity)) {
            std::visit([&](const auto &properties) { set(command.entity, properties); }, command.properties);
        }
    }

    void apply(const RemoveCommand &command)
    {
        if (!require(command.entity)) {
            return;
        }
        remove(command.entity);
        m_removed.push_back(command.entity);
    }

    void apply(const DrainCommand &command)
    {
        if (!require(command.entity)) {
            return;
        }
        const std::string &name = command.entity.name.text;
        if (command.entity.kind == EntityKind::Region) {
            findById(m_result.regions, name)->drained = command.drained;
        } else if (command.entity.kind == EntityKind::Zone) {
            findZone(name)->drained = command.drained;
        } else {
            findUpstream(name)->drained = command.drained;
        }
    }

    // Look-up

    ZoneConfiguration *findZone(const std::string &name)
    {
        for (auto &region : m_result.regions) {
            if (auto *zone = findById(region.zones, name)) {
                return zone;
            }
        }
        return nullptr;
    }

    UpstreamConfiguration *findUpstream(const std::string &name)
    {
        for (auto &service : m_result.services) {
            if (auto *upstream = findById(service.upstreams, name)) {
                return upstream;
            }
        }
        return nullptr;
    }

    LinkConfiguration *findLink(const EntityName &entity)
    {
        auto &links = m_result.links;
        const auto position = std::find_if(links.begin(), links.end(), [&entity](const LinkConfiguration &link) {
            return link.from.value() == entity.name.text && link.to.value() == entity.linkTo.text;
        });
        return position == links.end() ? nullptr : &*position;
    }

    ClientBlockConfiguration *findBlock(const std::string &block)
    {
        if (!m_blocksIndexed) {
            for (std::size_t i = 0; i < m_result.clientBlocks.size(); ++i) {
                m_blockIndex.emplace(m_result.clientBlocks[i].block, i);
            }
            m_blocksIndexed = true;
        }
        const auto position = m_blockIndex.find(block);
        return position == m_blockIndex.end() ? nullptr : &m_result.clientBlocks[position->second];
    }

    bool exists(const EntityName &entity)
    {
        const std::string &name = entity.name.text;
        switch (entity.kind) {
        case EntityKind::Region:
            return findById(m_result.regions, name) != nullptr;
        case EntityKind::Zone:
            return findZone(name) != nullptr;
        case EntityKind::Link:
            return findLink(entity) != nullptr;
        case EntityKind::Service:
            return findById(m_result.services, name) != nullptr;
        case EntityKind::Upstream:
            return findUpstream(name) != nullptr;
        case EntityKind::Class:
            return findById(m_result.classes, name) != nullptr;
        case EntityKind::Tenant:
            return findById(m_result.tenants, name) != nullptr;
        case EntityKind::Block:
            return findBlock(name) != nullptr;
        }
        return false;
    }

    std::vector<std::string> knownNames(EntityKind kind) const
    {
        std::vector<std::string> names;
        switch (kind) {
        case EntityKind::Region:
            return namesOf(m_result.regions);
        case EntityKind::Zone:
            for (const auto &region : m_result.regions) {
                const auto zones = namesOf(region.zones);
                names.insert(names.end(), zones.begin(), zones.end());
            }
            return names;
        case EntityKind::Service:
            return namesOf(m_result.services);
        case EntityKind::Upstream:
            for (const auto &service : m_result.services) {
                const auto upstreams = namesOf(service.upstreams);
                names.insert(names.end(), upstreams.begin(), upstreams.end());
            }
            return names;
        case EntityKind::Class:
            return namesOf(m_result.classes);
        case EntityKind::Tenant:
            return namesOf(m_result.tenants);
        case EntityKind::Link:
        case EntityKind::Block:
            return names;
        }
        return names;
    }

    static std::string describe(const EntityName &entity)
    {
        if (entity.kind == EntityKind::Link) {
            return fmt::format("link {} to {}", entity.name.text, entity.linkTo.text);
        }
        return fmt::format("{} \"{}\"", entityKeyword(entity.kind), entity.name.text);
    }

    void add(const SourceName &name, std::string message, std::string hint = {})
    {
        m_findings.push_back({toText(name.place), std::move(message), std::move(hint)});
    }

    bool require(const EntityName &entity)
    {
        if (exists(entity)) {
            return true;
        }
        add(entity.name, fmt::format("unknown {}", describe(entity)), nearestNameHint(entity.name.text, knownNames(entity.kind)));
        return false;
    }

    bool requireReference(EntityKind kind, const std::optional<SourceName> &name)
    {
        return !name || require(EntityName{kind, *name, {}});
    }

    // Declarations

    void declare(const EntityName &entity, const RegionProperties &properties)
    {
        RegionConfiguration region;
        region.id = RegionId(entity.name.text);
        m_result.regions.push_back(region);
        set(entity, properties);
    }

    void declare(const EntityName &entity, const ZoneProperties &properties)
    {
        if (!requireReference(EntityKind::Region, properties.region)) {
            return;
        }
        ZoneConfiguration zone;
        zone.id = ZoneId(entity.name.text);
        findById(m_result.regions, properties.region->text)->zones.push_back(zone);
    }

    void declare(const EntityName &entity, const LinkProperties &properties)
    {
        const bool endsExist = requireReference(EntityKind::Region, entity.name) & requireReference(EntityKind::Region, entity.linkTo);
        if (!endsExist) {
            return;
        }
        if (entity.name.text == entity.linkTo.text) {
            add(entity.linkTo, "a link needs two different regions");
            return;
        }
        LinkConfiguration link;
        link.from = RegionId(entity.name.text);
        link.to = RegionId(entity.linkTo.text);
        m_result.links.push_back(link);
        set(entity, properties);
    }

    void declare(const EntityName &entity, const ServiceProperties &properties)
    {
        ServiceConfiguration service;
        service.id = ServiceId(entity.name.text);
        m_result.services.push_back(service);
        set(entity, properties);
    }

    void declare(const EntityName &entity, const UpstreamProperties &properties)
    {
        if (!requireReference(EntityKind::Service, properties.service)) {
            return;
        }
        UpstreamConfiguration upstream;
        upstream.id = UpstreamId(entity.name.text);
        findById(m_result.services, properties.service->text)->upstreams.push_back(upstream);
        set(entity, properties);
    }

    void declare(const EntityName &entity, const ClassProperties &properties)
    {
        ClassConfiguration requestClass;
        requestClass.id = ClassId(entity.name.text);
        m_result.classes.push_back(requestClass);
        set(entity, properties);
    }

    void declare(const EntityName &entity, const TenantProperties &properties)
    {
        TenantConfiguration tenant;
        tenant.id = TenantId(entity.name.text);
        m_result.tenants.push_back(tenant);
        set(entity, properties);
    }

    void declare(const EntityName &entity, const BlockProperties &properties)
    {
        if (!requireReference(EntityKind::Region, properties.region)) {
            return;
        }
        m_blockIndex.emplace(entity.name.text, m_result.clientBlocks.size());
        m_result.clientBlocks.push_back({entity.name.text, RegionId(properties.region->text)});
    }

    // Changes of members

    void set(const EntityName &entity, const RegionProperties &properties)
    {
        assign(properties.limitPercent, findById(m_result.regions, entity.name.text)->limitPercent);
    }

    void set(const EntityName &entity, const ZoneProperties &properties)
    {
        if (!requireReference(EntityKind::Region, properties.region)) {
            return;
        }
        const ZoneConfiguration zone = *findZone(entity.name.text);
        for (auto &region : m_result.regions) {
            eraseById(region.zones, zone.id.value());
        }
        findById(m_result.regions, properties.region->text)->zones.push_back(zone);
    }

    void set(const EntityName &entity, const LinkProperties &properties)
    {
        LinkConfiguration &link = *findLink(entity);
        assign(properties.delay, link.delay);
        assign(properties.capacity, link.capacity);
    }

    void set(const EntityName &entity, const ServiceProperties &properties)
    {
        ServiceConfiguration &service = *findById(m_result.services, entity.name.text);
        assign(properties.objective, service.objective);
        assign(properties.shiftCap, service.shiftCap);
    }

    void set(const EntityName &entity, const UpstreamProperties &properties)
    {
        UpstreamConfiguration &upstream = *findUpstream(entity.name.text);
        if (properties.region && requireReference(EntityKind::Region, properties.region)) {
            upstream.region = RegionId(properties.region->text);
        }
        if (properties.zone && requireReference(EntityKind::Zone, properties.zone)) {
            upstream.zone = ZoneId(properties.zone->text);
        }
        assign(properties.address, upstream.address);
        assign(properties.slots, upstream.slots);
        assign(properties.connections, upstream.connections);
        assign(properties.weight, upstream.weight);
        checkZoneOfUpstream(entity, upstream, properties);
        if (properties.service && requireReference(EntityKind::Service, properties.service)) {
            moveUpstream(upstream.id, properties.service->text);
        }
    }

    void checkZoneOfUpstream(const EntityName &entity, const UpstreamConfiguration &upstream, const UpstreamProperties &properties)
    {
        auto *region = findById(m_result.regions, upstream.region.value());
        if (region == nullptr || findZone(upstream.zone.value()) == nullptr || findById(region->zones, upstream.zone.value()) != nullptr) {
            return;
        }
        const SourceName &place = properties.zone ? *properties.zone : properties.region ? *properties.region : entity.name;
        add(place,
            fmt::format("region \"{}\" has no availability zone \"{}\"", upstream.region.value(), upstream.zone.value()),
            nearestNameHint(upstream.zone.value(), namesOf(region->zones)));
    }

    void moveUpstream(const UpstreamId &id, const std::string &service)
    {
        const UpstreamConfiguration upstream = *findUpstream(id.value());
        for (auto &candidate : m_result.services) {
            eraseById(candidate.upstreams, id.value());
        }
        findById(m_result.services, service)->upstreams.push_back(upstream);
    }

    void set(const EntityName &entity, const ClassProperties &properties)
    {
        ClassConfiguration &requestClass = *findById(m_result.classes, entity.name.text);
        assign(properties.mayWait, requestClass.mayWait);
        assign(properties.mayRepeat, requestClass.mayRepeat);
        assign(properties.deadline, requestClass.defaultDeadline);
        assign(properties.progressTimeout, requestClass.progressTimeout);
    }

    void set(const EntityName &entity, const TenantProperties &properties)
    {
        assign(properties.weight, findById(m_result.tenants, entity.name.text)->weight);
    }

    void set(const EntityName &entity, const BlockProperties &properties)
    {
        if (requireReference(EntityKind::Region, properties.region)) {
            findBlock(entity.name.text)->region = RegionId(properties.region->text);
        }
    }

    // Removals

    void remove(const EntityName &entity)
    {
        const std::string &name = entity.name.text;
        switch (entity.kind) {
        case EntityKind::Region:
            eraseById(m_result.regions, name);
            return;
        case EntityKind::Zone:
            for (auto &region : m_result.regions) {
                eraseById(region.zones, name);
            }
            return;
        case EntityKind::Link:
            m_result.links.erase(m_result.links.begin() + (findLink(entity) - m_result.links.data()));
            return;
        case EntityKind::Service:
            eraseById(m_result.services, name);
            return;
        case EntityKind::Upstream:
            for (auto &service : m_result.services) {
                eraseById(service.upstreams, name);
            }
            return;
        case EntityKind::Class:
            eraseById(m_result.classes, name);
            return;
        case EntityKind::Tenant:
            eraseById(m_result.tenants, name);
            return;
        case EntityKind::Block:
            // The entry stays until the end, so that the index keeps its positions.
            findBlock(name)->block.clear();
            m_blockIndex.erase(name);
            return;
        }
    }

    void compactBlocks()
    {
        auto &blocks = m_result.clientBlocks;
        blocks.erase(std::remove_if(blocks.begin(), blocks.end(), [](const ClientBlockConfiguration &block) { return block.block.empty(); }), blocks.end());
    }

    /// References are checked after all commands, so that parts of a region can be removed in any order.
    void checkRemovals()
    {
        for (const auto &entity : m_removed) {
            const std::string user = exists(entity) ? "" : userOf(entity);
            if (!user.empty()) {
                add(entity.name, fmt::format("{} is still used by {}", describe(entity), user), "remove or move that too");
            }
        }
    }

    std::string userOf(const EntityName &entity)
    {
        const std::string &name = entity.name.text;
        const bool isRegion = entity.kind == EntityKind::Region;
        if (!isRegion && entity.kind != EntityKind::Zone) {
            return {};
        }
        for (const auto &service : m_result.services) {
            for (const auto &upstream : service.upstreams) {
                if ((isRegion ? upstream.region.value() : upstream.zone.value()) == name) {
                    return fmt::format("upstream \"{}\"", upstream.id.value());
                }
            }
        }
        return isRegion ? userOfRegion(name) : std::string();
    }

    std::string userOfRegion(const std::string &name)
    {
        for (const auto &link : m_result.links) {
            if (link.from.value() == name || link.to.value() == name) {
                return fmt::format("link {} to {}", link.from.value(), link.to.value());
            }
        }
        for (const auto &block : m_result.clientBlocks) {
            if (!block.block.empty() && block.region.value() == name) {
                return fmt::format("block \"{}\"", block.block);
            }
        }
        return {};
    }

    Configuration m_result;
    Findings m_findings;
    std::vector<EntityName> m_removed;
    std::unordered_map<std::string, std::size_t> m_blockIndex;
    bool m_blocksIndexed = false;
};

} // namespace

Result<Configuration> applyCommands(const Configuration &base, const std::vector<Command> &commands)
{
    return Applier(base).run(commands);
}

} // namespace Trefoil
