-- Words for a whole deployment: the platform's stand-ins, upstreams and hosts, each on a loopback address of its own and
-- known to others by an address behind the link proxy.

local ADMIN_SECRET = "scenario-admin-secret"
local PEER_SECRET = "scenario-peer-secret"
-- A host joins, gets its lease confirmed and takes its grants; a windowed grant is first used one interval later.
local READY_LIMIT = 30

local deployed

local function defaults(options, values)
    for name, value in pairs(values) do
        if options[name] == nil then
            options[name] = value
        end
    end
    return options
end

-- Lays out a deployment; nothing is started. Options and defaults are in docs/scenarios.md.
function deployment(options)
    defaults(options, {
        regions = { "gulf", "plains", "hill" }, hosts = 2, zones = 2, threads = 1, blocks = 1, delay_ms = 0, link = "4Gbps",
        classes = { browse = "may-repeat yes deadline 3s progress-timeout 1s", order = "may-repeat no deadline 3s progress-timeout 1s",
            batch = "may-wait yes may-repeat yes deadline 5s progress-timeout 1s" },
        tenants = { "museum", "school" },
        services = { { id = "catalogue-svc" } },
    })
    local network = native.network()
    local layout = { options = options, network = network, hosts = {}, host_names = {}, upstreams = {}, upstream_names = {}, regions = options.regions }
    deployed = layout

    local platform_ip = network .. ".200.1"
    endpoint("platform", platform_ip, { "store" })
    layout.platform = { table = free_address(platform_ip), objects = free_address(platform_ip), host_list = free_address(platform_ip) }
    layout.platform_via = {}
    for name, address in pairs(layout.platform) do
        layout.platform_via[name] = through_proxy(address)
    end

    for r, region in ipairs(options.regions) do
        endpoint("callers-" .. region, network .. "." .. (220 + r) .. ".1", { "callers" })
        for h = 1, options.hosts do
            local zone = region .. "-" .. string.char(96 + (h - 1) % options.zones + 1)
            local name = region .. "-host-" .. h
            local ip = network .. "." .. r .. "." .. h
            endpoint(name, ip, { zone, region, "hosts", region .. "-hosts" })
            local host = { name = name, region = region, zone = zone, ip = ip, caller = free_address(ip), peer = free_address(ip), admin = free_address(ip) }
            host.caller_via = through_proxy(host.caller)
            host.peer_via = through_proxy(host.peer)
            layout.hosts[name] = host
            table.insert(layout.host_names, name)
        end
        local number = 0
        for _, service in ipairs(options.services) do
            defaults(service, { upstreams = 2, slots = 4, connections = 360, objective = "latency", cap = "1000/1s", work_ms = 5 })
            local count = type(service.upstreams) == "table" and service.upstreams[r] or service.upstreams
            for _ = 1, count do
                number = number + 1
                local name = string.format("%s-%s-%d", service.id, region, number)
                local zone = region .. "-" .. string.char(96 + (number - 1) % options.zones + 1)
                local ip = network .. "." .. (100 + r) .. "." .. number
                endpoint(name, ip, { zone, region, "upstreams", region .. "-upstreams", service.id })
                local upstream = { name = name, service = service.id, region = region, zone = zone, ip = ip, address = free_address(ip),
                    slots = service.slots, connections = service.connections, work_ms = service.work_ms }
                upstream.via = through_proxy(upstream.address)
                layout.upstreams[name] = upstream
                table.insert(layout.upstream_names, name)
            end
        end
    end
    return layout
end

-- The commands that declare the deployment's configuration.
function declaration()
    local options = deployed.options
    local lines = {}
    local function line(...)
        table.insert(lines, string.format(...))
    end
    for _, region in ipairs(options.regions) do
        line("declare region %s", region)
        for z = 1, options.zones do
            line("declare zone %s-%s region %s", region, string.char(96 + z), region)
        end
    end
    for _, from in ipairs(options.regions) do
        for _, to in ipairs(options.regions) do
            if from ~= to then
                line("declare link %s to %s delay %dms capacity %s", from, to, options.delay_ms, options.link)
            end
        end
    end
    for _, service in ipairs(options.services) do
        line("declare service %s objective %s cap %s", service.id, service.objective, service.cap)
    end
    for _, name in ipairs(deployed.upstream_names) do
        local upstream = deployed.upstreams[name]
        line("declare upstream %s service %s region %s zone %s address %s slots %d connections %d", name, upstream.service, upstream.region, upstream.zone,
            upstream.via, upstream.slots, upstream.connections)
    end
    local names = {}
    for name in pairs(options.classes) do
        table.insert(names, name)
    end
    table.sort(names)
    for _, name in ipairs(names) do
        line("declare class %s %s", name, options.classes[name])
    end
    for _, tenant in ipairs(options.tenants) do
        line("declare tenant %s", tenant)
    end
    for r, region in ipairs(options.regions) do
        for b = 1, options.blocks do
            line("declare block 198.%d.%d.0/24 region %s", 50 + b, r, region)
        end
    end
    return table.concat(lines, "\n")
end

-- A client address whose home is the region, in the first or the given one of the region's blocks.
function client_of(region, block)
    for r, name in ipairs(deployed.options.regions) do
        if name == region then
            return string.format("198.%d.%d.7", 50 + (block or 1), r)
        end
    end
    error("unknown region " .. region)
end

local function is_answering(address, target)
    return function()
        return call({ address = address, target = target, timeoutMs = 500 }).status == 200
    end
end

function start_platform()
    start_process("platform", "standinplatform", { deployed.platform.table, deployed.platform.objects, deployed.platform.host_list })
    require_that(eventually(5, is_answering(deployed.platform.host_list, "/v1/hosts")), "the platform's stand-ins do not start")
    local hosts, upstreams = {}, {}
    for _, name in ipairs(deployed.host_names) do
        local host = deployed.hosts[name]
        table.insert(hosts, { id = name, region = host.region, zone = host.zone, address = host.peer_via, state = "live" })
    end
    for _, name in ipairs(deployed.upstream_names) do
        table.insert(upstreams, { id = name, state = "live" })
    end
    platform_control("host_list", { list = { hosts = hosts, upstreams = upstreams } })
end

-- Injects a fault into "table", "objects" or "host_list", for example {mode = "slow", delayMs = 500}.
function platform_control(part, change)
    local reply = post_json(deployed.platform[part], "/control", change)
    require_that(reply.status == 200, "%s refuses a control request: %s%s", part, reply.text, reply.error or "")
    return reply.json
end

function platform_counters(part)
    return call({ address = deployed.platform[part], target = "/control" }).json
end

function start_upstream(name)
    local upstream = deployed.upstreams[name]
    start_process(name, "standin", { "upstream", "--listen", upstream.address, "--name", name, "--slots", upstream.slots, "--connections", upstream.connections,
        "--service-time-us", math.floor(upstream.work_ms * 1000) })
end

function start_upstreams()
    for _, name in ipairs(deployed.upstream_names) do
        start_upstream(name)
    end
    for _, name in ipairs(deployed.upstream_names) do
        require_that(eventually(10, is_answering(deployed.upstreams[name].address, "/v1/load")), "%s does not start", name)
    end
end

function upstream_control(name, change)
    local reply = post_json(deployed.upstreams[name].address, "/control", change)
    require_that(reply.status == 200, "%s refuses a control request: %s%s", name, reply.text, reply.error or "")
end

function upstream_counters(name)
    return call({ address = deployed.upstreams[name].address, target = "/control" }).json
end

-- Sum of a counter over all upstreams, or over those of a region or service.
function upstream_sum(counter, region, service)
    local sum = 0
    for _, name in ipairs(deployed.upstream_names) do
        local upstream = deployed.upstreams[name]
        if is_running(name) and (region == nil or upstream.region == region) and (service == nil or upstream.service == service) then
            sum = sum + upstream_counters(name)[counter]
        end
    end
    return sum
end

-- Fails when a non-repeatable request ran twice, or one ran that was reported as not run. Keys are counted over all
-- upstreams: each answered key ran, so any further one must have been reported as unknown or lost.
-- Keys that ran before the traffic are left out of the count.
function expect_at_most_once(result, already)
    local distinct = -(already or 0)
    for name, counters in pairs(all_upstream_counters()) do
        distinct = distinct + counters.distinctKeys
        for key, times in pairs(counters.repeatedKeys) do
            expect(false, "%s ran %d times at %s", key, times, name)
        end
    end
    local ended = #result.keys.answered
    local open = #result.keys.unknown + #result.keys.lost
    expect(distinct >= ended, "%d keys ran, but %d were answered", distinct, ended)
    expect(distinct <= ended + open, "%d keys ran: %d were answered, %d are unknown, so %d ran twice or were reported as not run", distinct, ended, open,
        distinct - ended - open)
end

-- Fails when an upstream worked on more requests or had more connections at once than it has room for.
function expect_no_overload()
    for name, counters in pairs(all_upstream_counters()) do
        local upstream = deployed.upstreams[name]
        expect(counters.highestConcurrency <= upstream.slots, "%s worked on %d requests at once, it has %d slots", name, counters.highestConcurrency, upstream.slots)
        expect(counters.shed == 0, "%s refused %d requests for lack of slots", name, counters.shed)
        expect(counters.highestConnections <= upstream.connections, "%s had %d connections, %d are allowed", name, counters.highestConnections,
            upstream.connections)
    end
end

-- Counters of all upstreams that run, by name.
function all_upstream_counters()
    local counters = {}
    for _, name in ipairs(deployed.upstream_names) do
        if is_running(name) then
            counters[name] = upstream_counters(name)
        end
    end
    return counters
end

-- Starts a host and returns at once.
function start_host(name)
    local host = deployed.hosts[name]
    local via = deployed.platform_via
    local admin_secret = native.writeFile({ name = name .. ".admin-secret", text = ADMIN_SECRET .. "\n" })
    local peer_secret = native.writeFile({ name = name .. ".peer-secret", text = PEER_SECRET .. "\n" })
    local peers = {}
    for _, other in ipairs(deployed.host_names) do
        if other ~= name then
            table.insert(peers, deployed.hosts[other].peer_via)
        end
    end
    start_process(name, "trefoilmountd", {
        "--host-id", name, "--region", host.region, "--zone", host.zone, "--caller-address", host.caller, "--peer-address", host.peer,
        "--admin-address", host.admin, "--advertised-caller-address", host.caller_via, "--advertised-peer-address", host.peer_via, "--source-address", host.ip,
        "--table-address", via.table, "--object-address", via.objects, "--host-list-address", via.host_list, "--peers", table.concat(peers, ","),
        "--admin-secret-file", admin_secret, "--peer-secret-file", peer_secret, "--threads", deployed.options.threads })
end

-- Starts a host's request path with fixed grants, without control loops, claims and peers.
function start_static_host(name)
    local host = deployed.hosts[name]
    local hosts = {}
    for _, other in ipairs(deployed.host_names) do
        local known = deployed.hosts[other]
        table.insert(hosts, { id = other, region = known.region, zone = known.zone, callerAddress = known.caller_via })
    end
    local plan = native.writeFile({ name = name .. ".plan.json", text = native.encode({ host = name, region = host.region, zone = host.zone,
        callerAddress = host.caller, sourceAddress = host.ip, threads = deployed.options.threads, hosts = hosts, commands = declaration() }) })
    start_process(name, "statichost", { plan })
end

-- A deployment of such hosts, ready when every host answers a request.
function start_static_deployment()
    start_proxy()
    start_upstreams()
    for _, name in ipairs(deployed.host_names) do
        start_static_host(name)
    end
    wait_until_ready(deployed.host_names)
end

function admin_call(name, method, target, value)
    return call({ method = method, address = deployed.hosts[name].admin, target = target, body = value and native.encode(value) or "",
        headers = { Authorization = "Bearer " .. ADMIN_SECRET }, timeoutMs = 10000 })
end

function status_of(name)
    local reply = admin_call(name, "GET", "/v1/status")
    return reply.status == 200 and reply.json or nil
end

function start_hosts()
    for _, name in ipairs(deployed.host_names) do
        start_host(name)
    end
    for _, name in ipairs(deployed.host_names) do
        require_that(eventually(READY_LIMIT, function() return status_of(name) end), "%s does not answer its administration address", name)
    end
end

-- Sends commands to a host; several hosts at once with commands_at_once({{host, text}, ...}).
local function command_request(name, text, base_version, dry_run)
    return { method = "POST", address = deployed.hosts[name].admin, target = "/v1/commands", timeoutMs = 15000,
        body = native.encode({ text = text, baseVersion = base_version, dryRun = dry_run or false }),
        headers = { Authorization = "Bearer " .. ADMIN_SECRET } }
end

function version_of(name)
    local reply = admin_call(name, "GET", "/v1/configuration")
    return reply.status == 200 and reply.json.version or nil
end

function command(name, text, base_version)
    return call(command_request(name, text, base_version or version_of(name)))
end

function commands_at_once(list)
    local requests = {}
    for _, item in ipairs(list) do
        table.insert(requests, command_request(item[1], item[2], item[3] or version_of(item[1])))
    end
    return call_all(requests)
end

-- Starts everything, declares the first configuration and waits until every host may dispatch.
function start_deployment()
    start_proxy()
    start_platform()
    start_upstreams()
    start_hosts()
    local first = deployed.host_names[1]
    local reply
    require_that(eventually(READY_LIMIT, function()
        reply = command(first, declaration(), 0)
        -- Hosts that start together may not know each other yet; then the first version is pending, and wait_until_ready sees it arrive.
        return reply.status == 200 or reply.status == 202
    end), "the first configuration was not accepted: %s", reply and (reply.text .. (reply.error or "")))
    wait_until_ready(deployed.host_names)
    return reply
end

-- A declared class whose requests may repeat.
local function repeatable_class()
    for class, properties in pairs(deployed.options.classes) do
        if properties:find("may-repeat yes", 1, true) then
            return class
        end
    end
end

-- One probe from each region's callers, until all are answered.
function wait_until_ready(names)
    for _, name in ipairs(names) do
        local last
        require_that(eventually(READY_LIMIT, function()
            last = request({ host = name, class = repeatable_class() })
            return last.headers and last.headers["trefoil-outcome"] == "answered"
        end), "%s does not dispatch: %s", name, last and (last.text .. (last.error or "")))
    end
end

local request_number = 0

-- A new key of a non-repeatable request.
function new_key()
    request_number = request_number + 1
    local milliseconds = native.unixMilliseconds()
    return string.format("%d-%d-%d", milliseconds // 1000, milliseconds % 1000, request_number)
end

-- The HTTP request of a caller. Fields: host, service, class, tenant, key, deadline_ms, may_wait, path, body.
function caller_request(fields)
    local host = deployed.hosts[fields.host]
    request_number = request_number + 1
    local headers = {
        ["Trefoil-Tenant"] = fields.tenant or deployed.options.tenants[1], ["Trefoil-Class"] = fields.class or (fields.key and "order" or "browse"),
        ["Trefoil-Deadline-Ms"] = tostring(fields.deadline_ms or 2000), ["Trefoil-May-Wait"] = fields.may_wait and "yes" or "no",
        ["Trefoil-Repeat"] = fields.key and "never" or "safe", ["Trefoil-Client"] = client_of(fields.home or host.region), ["Content-Type"] = "application/json" }
    if fields.key then
        headers["Idempotency-Key"] = fields.key
    end
    return { method = "POST", address = host.caller_via, source = deployed.network .. ".221.1", headers = headers,
        target = string.format("/v1/requests/%s/%s", fields.service or deployed.options.services[1].id, fields.path or "work"),
        body = fields.body or native.encode({ nonce = "n" .. request_number }), timeoutMs = (fields.deadline_ms or 2000) + 1000 }
end

function request(fields)
    return call(caller_request(fields))
end

-- Sends many requests at once.
function requests_at_once(list)
    local prepared = {}
    for _, fields in ipairs(list) do
        table.insert(prepared, caller_request(fields))
    end
    return call_all(prepared)
end

function outcome_of(reply)
    return reply.headers and reply.headers["trefoil-outcome"] or ("no response: " .. (reply.error or tostring(reply.status)))
end

-- Traffic in the background from the load tool. Each stream names its region; the other fields are those of the plan.
function start_traffic(name, seconds, streams, seed_number)
    local hosts = {}
    for _, host in ipairs(deployed.host_names) do
        table.insert(hosts, deployed.hosts[host].caller_via)
    end
    for _, stream in ipairs(streams) do
        stream.client = stream.client or client_of(stream.region)
        for r, region in ipairs(deployed.options.regions) do
            if region == stream.region then
                stream.source = deployed.network .. "." .. (220 + r) .. ".1"
            end
        end
        defaults(stream, { service = deployed.options.services[1].id, tenant = deployed.options.tenants[1], class = "browse", perSecond = 20 })
        stream.name = string.format("%s-%s-%s", stream.class, stream.region, stream.tenant)
        stream.region = nil
    end
    local plan = native.writeFile({ name = name .. ".plan.json",
        text = native.encode({ seed = seed_number or 1, durationMs = math.floor(seconds * 1000), hosts = hosts, streams = streams }) })
    start_process(name, "loadtool", { plan, (plan:gsub("%.plan%.json$", ".result.json")) })
end

-- Waits for the traffic's end; its result as docs/scenarios.md describes it.
function traffic_result(name, seconds)
    require_that(exit_code(name, seconds), "the traffic %s does not end", name)
    return require_that(native.decode(native.readFile(name .. ".result.json")), "the traffic %s left no result", name)
end

-- Fails for requests that were lost or wrong, and when nothing was answered.
function expect_sound(result)
    expect(result.totals.lost == 0, "%d requests were lost: %s", result.totals.lost, native.encode(result.details))
    expect(result.totals.wrong == 0, "%d responses were wrong: %s", result.totals.wrong, native.encode(result.details))
    expect(result.totals.answered > 0, "no request was answered: %s", native.encode(result.details))
end
