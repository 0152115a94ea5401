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

/// Whether the id, as the caller or the router knows it, names the request.
bool isNamed(const request_id &request, const std::string &id)
{
    return request.value() == id || request.value().find('/' + id + '/') != std::string::npos;
}

} // namespace

struct entry_node::private_data : public node_actions<entry_node::private_data> {
    using node_actions::carryOut;

    private_data(entry_node &owner, entry_node::settings given, const clock &clock, event_loop &loop, logger &log)
        : node_actions(metrics, peers)
        , settings(std::move(given))
        , loop(loop)
        , log(log)
        , random(systemSeed())
        , hybridTime(clock)
        , timeline(hybridTime, settings.node.id, settings.timelineEvents)
        , decisions({clock, random, settings.node, {settings.sessionKey}, timeline})
        , metrics(clock)
        , http(loop)
        , operators({decisions,
                     owner,
                     settings.node,
                     settings.bootstrapKeyHash,
                     [this](const std::string &request, std::int64_t since) { return timelineText(request, since); },
                     [this] { return metricsText(); }})
        , callers(clock,
                  owner,
                  operators,
                  fmt::format("{}-{:x}", settings.node.id.value(), settings.node.incarnation),
                  [this](const finished_answer &answer) { platform.submit(answer); })
        , server(loop, callers, {settings.bodyLimit, settings.connectionLimit})
        , logClient(loop, http, clock, owner, settings.logServiceAddress)
        , platform(loop, http, owner, {settings.vmListAddress, settings.ratingServiceAddress})
        , backends(http, owner)
        , peers({loop, owner, log, hybridTime, settings.node, settings.peerKey})
        , steps(decisions, *this, loop, clock)
    {
        operators.setCallers(callers);
        publication.freshnessLimit = settings.freshnessLimit;
        publication.retention = settings.logRetention;
        publication.bootstrapKeyHash = settings.bootstrapKeyHash;
        decisions.services().offer(publication);
    }

    std::string timelineText(const std::string &id, std::int64_t sinceMilliseconds) const
    {
        nlohmann::json events = nlohmann::json::array();
        for (const timeline_event &event : timeline.events({}, sinceMilliseconds)) {
            if (id.empty() || isNamed(event.request, id)) {
                events.push_back(toJson(event));
            }
        }
        return nlohmann::json({{"events", std::move(events)}}).dump();
    }

    std::string metricsText()
    {
        metrics.setPeerBytesSent(peers.bytesSent());
        return metrics.text();
    }

    void observe(const event &next) override
    {
        metrics.observe(next);
        isStopRequested = isStopRequested || std::holds_alternative<stop_requested>(next);
    }

    void handleQueueEmpty() override
    {
        server.flush();
        if (isStopRequested && !isStopping) {
            isStopping = true;
            log.write(log_level::info, "stopping", {});
            loop.schedule(stopCheckInterval, [this] { stopWhenIdle(); });
        }
    }

    /// Actions of plug-ins that another set of ports loads.
    template<typename other_action>
    void carryOut(const other_action & /*action*/)
    {
    }

    void carryOut(const start_attempt &action)
    {
        const model_body *body = callers.modelBody(action.request);
        if (!body) {
            steps.deliver(attempt_failed{action.attempt, attempt_failure::not_sent});
            return;
        }
        log.write(log_level::debug,
                  "attempt_started",
                  {{"request", action.request.value()},
                   {"attempt", std::to_string(action.attempt)},
                   {"runner", action.runner.value()},
                   {"version", action.version.value()}});
        backends.start(action, *body);
    }

    void carryOut(const start_call &action)
    {
        const call_body *body = callers.callBody(action.request);
        if (!body) {
            steps.deliver(attempt_failed{action.attempt, attempt_failure::not_sent});
            return;
        }
        backends.start(action, *body);
    }

    void carryOut(const cancel_attempt &action)
    {
        backends.cancel(action);
    }

    void carryOut(const begin_answer &action)
    {
        callers.carryOut(action);
    }

    void carryOut(const send_token &action)
    {
        callers.carryOut(action);
    }

    void carryOut(const finish_answer &action)
    {
        log.write(log_level::info,
                  "answer_finished",
                  {{"request", action.request.value()},
                   {"tokens", std::to_string(action.usage.outputTokens)},
                   {"reason", std::string(toName(action.reason))}});
        callers.carryOut(action);
    }

    void carryOut(const refuse_request &action)
    {
        log.write(log_level::info,
                  "request_refused",
                  {{"request", action.request.value()},
                   {"code", std::string(toName(action.error.code))},
                   {"execution", std::string(toName(action.error.execution))},
                   {"message", action.error.message}});
        callers.carryOut(action);
    }

    void carryOut(const answer_call &action)
    {
        callers.carryOut(action);
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
        platform.watch(action);
    }

    void carryOut(const order_runner &action)
    {
        log.write(log_level::info,
                  "order_sent",
                  {{"runner", action.runner.value()}, {"fencing", std::to_string(action.fencing)}});
        platform.order(action);
    }

    void carryOut(const stop_process & /*action*/)
    {
        log.write(log_level::info, "stopped", {});
        loop.stop();
    }

    /// A planned stop waits for every plug-in: streams in progress, cached advice, bills and duties to hand over.
    void stopWhenIdle()
    {
        if (decisions.isIdle() && !callers.hasRequests() && !server.isBusy()) {
            carryOut(stop_process{});
            return;
        }
        loop.schedule(stopCheckInterval, [this] { stopWhenIdle(); });
    }

    entry_node::settings settings;
    event_loop &loop;
    logger &log;
    seeded_random random;
    hybrid_clock hybridTime;
    timeline_ring timeline;
    publication_settings publication;
    kernel decisions;
    traffic_metrics metrics;
    http_client http;
    operator_interface operators;
    caller_interface callers;
    http_server server;
    log_client logClient;
    platform_client platform;
    backend_client backends;
    peer_network peers;
    decision_loop steps;
    bool isStopRequested = false;
    bool isStopping = false;
};

entry_node::entry_node(settings settings, const clock &clock, event_loop &loop, logger &log)
    : d(std::make_unique<private_data>(*this, std::move(settings), clock, loop, log))
{
}

entry_node::~entry_node()
{
    // Connections that end now would deliver events into parts that are being destroyed.
    d->steps.close();
}

boost::leaf::result<void> entry_node::start()
{
    d->decisions.addRegistered({ownInterfacePlugins.begin(), ownInterfacePlugins.end()});
    const action_list actions = d->decisions.start();
    BOOST_LEAF_CHECK(d->peers.listen(d->settings.node.peerAddress));
    BOOST_LEAF_CHECK(
        d->server.listen(d->settings.node.callerAddress, {d->settings.certificateFile, d->settings.privateKeyFile}));
    d->steps.begin(actions);
    d->platform.start();
    return {};
}

void entry_node::deliver(event event)
{
    d->steps.deliver(std::move(event));
}

} // namespace crocuslane
