#include "explain.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace Trefoil
{

namespace
{

using Json = nlohmann::json;

constexpr int s_exitUnknown = 1;
constexpr int s_exitBadInput = 2;

std::string text(const Json &line, const char *name)
{
    const auto found = line.find(name);
    if (found == line.end()) {
        return "?";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string cacheText(const Json &line)
{
    const std::string state = text(line, "cache");
    return state == "2" ? "which had served the key" : state == "1" ? "where the key belongs" : "which probably didn't hold the key";
}

std::string attemptSentence(const Json &line)
{
    const std::string reason = text(line, "reason");
    const std::string end = reason.empty() ? "it answered " + text(line, "status") : "it ended with " + reason;
    return fmt::format("sent it to upstream {}, {}: {} after {} ms (expected {} ms of work and {} ms of waiting; load {} a slot, failure rate {})",
        text(line, "upstream"),
        cacheText(line),
        end,
        text(line, "durationMs"),
        text(line, "expectedWorkMs"),
        text(line, "expectedWaitMs"),
        text(line, "load"),
        text(line, "failureRate"));
}

std::string rejectionReason(const std::string &reason)
{
    static const std::vector<std::pair<std::string, std::string>> sentences = {
        {"no-room", "no upstream could have served it in time without taking the slots of others"},
        {"no-upstream", "no upstream of the service may be used now"},
        {"host-stopping", "the host is stopping and couldn't have completed it"},
        {"no-configuration", "the host had no configuration yet"},
        {"quota-exceeded", "its customer had sent more than its limit"},
        {"quota-unavailable", "no host that lends permits of its customer replied"},
        {"shed", "the upstreams refused it before it ran"},
    };
    const auto found = std::find_if(sentences.begin(), sentences.end(), [&reason](const auto &entry) { return entry.first == reason; });
    return found == sentences.end() ? "of " + reason : found->second;
}

std::string sentenceFor(const Json &line)
{
    const std::string event = text(line, "event");
    if (event == "attempt-ended") {
        return attemptSentence(line);
    }
    if (event == "request-rejected") {
        return fmt::format("rejected it as not run, since {} (load {} a slot, configuration {}); the caller was told to come back after {} ms",
            rejectionReason(text(line, "reason")),
            text(line, "load"),
            text(line, "configuration"),
            text(line, "retryAfterMs"));
    }
    if (event == "request-failed") {
        return fmt::format(
            "answered {} ({}) after {} ms and {} attempts", text(line, "status"), text(line, "reason"), text(line, "elapsedMs"), text(line, "attempts"));
    }
    if (event == "response-not-written") {
        return fmt::format("could not write its answer {} whole after {} ms: {} ({})",
            text(line, "status"),
            text(line, "elapsedMs"),
            text(line, "reason"),
            text(line, "isStopping") == "true" ? "the host was stopping" : "the host was not stopping");
    }
    return event + " " + line.dump();
}

} // namespace

Result<std::string> explainRequest(const std::string &requestId, const std::vector<std::istream *> &logs)
{
    std::vector<std::pair<std::string, std::string>> sentences;
    for (std::istream *log : logs) {
        std::string row;
        while (std::getline(*log, row)) {
            // A line may have a prefix of whoever collected it.
            const auto start = row.find('{');
            if (start == std::string::npos || row.find(requestId) == std::string::npos) {
                continue;
            }
            const Json line = Json::parse(row.begin() + static_cast<std::ptrdiff_t>(start), row.end(), nullptr, false);
            if (line.is_discarded() || !line.is_object() || text(line, "request") != requestId) {
                continue;
            }
            sentences.emplace_back(text(line, "time"), fmt::format("{} host {} {}\n", text(line, "time"), text(line, "host"), sentenceFor(line)));
        }
    }
    if (sentences.empty()) {
        return Error{ErrorCode::NotFound, fmt::format("no log line names the request {}", requestId)};
    }
    std::stable_sort(sentences.begin(), sentences.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    std::string result;
    for (const auto &sentence : sentences) {
        result += sentence.second;
    }
    return result;
}

int runExplain(int argc, const char *const *argv)
{
    if (argc < 2) {
        std::cerr << "usage: trefoilctl explain REQUEST-ID [FILE ...]\n";
        return s_exitBadInput;
    }
    std::vector<std::unique_ptr<std::ifstream>> files;
    std::vector<std::istream *> logs;
    for (int i = 2; i < argc; ++i) {
        files.push_back(std::make_unique<std::ifstream>(argv[i]));
        if (!*files.back()) {
            std::cerr << argv[i] << ": the file can't be read\n";
            return s_exitBadInput;
        }
        logs.push_back(files.back().get());
    }
    if (logs.empty()) {
        logs.push_back(&std::cin);
    }
    const auto explained = explainRequest(argv[1], logs);
    if (explained.has_error()) {
        std::cerr << explained.error().message << "\n";
        return s_exitUnknown;
    }
    std::cout << explained.value();
    return 0;
}

} // namespace Trefoil
