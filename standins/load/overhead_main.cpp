#include "load/time_histogram.h"
#include "load/transfer.h"

#include <boost/program_options.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <stdexcept>

using namespace crocuslane;
namespace options = boost::program_options;

namespace {

constexpr double targetOverheadMilliseconds = 1.0;
/// Requests of each kind at the start that open connections and warm up caches, and are not counted.
constexpr unsigned warmUpRequests = 20;

struct overhead_options {
    std::string engine;
    std::string entry;
    std::string version;
    std::string service;
    std::string key;
    unsigned requests = 2000;
    unsigned answerTokens = 8;
};

transfer::request makeRequest(const overhead_options &overheadOptions, bool isDirect, unsigned number)
{
    transfer::request request;
    request.address = isDirect ? overheadOptions.engine : overheadOptions.entry;
    request.path = "/v1/chat/completions";
    request.isModelRequest = true;
    request.isStreaming = true;
    request.headers = {"Authorization: Bearer " + overheadOptions.key, "Content-Type: application/json"};
    const std::string prompt = fmt::format("Short question {}. answer_tokens={}", number, overheadOptions.answerTokens);
    request.body = nlohmann::json{{"model", isDirect ? overheadOptions.version : overheadOptions.service},
                                  {"stream", true},
                                  {"messages", {{{"role", "user"}, {"content", prompt}}}}}
                       .dump();
    return request;
}

/// Sends one request and waits for its end. The connection is reused by later calls with the same @p multi.
transfer_outcome performTransfer(CURLM *multi, transfer::request request)
{
    transfer current(std::move(request));
    curl_multi_add_handle(multi, current.handle());
    CURLcode result = CURLE_OK;
    for (bool isEnded = false; !isEnded;) {
        int running = 0;
        curl_multi_perform(multi, &running);
        int remainingMessages = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &remainingMessages)) {
            result = message->data.result;
            isEnded = true;
        }
        if (!isEnded) {
            curl_multi_poll(multi, nullptr, 0, 1000, nullptr);
        }
    }
    curl_multi_remove_handle(multi, current.handle());
    return current.finish(result);
}

duration measureFirstToken(CURLM *multi, const overhead_options &overheadOptions, bool isDirect, unsigned number)
{
    const transfer_outcome outcome = performTransfer(multi, makeRequest(overheadOptions, isDirect, number));
    if (!outcome.isComplete || outcome.tokens != overheadOptions.answerTokens) {
        throw std::runtime_error(fmt::format("request {} {} got an incomplete answer: status {}, error {}, {} tokens",
                                             number,
                                             isDirect ? "to the engine" : "through the entry VM",
                                             outcome.status,
                                             outcome.errorCode,
                                             outcome.tokens));
    }
    return *outcome.firstTokenAt - outcome.startedAt;
}

void measure(const overhead_options &overheadOptions)
{
    CURLM *multi = curl_multi_init();
    time_histogram direct;
    time_histogram routed;
    for (unsigned number = 0; number < overheadOptions.requests + warmUpRequests; ++number) {
        // Alternates between the two paths, so that other load of the machine affects both equally.
        const duration directTime = measureFirstToken(multi, overheadOptions, true, number);
        const duration routedTime = measureFirstToken(multi, overheadOptions, false, number);
        if (number >= warmUpRequests) {
            direct.add(directTime);
            routed.add(routedTime);
        }
    }
    curl_multi_cleanup(multi);
    for (const auto &[name, times] : {std::pair{"direct", &direct}, std::pair{"through the entry VM", &routed}}) {
        fmt::print("first token {:<20} n={} p50={:.3f} p95={:.3f} p99={:.3f} ms\n",
                   name,
                   times->count(),
                   times->quantile(0.50),
                   times->quantile(0.95),
                   times->quantile(0.99));
    }
    fmt::print("overhead added_p50_ms={:.3f} added_p99_ms={:.3f} target_p50_ms={:.0f}\n",
               routed.quantile(0.50) - direct.quantile(0.50),
               routed.quantile(0.99) - direct.quantile(0.99),
               targetOverheadMilliseconds);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    overhead_options overheadOptions;
    options::options_description list("Options");
    list.add_options()("help", "show this text and exit")(
        "engine", options::value(&overheadOptions.engine)->required(), "ADDRESS:PORT of a stand-in engine")(
        "entry",
        options::value(&overheadOptions.entry)->required(),
        "ADDRESS:PORT of an entry VM that forwards to this engine only")(
        "model-version", options::value(&overheadOptions.version)->required(), "version to request from the engine")(
        "service", options::value(&overheadOptions.service)->required(), "service to request from the entry VM")(
        "key", options::value(&overheadOptions.key)->required(), "key of a caller group")(
        "requests",
        options::value(&overheadOptions.requests)->default_value(2000),
        "number of measured requests on each path")("answer-tokens",
                                                    options::value(&overheadOptions.answerTokens)->default_value(8),
                                                    "length of each answer in tokens");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argumentCount, arguments, list), values);
        if (values.count("help") > 0) {
            fmt::print("croc-overhead measures the time that an entry VM adds to the first token.\n\n");
            std::cout << list;
            return 0;
        }
        options::notify(values);
        curl_global_init(CURL_GLOBAL_DEFAULT);
        measure(overheadOptions);
    } catch (const std::exception &error) {
        fmt::print(stderr, "croc-overhead: {}\n", error.what());
        return 2;
    }
    return 0;
}
