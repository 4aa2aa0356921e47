#pragma once

#include <LibConfiguration/configuration.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The operators' command language as typed values; docs/commands.md holds its grammar.
namespace Trefoil
{

/// A position in the text of the commands; both numbers start at 1, columns count bytes.
struct SourcePlace
{
    int line = 1;
    int column = 1;
};

/// A name as it stands in the text, with its place for findings.
struct SourceName
{
    std::string text;
    SourcePlace place;
};

enum class EntityKind {
    Region,
    Zone,
    Link,
    Service,
    Upstream,
    Class,
    Tenant,
    Block,
};

/// The keyword of a kind in the language. Precondition: none. Thread safety: safe from any thread.
const char *entityKeyword(EntityKind kind);

/// What is named: a kind with its name, and for a link the region at its other end.
struct EntityName
{
    EntityKind kind = EntityKind::Region;
    SourceName name;
    SourceName linkTo;
};

/// The members that a command gives; absent ones keep their value, or get the default in a declaration.
struct RegionProperties
{
    std::optional<std::int32_t> limitPercent;
};
struct ZoneProperties
{
    std::optional<SourceName> region;
};
struct LinkProperties
{
    std::optional<Milliseconds> delay;
    std::optional<KilobitsPerSecond> capacity;
};
struct ServiceProperties
{
    std::optional<Objective> objective;
    std::optional<ShiftCap> shiftCap;
};
struct UpstreamProperties
{
    std::optional<SourceName> service;
    std::optional<SourceName> region;
    std::optional<SourceName> zone;
    std::optional<std::string> address;
    std::optional<SlotCount> slots;
    std::optional<ConnectionCount> connections;
    std::optional<std::int32_t> weight;
};
struct ClassProperties
{
    std::optional<bool> mayWait;
    std::optional<bool> mayRepeat;
    std::optional<Milliseconds> deadline;
    std::optional<Milliseconds> progressTimeout;
};
struct TenantProperties
{
    std::optional<std::int32_t> weight;
};
struct BlockProperties
{
    std::optional<SourceName> region;
};

using Properties =
    std::variant<RegionProperties, ZoneProperties, LinkProperties, ServiceProperties, UpstreamProperties, ClassProperties, TenantProperties, BlockProperties>;

struct DeclareCommand
{
    EntityName entity;
    Properties properties;
};

struct SetCommand
{
    EntityName entity;
    Properties properties;
};

struct RemoveCommand
{
    EntityName entity;
};

/// Drains a region, zone or upstream, or ends its drain.
struct DrainCommand
{
    EntityName entity;
    bool drained = true;
};

enum class ShowSubject {
    Configuration,
    Services,
    Upstreams,
    Hosts,
    Traffic,
    Grants,
};

/// Shows a table; for upstreams, traffic and grants of one service when one is named.
struct ShowCommand
{
    ShowSubject subject = ShowSubject::Configuration;
    std::optional<SourceName> service;
};

/// Asks why recent requests of a tenant or service went where they went.
struct WhyCommand
{
    EntityName entity;
    std::optional<SourceName> region;
};

/// Asks whether the rest could carry the work of a drained part.
struct WhatIfCommand
{
    DrainCommand drain;
};

using Command = std::variant<DeclareCommand, SetCommand, RemoveCommand, DrainCommand, ShowCommand, WhyCommand, WhatIfCommand>;

/// True for a command that changes the configuration. Precondition: none. Thread safety: safe from any thread.
bool isChange(const Command &command);

} // namespace Trefoil
