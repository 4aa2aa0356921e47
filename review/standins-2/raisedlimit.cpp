#include "deployment.h"

#include <cstdlib>
#include <iostream>

/// Case 6: the operator raises the limit of a request's header; callers keep their connections.
/// Arguments: folder for temporary files, file of the record. Exit code 1 when the rule DENIED was broken, 0 when it held, 2 when the case couldn't run.
namespace
{

using namespace Review;
using namespace std::chrono_literals;

constexpr std::size_t s_earlierLimit = 16384;
constexpr std::size_t s_raisedLimit = 65536;
/// Below the raised limit, above the earlier one.
constexpr std::size_t s_longField = 20000;
constexpr int s_callers = 24;
constexpr int s_upstreams = 4;
constexpr std::chrono::milliseconds s_requestInterval{250};
/// When the operator changes the configuration, counted from the start of the callers.
constexpr std::chrono::milliseconds s_changeAt{2000};
/// From when on callers make use of the raised limit: the change, config_apply (2 s), contact (3 s) and a second more.
constexpr std::chrono::milliseconds s_longFrom{8000};
constexpr std::chrono::milliseconds s_end{12000};
constexpr const char *s_service = "orders";

struct Counts
{
    int sent = 0;
    int served = 0;
    int denied = 0;
    int other = 0;
};

struct Run
{
    asio::io_context &context;
    Record &record;
    Host &host;
    std::chrono::steady_clock::time_point start;
    Counts counts{};
    int callersLeft = s_callers;

    std::chrono::steady_clock::duration elapsed() const
    {
        return std::chrono::steady_clock::now() - start;
    }
};

Request order(const std::string &id, bool isLong)
{
    Request request(http::verb::post, "/orders/" + id, 11, "order");
    request.set(http::field::host, "jepu9.example");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", "3000");
    if (isLong) {
        request.set(http::field::cookie, std::string(s_longField, 'c'));
    }
    request.prepare_payload();
    return request;
}

/// One caller: it keeps its connection until the host closes it.
void call(Run &run, int number, const asio::yield_context &yield)
{
    std::unique_ptr<Caller> connection;
    for (int i = 0; run.elapsed() < s_end; ++i) {
        const bool isNew = !connection;
        if (isNew) {
            connection = std::make_unique<Caller>(run.context);
            if (!connection->connect(run.host.callerAddress(), yield)) {
                run.record.write("caller " + std::to_string(number) + " has no connection");
            }
        }
        const bool isLong = run.elapsed() >= s_longFrom;
        const std::string id = "q" + std::to_string(number) + "-" + std::to_string(i);
        run.record.write(id + " sent, " + (isLong ? "header above 16,384 bytes" : "short header") + ", " + (isNew ? "new" : "kept") + " connection");
        ++run.counts.sent;
        const auto response = connection->send(order(id, isLong), yield);
        const unsigned status = response ? response->result_int() : 0;
        // Statuses 408, 421 and 429 are promises, which the rule leaves out; the upstreams of this case answer 200 only.
        const bool isDenied = status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
        run.counts.served += status == 200 ? 1 : 0;
        run.counts.denied += isDenied ? 1 : 0;
        run.counts.other += status != 200 && !isDenied ? 1 : 0;
        run.record.write(id + " answered " + std::to_string(status) + (isDenied ? " " + response->body() : ""));
        if (!response || !response->keep_alive()) {
            connection.reset();
        }
        sleepFor(run.context, s_requestInterval, yield);
    }
    --run.callersLeft;
}

std::optional<Response> runOrder(Record &record, const Request &request)
{
    const std::string id(request["Request-Id"]);
    record.write(id + " run");
    Response response(http::status::ok, 11, "done");
    response.set("Request-Id", id);
    response.set("Server-Stamp", "3e1b." + id);
    response.set("Server-Load", "1,0,4");
    return response;
}

int play(asio::io_context &context, Record &record, const std::string &folder, bool hasTrouble, const asio::yield_context &yield)
{
    Store store(context);
    const Json routes = Json::array({routeTo("/orders/", "unsafe", s_service)});
    store.set("op", "config", configuration(3, routes, {s_service}, hasTrouble ? s_earlierLimit : s_raisedLimit));
    std::vector<std::unique_ptr<Server>> upstreams;
    for (int i = 0; i < s_upstreams; ++i) {
        upstreams.push_back(
            std::make_unique<Server>(context, [&record](const Request &request, const asio::yield_context &) { return runOrder(record, request); }));
        store.set("servers", "i-" + std::to_string(i), upstreamEntry(s_service, upstreams.back()->address(), 1));
    }
    Host host(folder, "edge-gulf-a-1", store.address());
    host.start();
    if (!awaitReady(context, host, yield)) {
        record.write("the host did not get ready");
        return 2;
    }
    Run run{context, record, host, std::chrono::steady_clock::now()};
    for (int i = 0; i < s_callers; ++i) {
        asio::spawn(context, [&run, i](const asio::yield_context &callerYield) { call(run, i, callerYield); });
    }
    sleepFor(context, s_changeAt, yield);
    if (hasTrouble) {
        store.set("op", "config", configuration(5, routes, {s_service}, s_raisedLimit));
        record.write("the store has acknowledged version r5: max_header_bytes 65536 in place of 16384");
    }
    while (run.callersLeft > 0) {
        sleepFor(context, s_requestInterval, yield);
    }
    const Counts &counts = run.counts;
    const double allowed = 5 + counts.sent / 500.0;
    record.write("sent " + std::to_string(counts.sent) + ", served " + std::to_string(counts.served) + ", denied " + std::to_string(counts.denied) + ", other "
        + std::to_string(counts.other) + "; DENIED allows " + std::to_string(allowed));
    if (host.hasEnded() || counts.served == 0) {
        return 2;
    }
    return counts.denied > allowed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: raisedlimit FOLDER RECORD\n";
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    asio::io_context context;
    Record record(argv[2]);
    int result = 2;
    asio::spawn(context, [&](const asio::yield_context &yield) {
        result = play(context, record, argv[1], hasTrouble, yield);
        context.stop();
    });
    context.run();
    return result;
}
