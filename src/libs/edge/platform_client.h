#pragma once

#include "kernel/action.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace crocuslane {

class event_loop;
class event_sink;
class http_client;

/// A complete answer, as it is submitted to the rating service.
struct finished_answer {
    request_id request;
    version_id version;
    kind_id kind;
    std::string text;
};

/// Queries the VM list, the rating service and the load of runners, and sends orders to runners.
class platform_client
{
public:
    struct addresses {
        std::string vmList;
        /// Empty when the deployment has no rating service.
        std::string ratingService;
    };

    platform_client(event_loop &loop, http_client &http, event_sink &sink, addresses addresses);

    void start();
    /// Replaces the set of runners whose load and cache events are queried.
    void watch(const watch_runners &action);
    void order(const order_runner &action);
    /// Submits an answer for rating. There is no retry, because only a sample of the answers is rated anyway.
    void submit(const finished_answer &answer);

private:
    struct watched_runner {
        std::string address;
        /// Sequence number of the first event that has not been read.
        std::uint64_t nextCacheEvent = 0;
    };
    using answer_handler = std::function<void(const std::string &body)>;

    void query(const std::string &address,
               const std::string &target,
               answer_handler onAnswer,
               std::function<void()> onFailure);
    void pollVmList();
    void pollRatings();
    void pollRunner(const runner_id &runner);
    void handleRunnerLoad(const runner_id &runner, const std::string &body);
    void pollCacheEvents(const runner_id &runner);

    event_loop &m_loop;
    http_client &m_http;
    event_sink &m_sink;
    addresses m_addresses;
    std::map<runner_id, watched_runner> m_runners;
    /// Position of the first rating that has not been read.
    std::uint64_t m_nextRating = 0;
};

} // namespace crocuslane
