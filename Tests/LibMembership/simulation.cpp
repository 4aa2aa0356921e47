#include <LibMembership/simulation.h>

#include <fmt/format.h>

namespace Trefoil::Simulation
{

using nlohmann::json;

namespace
{

constexpr BootClock::duration s_tickInterval = std::chrono::milliseconds(100);
constexpr BootClock::duration s_checkInterval = std::chrono::milliseconds(10);
/// Maximum time until hosts apply a change of totals (design 2.5). Sums are not checked until it has passed twice.
constexpr BootClock::duration s_maximumConfigurationDelay = std::chrono::seconds(3);

std::size_t sizeOf(const PeerMessage &message)
{
    // The variant index stands for the message type; integers have their CBOR sizes.
    json array = json::array({message.index()});
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        array = {message.index(),
            heartbeat->sequence,
            heartbeat->incarnation.value(),
            heartbeat->epoch.value(),
            heartbeat->configuration.value(),
            heartbeat->freeSlots.value(),
            heartbeat->leaving};
    } else if (const auto *acknowledgement = std::get_if<HeartbeatAck>(&message)) {
        array = {
            message.index(), acknowledgement->sequence, acknowledgement->epoch.value(), acknowledgement->configuration.value(), acknowledgement->confirmed};
    }
    constexpr std::size_t websocketHeader = 6;
    return json::to_cbor(array).size() + websocketHeader;
}

std::vector<TableRow> rowsFrom(const json &list)
{
    std::vector<TableRow> rows;
    for (const auto &item : list) {
        rows.push_back({item["key"].get<std::string>(), item["version"].get<RowVersion>(), item["value"]});
    }
    return rows;
}

} // namespace

RegionId World::regionId(std::size_t region)
{
    return RegionId(fmt::format("region-{}", region));
}

World::World(WorldSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_resources(m_settings.resources)
    , m_resourcesSince(m_now)
{
    for (std::size_t region = 0; region < m_settings.regions; ++region) {
        for (std::size_t i = 0; i < m_settings.hostsPerRegion; ++i) {
            m_hosts[HostId(fmt::format("host-{}-{:03}", region, i))] = region;
        }
    }
    for (const auto &[host, region] : m_hosts) {
        at(m_now + between(BootClock::duration(0), m_settings.startSpread), [this, host = host, region = region] { start(host, region); });
    }
}

double World::chance()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

BootClock::duration World::between(BootClock::duration low, BootClock::duration high)
{
    return BootClock::duration(std::uniform_int_distribution<BootClock::rep>(low.count(), high.count())(m_random));
}

void World::at(BootTime time, std::function<void()> action)
{
    m_events.push({time, ++m_order, std::make_shared<std::function<void()>>(std::move(action))});
}

void World::runUntil(BootTime end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.time);
        if (m_now >= m_nextCheck) {
            check();
            m_nextCheck = m_now + s_checkInterval;
        }
        (*event.action)();
    }
    m_now = std::max(m_now, end);
}

std::vector<ListedHost> World::list() const
{
    std::vector<ListedHost> hosts;
    for (const auto &[host, region] : m_hosts) {
        hosts.push_back({host, regionId(region), ZoneId("zone"), "peer-" + host.value(), false});
    }
    return hosts;
}

Process &World::start(const HostId &host, std::size_t region)
{
    auto process = std::make_unique<Process>();
    Process &started = *process;
    started.host = host;
    started.region = region;
    MemberSettings settings;
    settings.host = host;
    settings.region = regionId(region);
    const std::size_t number = std::hash<HostId>{}(host);
    settings.zone = ZoneId(fmt::format("zone-{}-{}", region, number % m_settings.zonesPerRegion));
    settings.callerAddress = "caller-" + host.value();
    settings.peerAddress = "peer-" + host.value();
    settings.incarnation = Incarnation(++m_nextIncarnation);
    settings.seed = m_random();
    settings.usage = [&started](const ResourceId &resource) {
        const auto position = started.inUse.find(resource);
        return position == started.inUse.end() ? 0 : position->second;
    };
    settings.freeSlots = [] { return SlotCount(1); };
    started.member = std::make_unique<Member>(std::move(settings), m_now);
    started.member->setConfiguration(ConfigurationVersion(1), m_resources, m_now);
    if (m_settings.listed) {
        started.member->setHostList(list(), m_now);
    }
    m_current[host] = &started;
    m_processes.push_back(std::move(process));
    tick(started);
    return started;
}

void World::pause(Process &process, BootClock::duration duration)
{
    process.pausedUntil = std::max(process.pausedUntil, m_now + duration);
    at(process.pausedUntil, [this, &process] {
        if (m_now < process.pausedUntil) {
            return;
        }
        auto deferredActions = std::exchange(process.deferredActions, {});
        for (auto &action : deferredActions) {
            run(process, std::move(action));
        }
    });
}

void World::setResources(std::vector<Resource> resources)
{
    m_resources = std::move(resources);
    m_resourcesSince = m_now;
    for (const auto &process : m_processes) {
        at(m_now + between(BootClock::duration(0), s_maximumConfigurationDelay),
            [this, &member = *process] { run(member, [this, &member] { member.member->setConfiguration(ConfigurationVersion(2), m_resources, m_now); }); });
    }
}

void World::run(Process &process, std::function<void()> action)
{
    if (process.terminated) {
        return;
    }
    if (m_now < process.pausedUntil) {
        process.deferredActions.push_back(std::move(action));
        return;
    }
    action();
    carryOut(process);
}

void World::tick(Process &process)
{
    if (process.terminated) {
        return;
    }
    if (m_now >= process.pausedUntil) {
        process.member->tick(m_now);
        carryOut(process);
        updateUsage(process);
    }
    at(std::max(m_now + s_tickInterval, process.pausedUntil), [this, &process] { tick(process); });
}

void World::carryOut(Process &process)
{
    for (const MemberAction &action : process.member->takeActions()) {
        if (const auto *message = std::get_if<SendMessage>(&action)) {
            deliver(process, *message);
            continue;
        }
        request(process, std::get<StoreRequest>(action));
    }
}

BootClock::duration World::delay(std::size_t from, std::size_t to)
{
    const BootClock::duration base = from == to ? m_settings.delayInRegion : m_settings.delayBetweenRegions;
    return base + between(BootClock::duration(0), base / 2);
}

void World::deliver(Process &from, const SendMessage &message)
{
    from.messageBytes += sizeOf(message.message);
    ++from.messages;
    const auto target = m_current.find(message.to);
    if (target == m_current.end() || from.cutFromPeers) {
        return;
    }
    Process &to = *target->second;
    at(m_now + delay(from.region, to.region), [this, &to, sender = from.host, content = message.message] {
        if (!to.cutFromPeers) {
            run(to, [this, &to, sender, content] { to.member->receive(sender, content, m_now); });
        }
    });
}

bool World::admitWrite()
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count();
    if (second != m_writeSecond) {
        m_writeSecond = second;
        m_writesInSecond = 0;
    }
    if (m_writesInSecond >= static_cast<std::uint64_t>(m_settings.storeWritesPerSecond)) {
        ++m_rejectedWrites;
        return false;
    }
    ++m_writesInSecond;
    m_maximumWritesPerSecond = std::max(m_maximumWritesPerSecond, m_writesInSecond);
    return true;
}

StoreResponse World::execute(const StoreRequest &request)
{
    if (const auto *read = std::get_if<ReadRows>(&request.operation)) {
        const auto response = store.read({{"keys", read->keys}}, storeFaults.staleReads);
        return rowsFrom(json::parse(response.body)["rows"]);
    }
    if (!admitWrite()) {
        return Unavailable{"rate limit"};
    }
    const auto &transaction = std::get<Transaction>(request.operation);
    json body = {{"conditions", json::array()}, {"puts", json::array()}, {"deletes", transaction.deletes}};
    for (const auto &condition : transaction.conditions) {
        body["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
    }
    for (const auto &put : transaction.puts) {
        body["puts"].push_back({{"key", put.key}, {"value", put.value}});
    }
    const auto response = store.transact(json::parse(body.dump()));
    const json result = json::parse(response.body);
    if (response.status != 200) {
        return ConditionFailed{rowsFrom(result["failed"])};
    }
    Committed committed;
    for (const auto &[key, version] : result["versions"].items()) {
        committed.versions[key] = version.get<RowVersion>();
    }
    return committed;
}

void World::request(Process &process, const StoreRequest &request)
{
    const bool isWrite = std::holds_alternative<Transaction>(request.operation);
    ++(isWrite ? process.storeWrites : process.storeReads);
    const auto respond = [this, &process, id = request.id](const StoreResponse &result) {
        run(process, [this, &process, id, result] { process.member->handleStoreResponse(id, result, m_now); });
    };
    const auto fail = [this, respond, isWrite, deadline = request.deadline](bool mayHaveEffect) {
        at(std::max(m_now, deadline),
            [respond, isWrite, mayHaveEffect] { respond(isWrite && mayHaveEffect ? StoreResponse(Ambiguous{"lost"}) : StoreResponse(Unavailable{"lost"})); });
    };
    if (process.cutFromStore || storeFaults.down) {
        fail(false);
        return;
    }
    const BootClock::duration oneWay = delay(process.region, 0);
    const BootClock::duration extra =
        storeFaults.maximumDelay.count() == 0 ? BootClock::duration(0) : between(BootClock::duration(0), storeFaults.maximumDelay);
    const bool lost = chance() < storeFaults.responseLossRate;
    // For the client the attempt fails at the deadline; it may still take effect later.
    const bool late = m_now + 2 * oneWay + extra > request.deadline;
    if (late || lost) {
        fail(true);
    }
    at(m_now + oneWay + extra, [this, &process, request, respond, late, lost, oneWay] {
        const StoreResponse result = execute(request);
        if (late || lost || process.cutFromStore) {
            if (!late && !lost) {
                at(std::max(m_now, request.deadline), [respond] { respond(Ambiguous{"cut off"}); });
            }
            return;
        }
        at(m_now + oneWay, [respond, result] { respond(result); });
    });
}

void World::updateUsage(Process &process)
{
    const auto limits = process.member->limits(m_now);
    const bool canUse = m_now < process.member->leaseValidUntil();
    for (const Resource &resource : m_resources) {
        const auto entry = limits.find(resource.id);
        const std::int64_t limit = canUse && entry != limits.end() ? entry->second : 0;
        if (resource.window != Milliseconds(0)) {
            spend(process, resource, limit);
            continue;
        }
        std::int64_t &inUse = process.inUse[resource.id];
        // A host aborts its work in flight when its lease ends, well before its grants can be reclaimed.
        inUse = canUse ? inUse : 0;
        // At each tick work ends with a certain probability, so that usage decreases to a lowered limit within about a second.
        const bool ends = inUse > 0 && chance() < 0.2;
        inUse -= ends ? std::uniform_int_distribution<std::int64_t>(1, inUse)(m_random) : 0;
        if (inUse < limit && chance() < 0.7) {
            inUse = limit;
        }
    }
}

void World::spend(Process &process, const Resource &resource, std::int64_t limit)
{
    auto &spent = process.spent[resource.id];
    std::int64_t inWindow = 0;
    for (const auto &[time, amount] : spent) {
        inWindow += time > m_now - resource.window ? amount : 0;
    }
    if (inWindow < limit) {
        spent.emplace_back(m_now, limit - inWindow);
    }
    while (!spent.empty() && spent.front().first < m_now - 2 * resource.window) {
        spent.pop_front();
    }
}

std::int64_t World::usableSum(std::size_t region, const Resource &resource) const
{
    std::int64_t sum = 0;
    for (const auto &process : m_processes) {
        if (process->region != region || process->terminated || m_now >= process->member->leaseValidUntil()) {
            continue;
        }
        const auto limits = process->member->limits(m_now);
        const auto limit = limits.find(resource.id);
        const auto inUse = process->inUse.find(resource.id);
        const bool settled = m_now > m_resourcesSince + 3 * s_maximumConfigurationDelay;
        sum += std::max(limit == limits.end() ? 0 : limit->second, settled && inUse != process->inUse.end() ? inUse->second : 0);
    }
    return sum;
}

void World::checkWindow(std::size_t region, const Resource &resource)
{
    std::int64_t sum = 0;
    for (const auto &process : m_processes) {
        const auto spent = process->spent.find(resource.id);
        if (process->region != region || spent == process->spent.end()) {
            continue;
        }
        for (const auto &[time, amount] : spent->second) {
            sum += time > m_now - resource.window ? amount : 0;
        }
    }
    if (sum > resource.total) {
        m_violation = fmt::format(
            "at {} ms {} of {} were spent of {} in one interval", m_now.time_since_epoch().count() / 1000000, sum, resource.total, resource.id.value());
    }
}

void World::check()
{
    // A host that was paused while its lease was valid may apply a change up to one lease duration later.
    const bool settling = m_now <= m_resourcesSince + 2 * s_maximumConfigurationDelay;
    if (!m_violation.empty() || settling) {
        return;
    }
    for (std::size_t region = 0; region < m_settings.regions; ++region) {
        for (const Resource &resource : m_resources) {
            const std::int64_t sum = usableSum(region, resource);
            if (sum > resource.total) {
                m_violation = fmt::format("at {} ms {} of {} are usable of {} in region {}",
                    m_now.time_since_epoch().count() / 1000000,
                    sum,
                    resource.total,
                    resource.id.value(),
                    region);
                return;
            }
            if (resource.window != Milliseconds(0) && m_now > m_resourcesSince + 2 * s_maximumConfigurationDelay + resource.window) {
                checkWindow(region, resource);
            }
        }
    }
}

} // namespace Trefoil::Simulation
