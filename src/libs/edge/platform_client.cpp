#include "edge/platform_client.h"

#include "edge/event_sink.h"
#include "net/event_loop.h"
#include "net/http_client.h"

#include <nlohmann/json.hpp>

namespace crocuslane {

namespace {

constexpr std::chrono::seconds vmListInterval{1};
constexpr std::chrono::seconds ratingInterval{1};
constexpr std::chrono::milliseconds runnerInterval{500};
constexpr std::chrono::milliseconds queryTimeout{1000};

vm_entry readVmEntry(const nlohmann::json &entry)
{
    vm_entry vm;
    vm.id = entry.at("id");
    vm.role = vmRoleFromName(entry.at("role").get<std::string>()).value_or(vm_role::plain);
    vm.service = service_id(entry.value("service", ""));
    vm.address = entry.at("address");
    vm.peerAddress = entry.value("peer_address", "");
    vm.availabilityZone = entry.value("availability_zone", "");
    vm.region = entry.value("region", "");
    vm.state = backendStateFromName(entry.value("state", "live")).value_or(backend_state::live);
    vm.checksFencing = entry.value("fencing", false);
    return vm;
}

runner_load readLoad(const runner_id &runner, const nlohmann::json &answer)
{
    runner_load load;
    load.runner = runner;
    load.slots = answer.value("slots", 0U);
    load.slotsUsed = answer.value("used", 0U);
    load.queued = answer.value("queue", 0U);
    for (const nlohmann::json &version : answer.value("versions", nlohmann::json::array())) {
        load.versions.emplace_back(version.get<std::string>());
    }
    load.age = std::chrono::milliseconds(answer.value("age_ms", 0));
    load.state = answer.value("leaving", false) ? backend_state::leaving : backend_state::live;
    return load;
}

} // namespace

platform_client::platform_client(event_loop &loop, http_client &http, event_sink &sink, addresses addresses)
    : m_loop(loop)
    , m_http(http)
    , m_sink(sink)
    , m_addresses(std::move(addresses))
{
}

void platform_client::start()
{
    pollVmList();
    if (!m_addresses.ratingService.empty()) {
        pollRatings();
    }
}

void platform_client::query(const std::string &address,
                            const std::string &target,
                            answer_handler onAnswer,
                            std::function<void()> onFailure)
{
    http_client_request request;
    request.address = address;
    request.target = target;
    request.timeout = queryTimeout;
    const auto body = std::make_shared<std::string>();
    request.onData = [body](std::string_view data) { *body += data; };
    request.onEnd = [body, onAnswer = std::move(onAnswer), onFailure = std::move(onFailure)](transfer_result result,
                                                                                             std::uint32_t status) {
        if (result != transfer_result::complete || status != 200) {
            onFailure();
            return;
        }
        try {
            onAnswer(*body);
        } catch (const nlohmann::json::exception &) {
            onFailure();
        }
    };
    m_http.start(std::move(request));
}

void platform_client::pollVmList()
{
    query(
        m_addresses.vmList,
        "/vms",
        [this](const std::string &body) {
            const nlohmann::json answer = nlohmann::json::parse(body);
            vm_list_read read;
            for (const nlohmann::json &entry : answer.at("vms")) {
                read.entries.push_back(readVmEntry(entry));
            }
            m_sink.deliver(std::move(read));
        },
        [] {});
    m_loop.schedule(vmListInterval, [this] { pollVmList(); });
}

void platform_client::pollRatings()
{
    query(
        m_addresses.ratingService,
        "/ratings?from=" + std::to_string(m_nextRating),
        [this](const std::string &body) {
            const nlohmann::json answer = nlohmann::json::parse(body);
            ratings_read read;
            for (const nlohmann::json &entry : answer.at("ratings")) {
                read.ratings.push_back({request_id(entry.at("request_id")),
                                        version_id(entry.at("version")),
                                        kind_id(entry.value("kind", "")),
                                        entry.at("score")});
            }
            m_nextRating = answer.at("next");
            if (!read.ratings.empty()) {
                m_sink.deliver(std::move(read));
            }
        },
        [] {});
    m_loop.schedule(ratingInterval, [this] { pollRatings(); });
}

void platform_client::watch(const watch_runners &action)
{
    std::map<runner_id, watched_runner> watched;
    std::vector<runner_id> added;
    for (const watch_runners::entry &entry : action.runners) {
        const auto existing = m_runners.find(entry.runner);
        if (existing == m_runners.end()) {
            added.push_back(entry.runner);
        }
        watched[entry.runner] = {entry.address, existing == m_runners.end() ? 0 : existing->second.nextCacheEvent};
    }
    m_runners = std::move(watched);
    for (const runner_id &runner : added) {
        pollRunner(runner);
    }
}

void platform_client::pollRunner(const runner_id &runner)
{
    const auto found = m_runners.find(runner);
    if (found == m_runners.end()) {
        return;
    }
    query(
        found->second.address,
        "/load",
        [this, runner](const std::string &body) { handleRunnerLoad(runner, body); },
        [this, runner] {
            m_sink.deliver(runner_unreachable{runner});
            m_loop.schedule(runnerInterval, [this, runner] { pollRunner(runner); });
        });
}

void platform_client::handleRunnerLoad(const runner_id &runner, const std::string &body)
{
    const nlohmann::json answer = nlohmann::json::parse(body);
    m_sink.deliver(runner_load_reported{readLoad(runner, answer)});
    if (answer.contains("versions")) {
        pollCacheEvents(runner);
    }
    m_loop.schedule(runnerInterval, [this, runner] { pollRunner(runner); });
}

void platform_client::pollCacheEvents(const runner_id &runner)
{
    const auto found = m_runners.find(runner);
    if (found == m_runners.end()) {
        return;
    }
    query(
        found->second.address,
        "/cache-events?from=" + std::to_string(found->second.nextCacheEvent),
        [this, runner](const std::string &body) {
            const nlohmann::json answer = nlohmann::json::parse(body);
            cache_events_reported reported{runner, {}};
            for (const nlohmann::json &entry : answer.at("events")) {
                reported.events.push_back({entry.at("sequence"), entry.at("prefix"), entry.value("evicted", false)});
            }
            const auto watched = m_runners.find(runner);
            if (watched != m_runners.end()) {
                watched->second.nextCacheEvent = answer.at("next");
            }
            if (!reported.events.empty()) {
                m_sink.deliver(std::move(reported));
            }
        },
        [] {});
}

void platform_client::submit(const finished_answer &answer)
{
    if (m_addresses.ratingService.empty()) {
        return;
    }
    http_client_request request;
    request.method = "POST";
    request.address = m_addresses.ratingService;
    request.target = "/answers";
    request.headers = {"content-type: application/json"};
    request.body = nlohmann::json({{"request_id", answer.request.value()},
                                   {"version", answer.version.value()},
                                   {"kind", answer.kind.value()},
                                   {"text", answer.text}})
                       .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    request.timeout = queryTimeout;
    m_http.start(std::move(request));
}

void platform_client::order(const order_runner &action)
{
    nlohmann::json body = {{"fencing", action.fencing}, {"versions", nlohmann::json::array()}};
    for (const version_id &version : action.versions) {
        body["versions"].push_back(version.value());
    }
    http_client_request request;
    request.method = "POST";
    request.address = action.address;
    request.target = "/orders";
    request.headers = {"content-type: application/json"};
    request.body = body.dump();
    request.timeout = queryTimeout;
    request.onEnd = [this, runner = action.runner, fencing = action.fencing](transfer_result result,
                                                                             std::uint32_t status) {
        m_sink.deliver(order_answered{runner, fencing, result == transfer_result::complete && status == 200});
    };
    m_http.start(std::move(request));
}

} // namespace crocuslane
