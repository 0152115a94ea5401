#include "entry_node.h"

#include "base/hybrid_clock.h"
#include "base/logger.h"
#include "base/random_source.h"
#include "edge/backend_client.h"
#include "edge/caller_interface.h"
#include "edge/decision_loop.h"
#include "edge/log_client.h"
#include "edge/node_actions.h"
#include "edge/operator_interface.h"
#include "edge/peer_network.h"
#include "edge/platform_client.h"
#include "edge/traffic_metrics.h"
#include "kernel/kernel.h"
#include "kernel/plugin_sets.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "plugins/publication/publication_settings.h"
#include "timeline/timeline_ring.h"

#include <boost/leaf/error.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds stopCheckInterval{50};

/// Whether @p id is the complete id of the request, or the caller's id, which the complete one contains between
/// slashes.
bool matchesId(const request_id &request, const std::string &id)
{
    return request.value() == id || request.value().find('/' + id + '/') != std::string::npos;
}

} // namespace

struct entry_node::private_data : public node_actions<entry_node::private_data> {
    using node_actions::carryOut;

    private_data(
        entry_node &owner, entry_node::settings nodeSettings, const clock &clock, event_loop &loop, logger &log)
        : node_actions(metrics, peerNetwork)
        , settings(std::move(nodeSettings))
        , loop(loop)
        , log(log)
        , random(systemSeed())
        , hybridClock(clock)
        , timeline(hybridClock, settings.node.id, settings.timelineEventLimit)
        , routerKernel({clock, random, settings.node, {settings.sessionKey}, timeline})
        , metrics(clock)
        , httpClient(loop)
        , operatorInterface(
              {routerKernel,
               owner,
               settings.node,
               settings.bootstrapKeyHash,
               [this](const std::string &request, std::int64_t since) { return timelineText(request, since); },
               [this] { return metricsText(); }})
        , callerInterface(clock,
                          owner,
                          operatorInterface,
                          fmt::format("{}-{:x}", settings.node.id.value(), settings.node.incarnation),
                          [this](const finished_answer &answer) { platformClient.submit(answer); })
        , httpServer(loop, callerInterface, {settings.bodyLimitBytes, settings.connectionLimit})
        , logClient(loop, httpClient, clock, owner, settings.logServiceAddress)
        , platformClient(loop, httpClient, owner, {settings.vmListAddress, settings.ratingServiceAddress})
        , backendClient(httpClient, owner)
        , peerNetwork({loop, owner, log, hybridClock, settings.node, settings.peerKey})
        , decisionLoop(routerKernel, *this, loop, clock)
    {
        operatorInterface.setCallers(callerInterface);
        publicationSettings.freshnessLimit = settings.freshnessLimit;
        publicationSettings.retention = settings.logRetention;
        publicationSettings.bootstrapKeyHash = settings.bootstrapKeyHash;
        routerKernel.services().offer(publicationSettings);
    }

    std::string timelineText(const std::string &id, std::int64_t sinceMilliseconds) const
    {
        nlohmann::json events = nlohmann::json::array();
        for (const timeline_event &event : timeline.events({}, sinceMilliseconds)) {
            if (id.empty() || matchesId(event.request, id)) {
                events.push_back(toJson(event));
            }
        }
        return nlohmann::json({{"events", std::move(events)}}).dump();
    }

    std::string metricsText()
    {
        metrics.setPeerBytesSent(peerNetwork.bytesSent());
        return metrics.text();
    }

    void handleException(std::string_view text) override
    {
        metrics.countException();
        log.write(log_level::error, "exception_caught", {{"detail", std::string(text)}});
    }

    void observe(const event &next) override
    {
        metrics.observe(next);
        isStopRequested = isStopRequested || std::holds_alternative<stop_requested>(next);
    }

    void handleQueueEmpty() override
    {
        httpServer.flush();
        if (isStopRequested && !isStopping) {
            isStopping = true;
            log.write(log_level::info, "stopping", {});
            loop.schedule(stopCheckInterval, [this] { stopWhenIdle(); });
        }
    }

    /// Ignores actions that only the plug-ins of other sets of ports request.
    template<typename other_action>
    void carryOut(const other_action & /*action*/)
    {
    }

    void carryOut(const start_attempt &action)
    {
        const model_body *body = callerInterface.modelBody(action.request);
        if (!body) {
            decisionLoop.deliver(attempt_failed{action.attempt, attempt_failure::not_sent});
            return;
        }
        log.write(log_level::debug,
                  "attempt_started",
                  {{"request", action.request.value()},
                   {"attempt", std::to_string(action.attempt)},
                   {"runner", action.runner.value()},
                   {"version", action.version.value()}});
        backendClient.start(action, *body);
    }

    void carryOut(const start_call &action)
    {
        const call_body *body = callerInterface.callBody(action.request);
        if (!body) {
            decisionLoop.deliver(attempt_failed{action.attempt, attempt_failure::not_sent});
            return;
        }
        backendClient.start(action, *body);
    }

    void carryOut(const cancel_attempt &action)
    {
        backendClient.cancel(action);
    }

    void carryOut(const begin_answer &action)
    {
        callerInterface.carryOut(action);
    }

    void carryOut(const send_token &action)
    {
        callerInterface.carryOut(action);
    }

    void carryOut(const finish_answer &action)
    {
        log.write(log_level::info,
                  "answer_finished",
                  {{"request", action.request.value()},
                   {"tokens", std::to_string(action.usage.outputTokens)},
                   {"reason", std::string(toName(action.reason))}});
        callerInterface.carryOut(action);
    }

    void carryOut(const refuse_request &action)
    {
        log.write(log_level::info,
                  "request_refused",
                  {{"request", action.request.value()},
                   {"code", std::string(toName(action.error.code))},
                   {"execution", std::string(toName(action.error.execution))},
                   {"message", action.error.message}});
        callerInterface.carryOut(action);
    }

    void carryOut(const answer_call &action)
    {
        callerInterface.carryOut(action);
    }

    void carryOut(const follow_stream &action)
    {
        logClient.follow(action);
    }

    void carryOut(const append_record &action)
    {
        logClient.append(action);
    }

    void carryOut(const watch_runners &action)
    {
        platformClient.watch(action);
    }

    void carryOut(const order_runner &action)
    {
        log.write(log_level::info,
                  "order_sent",
                  {{"runner", action.runner.value()}, {"fencing", std::to_string(action.fencing)}});
        platformClient.order(action);
    }

    void carryOut(const stop_process & /*action*/)
    {
        log.write(log_level::info, "stopped", {});
        loop.stop();
    }

    /// Stops the process once every plug-in is idle and all answers are sent. Plug-ins wait for streams in progress,
    /// for the expiry of cached entry advice, and for bills and duties that other VMs must take over.
    void stopWhenIdle()
    {
        if (routerKernel.isIdle() && !callerInterface.hasRequests() && !httpServer.isBusy()) {
            carryOut(stop_process{});
            return;
        }
        loop.schedule(stopCheckInterval, [this] { stopWhenIdle(); });
    }

    entry_node::settings settings;
    event_loop &loop;
    logger &log;
    seeded_random random;
    hybrid_clock hybridClock;
    timeline_ring timeline;
    publication_settings publicationSettings;
    kernel routerKernel;
    traffic_metrics metrics;
    http_client httpClient;
    operator_interface operatorInterface;
    caller_interface callerInterface;
    http_server httpServer;
    log_client logClient;
    platform_client platformClient;
    backend_client backendClient;
    peer_network peerNetwork;
    decision_loop decisionLoop;
    bool isStopRequested = false;
    bool isStopping = false;
};

entry_node::entry_node(settings settings, const clock &clock, event_loop &loop, logger &log)
    : d(std::make_unique<private_data>(*this, std::move(settings), clock, loop, log))
{
}

entry_node::~entry_node()
{
    // Otherwise connections that close during destruction would deliver events to members that no longer exist.
    d->decisionLoop.close();
}

boost::leaf::result<void> entry_node::start()
{
    d->routerKernel.addRegistered({ownInterfacePlugins.begin(), ownInterfacePlugins.end()});
    const action_list actions = d->routerKernel.start();
    BOOST_LEAF_CHECK(d->peerNetwork.listen(d->settings.node.peerAddress));
    BOOST_LEAF_CHECK(d->httpServer.listen(d->settings.node.callerAddress,
                                          {d->settings.certificateFile, d->settings.privateKeyFile}));
    d->decisionLoop.begin(actions);
    d->platformClient.start();
    return {};
}

void entry_node::deliver(event event)
{
    d->decisionLoop.deliver(std::move(event));
}

} // namespace crocuslane
