#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

/// Case 7: a host is suspended while another one of its zone dies; afterwards its directory goes on to name the dead one.
/// Arguments: folder for temporary files, file of the record. Exit code 1 when the rule DRAIN was broken, 0 when it held, 2 when the case couldn't run.
/// TROUBLE=0 leaves out the suspension and the kill, TROUBLE=kill the suspension only.
namespace
{

using namespace Review;
using namespace std::chrono_literals;

/// Of the site tpceo-glb.
constexpr std::chrono::milliseconds s_contact{3000};
/// RULES.md: "over `contact` + 3 s before".
constexpr std::chrono::milliseconds s_longDead = s_contact + 3000ms;
/// RULES.md: "More than three answers".
constexpr int s_allowedAnswers = 3;
/// The default length of `node_freeze`.
constexpr std::chrono::milliseconds s_suspension{5000};
/// When the other host is killed, from the start of the suspension. It sends a beacon each second until then.
constexpr std::chrono::milliseconds s_killAfter{1200};
constexpr std::chrono::milliseconds s_settlingTime{5000};
/// How long callers ask after the end of the suspension.
constexpr std::chrono::milliseconds s_askingTime{6000};
constexpr std::chrono::milliseconds s_askInterval{20};
constexpr int s_askers = 6;

using Clock = std::chrono::steady_clock;

struct Trouble
{
    bool suspends = true;
    bool kills = true;
};

struct Run
{
    asio::io_context &context;
    Record &record;
    Host &directory;
    Host &other;
    Trouble trouble{};
    /// From then on the directory's host has run for the whole of `contact`.
    Clock::time_point inTouchFrom{};
    Clock::time_point killedAt{};
    Clock::time_point end{};
    int answers = 0;
    int stale = 0;
    int askersLeft = s_askers;
};

/// One caller that asks again and again where to connect.
void ask(Run &run, int number, const asio::yield_context &yield)
{
    for (int i = 0; Clock::now() < run.end; ++i) {
        Caller caller(run.context);
        const auto askedAt = Clock::now();
        if (caller.connect(run.directory.lookupAddress(), yield)) {
            Request request(http::verb::get, "/api/resolve?name=jepu9.example&region=gulf&zone=gulf-a", 11);
            request.set(http::field::host, run.directory.lookupAddress());
            const auto response = caller.send(request, yield);
            const std::string text = response ? response->body() : "";
            const bool namesBoth = text.find(run.directory.callerAddress()) != std::string::npos && text.find(run.other.callerAddress()) != std::string::npos;
            // The time of asking counts, so that the host was in touch from the question to the answer.
            const bool isInTouch = askedAt >= run.inTouchFrom;
            const bool isLongDead = run.trouble.kills && askedAt - run.killedAt > s_longDead;
            run.answers += response && response->result_int() == 200 ? 1 : 0;
            const bool isStale = namesBoth && isInTouch && isLongDead;
            run.stale += isStale ? 1 : 0;
            run.record.write("asker " + std::to_string(number) + " question " + std::to_string(i) + ": " + text + (isStale ? " names a dead host" : ""));
        }
        sleepFor(run.context, s_askInterval, yield);
    }
    --run.askersLeft;
}

int play(asio::io_context &context, Record &record, const std::string &folder, Trouble trouble, const asio::yield_context &yield)
{
    Store store(context);
    const std::string service = "orders";
    store.set("op", "config", configuration(3, Json::array({routeTo("/orders/", "unsafe", service)}), {service}, 16384));
    Server upstream(context, [](const Request &, const asio::yield_context &) { return std::make_optional(Response(http::status::ok, 11)); });
    store.set("servers", "i-0", upstreamEntry(service, upstream.address(), 1));
    Host directory(folder, "edge-gulf-a-1", store.address());
    Host other(folder, "edge-gulf-a-2", store.address());
    directory.start();
    other.start();
    if (!awaitReady(context, directory, yield) || !awaitReady(context, other, yield)) {
        record.write("a host did not get ready");
        return 2;
    }
    sleepFor(context, s_settlingTime, yield);
    Run run{context, record, directory, other, trouble};
    if (trouble.suspends) {
        directory.signal(SIGSTOP);
        record.write("edge-gulf-a-1 is suspended");
    }
    sleepFor(context, s_killAfter, yield);
    if (trouble.kills) {
        other.signal(SIGKILL);
        record.write("edge-gulf-a-2 is killed and does not start again");
    }
    run.killedAt = Clock::now();
    sleepFor(context, s_suspension - s_killAfter, yield);
    if (trouble.suspends) {
        directory.signal(SIGCONT);
        record.write("edge-gulf-a-1 runs again");
    }
    run.inTouchFrom = Clock::now() + s_contact;
    run.end = Clock::now() + s_askingTime;
    for (int i = 0; i < s_askers; ++i) {
        asio::spawn(context, [&run, i](const asio::yield_context &askerYield) { ask(run, i, askerYield); });
    }
    while (run.askersLeft > 0) {
        sleepFor(context, s_askInterval, yield);
    }
    record.write("answers " + std::to_string(run.answers) + ", of which named a host that was killed over 6 s before, by a machine in touch: "
        + std::to_string(run.stale) + "; DRAIN allows " + std::to_string(s_allowedAnswers));
    if (directory.hasEnded() || run.answers == 0) {
        return 2;
    }
    return run.stale > s_allowedAnswers ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: frozendirectory FOLDER RECORD\n";
        return 2;
    }
    const char *variable = std::getenv("TROUBLE");
    const std::string chosen = variable ? variable : "1";
    const Trouble trouble{chosen != "0" && chosen != "kill", chosen != "0"};
    asio::io_context context;
    Record record(argv[2]);
    int result = 2;
    asio::spawn(context, [&](const asio::yield_context &yield) {
        result = play(context, record, argv[1], trouble, yield);
        context.stop();
    });
    context.run();
    return result;
}
