#include "../standin/standin.h"

#include <iostream>

using namespace standin;

namespace {

constexpr const char *configuration = R"({"version":1,"routes":[
 {"name":"plan","host":"review.example","path_prefix":"/plan/","route_kind":"streaming","resumable":true,
  "timeout_ms":20000,"slo_ms":2000,"priority":1,"itl_target_ms":1200,"service":"model","max_attempts":3,
  "anonymous":false},
 {"name":"look","host":"review.example","path_prefix":"/look/","route_kind":"idempotent","timeout_ms":2000,
  "slo_ms":400,"priority":2,"service":"desk","max_attempts":2,"anonymous":false}],
 "services":[{"name":"model","max_conns":360},{"name":"desk","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"farm","api_keys":["key-1"]}]})";

constexpr int vmCount = 3;
constexpr int clientCount = 24;
constexpr milliseconds routeTimeout{2000};
constexpr milliseconds answerSlack{500};
constexpr milliseconds callerTimeout{6000};
constexpr milliseconds lookupTime{60};
constexpr milliseconds clientPause{100};
// PROTOCOL.md: a client abandons a stream after a gap of two seconds, four times the objective (8 s) or eight times the
// allowed pause (9.6 s), whichever is longest.
constexpr milliseconds streamGap{9600};
constexpr milliseconds trafficTime{12000};
// The runner stops by itself, in case the router keeps the connection.
constexpr std::chrono::seconds longestFlood{14};
// RULES.md, CONFIG: "Eight or more of them, and over a quarter".
constexpr int fewestLate = 8;
constexpr int lateDivisor = 4;

struct look_ups {
    std::mutex mutex;
    int answered = 0;
    /// Unanswered at the timeout of their route.
    int unansweredAtTimeout = 0;
    /// Of these, without an answer half a second later.
    int unansweredLater = 0;
};

/// A sound head, and then bytes that are no event, until the caller closes.
void flood(runner &self, const message &request, connection &peer)
{
    const auto end = steady_clock::now() + longestFlood;
    const std::string block(16384, '\n');
    peer.write(self.successHead(request) + "Content-Type: text/event-stream\r\n\r\n");
    while (steady_clock::now() < end && peer.write(block)) { }
}

void lookUp(int client, const std::string &address, std::atomic<bool> &isOver, look_ups &counts, recorder &record)
{
    for (int number = 0; !isOver; ++number) {
        client_request request;
        request.address = address;
        request.path = "/look/1";
        request.attemptId = "look-" + std::to_string(client) + "-" + std::to_string(number);
        request.deadline = callerTimeout;
        const client_result result = send(request, record);
        const std::lock_guard lock(counts.mutex);
        counts.answered += result.status != 0 ? 1 : 0;
        counts.unansweredAtTimeout += result.time >= routeTimeout ? 1 : 0;
        counts.unansweredLater += result.time >= routeTimeout + answerSlack ? 1 : 0;
        std::this_thread::sleep_for(clientPause);
    }
}

} // namespace

int main(int argumentCount, char **arguments)
{
    const std::optional<scenario_options> options = readOptions(argumentCount, arguments);
    if (!options) {
        return not_run;
    }
    recorder record(options->recordPath);
    store platform(record);
    platform.put("keyed.op", "config", configuration);
    runner model("i-model1", "model", "v1", platform, record);
    runner otherModel("i-model2", "model", "v1", platform, record);
    runner desk("i-desk1", "desk", "v1", platform, record);
    for (runner *each : {&model, &otherModel}) {
        each->setAnswer([&options](runner &self, const message &request, connection &peer) {
            if (options->hasTrouble) {
                flood(self, request, peer);
            } else {
                self.answerAsStream(request, peer, 80, milliseconds(100));
            }
        });
        each->announce();
    }
    desk.setAnswer([](runner &self, const message &request, connection &peer) {
        std::this_thread::sleep_for(lookupTime);
        self.answerPlainly(request, peer);
    });
    desk.announce();
    std::vector<std::unique_ptr<router_process>> vms;
    for (int number = 1; number <= vmCount; ++number) {
        vms.push_back(
            std::make_unique<router_process>(options->process("edge-" + std::to_string(number), platform), record));
        vms.back()->start();
    }
    for (const auto &vm : vms) {
        if (!waitFor([&vm] { return vm->isReady(); }, std::chrono::seconds(15))) {
            return not_run;
        }
    }
    // Longer than contact_ms, so that the machine is in touch.
    std::this_thread::sleep_for(std::chrono::seconds(5));

    const router_process &first = *vms.front();
    std::atomic<bool> isOver = false;
    look_ups counts;
    std::vector<std::thread> clients;
    clients.reserve(clientCount + 1);
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&, client] { lookUp(client, first.frontAddress(), isOver, counts, record); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    // One stream. Its client leaves after the longest gap that the pages give.
    clients.emplace_back([&] {
        client_request request;
        request.address = first.frontAddress();
        request.method = "POST";
        request.path = "/plan/1";
        request.attemptId = "plan-1";
        request.deadline = options->hasTrouble ? streamGap : milliseconds(20000);
        send(request, record);
    });
    int probes = 0;
    int readyAnswers = 0;
    for (const auto end = steady_clock::now() + trafficTime; steady_clock::now() < end; ++probes) {
        const auto next = steady_clock::now() + std::chrono::seconds(1);
        readyAnswers += first.isReady() ? 1 : 0;
        std::this_thread::sleep_until(next);
    }
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const bool isBroken =
        counts.unansweredLater >= fewestLate && lateDivisor * counts.unansweredLater > counts.unansweredAtTimeout;
    const std::string result = std::to_string(counts.answered) + " look-ups answered; of "
        + std::to_string(counts.unansweredAtTimeout) + " unanswered at their route's timeout_ms, "
        + std::to_string(counts.unansweredLater) + " had no answer half a second later; "
        + std::to_string(probes - readyAnswers) + " of " + std::to_string(probes)
        + " readiness probes had no 200 within a second";
    record.write((isBroken ? "CONFIG broken: " : "CONFIG held: ") + result);
    std::cout << (isBroken ? "CONFIG broken: " : "CONFIG held: ") << result << "\n";
    return isBroken ? broken : held;
}
