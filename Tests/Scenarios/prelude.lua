-- Words of the scenario language; docs/scenarios.md is the reference. Every word acts through "native", which
-- runner.cpp provides.

-- Statements about the scenario itself.

function proves(list)
    native.proves(list)
end

function limit(seconds)
    native.limit(seconds)
end

function seed(number)
    math.randomseed(number)
end

function note(text, ...)
    native.note(string.format(text, ...))
end

-- Expectations. A failed expectation is recorded and the scenario goes on; require_that ends it.

function expect(condition, text, ...)
    if not condition then
        native.fail(string.format(text, ...))
    end
    return condition
end

function require_that(condition, text, ...)
    if not condition then
        error(string.format(text, ...), 2)
    end
    return condition
end

function wait(seconds)
    native.sleep(seconds)
end

function now()
    return native.now()
end

-- Calls probe until it returns a true value; that value and the seconds it took, or nil after the limit.
function eventually(seconds, probe)
    local start = now()
    repeat
        local value = probe()
        if value then
            return value, now() - start
        end
        wait(0.02)
    until now() - start > seconds
    return nil, now() - start
end

-- Processes.

function start_process(name, program, arguments)
    native.start({ name = name, program = program, arguments = arguments })
end

local function for_each(names, action)
    if type(names) == "string" then
        names = { names }
    end
    for _, name in ipairs(names) do
        action(name)
    end
end

-- Returns when the processes have ended, so that they can be started again.
function kill(names)
    for_each(names, function(name) native.signal({ name = name, signal = "KILL" }) end)
    for_each(names, function(name) native.waitForExit({ name = name, limitMs = 5000 }) end)
end

function stop(names)
    for_each(names, function(name) native.signal({ name = name, signal = "TERM" }) end)
end

function freeze(names)
    for_each(names, function(name) native.signal({ name = name, signal = "STOP" }) end)
end

function resume(names)
    for_each(names, function(name) native.signal({ name = name, signal = "CONT" }) end)
end

-- The exit code, or nil when the process still runs after the limit.
function exit_code(name, seconds)
    return native.waitForExit({ name = name, limitMs = math.floor(seconds * 1000) })
end

function is_running(name)
    return native.isRunning({ name = name })
end

-- HTTP. call sends one request, call_all sends a list of requests at once.

function call_all(list)
    return native.http(list)
end

function call(request)
    return native.http({ request })[1]
end

function post_json(address, target, value, headers)
    return call({ method = "POST", address = address, target = target, body = native.encode(value), headers = headers })
end

-- Addresses.

function free_address(ip)
    return ip .. ":" .. native.freePort(ip)
end

-- Links. The proxy is started with the endpoints and listeners that were added before.

local proxy = { endpoints = {}, listeners = {} }

-- Declares a process at an IP number, with the groups it belongs to.
function endpoint(name, ip, groups)
    table.insert(proxy.endpoints, { name = name, ip = ip, groups = groups })
end

-- An address behind the proxy that leads to the given one.
function through_proxy(target)
    local ip = target:match("^(.*):")
    local listen = free_address(ip)
    table.insert(proxy.listeners, { listen = listen, target = target })
    return listen
end

function start_proxy()
    proxy.control = free_address("127.0.0.1")
    local path = native.writeFile({ name = "linkproxy.json", text = native.encode(proxy) })
    start_process("linkproxy", "linkproxy", { path })
    require_that(eventually(5, function() return call({ address = proxy.control, target = "/control" }).status == 200 end), "the link proxy does not start")
end

local function change_link(from, to, change)
    change.from = from
    change.to = to
    local reply = post_json(proxy.control, "/control", change)
    require_that(reply.status == 200, "link change refused: %s%s", reply.text, reply.error or "")
end

-- Both directions between two processes, zones or regions.
function delay(from, to, milliseconds)
    change_link(from, to, { mode = "normal", delayMs = milliseconds })
end

function cut(from, to)
    change_link(from, to, { mode = "cut" })
end

function silence(from, to)
    change_link(from, to, { mode = "silent" })
end

-- Open connections go silent for good; new ones work.
function silence_open(from, to)
    change_link(from, to, { mode = "silent", existingOnly = true })
end

function silence_one_way(from, to)
    change_link(from, to, { mode = "silent", oneWay = true })
end

function heal(from, to)
    change_link(from, to, { mode = "normal" })
end

function proxy_control()
    return proxy.control
end
