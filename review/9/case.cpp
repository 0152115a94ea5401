// The store is silent. A runner that leaves says so in its answers only, and ends after its drain time.

#include "../rig/deployment.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <stdexcept>

namespace {

using namespace rig; // NOLINT(google-build-using-namespace): one file

constexpr int drainMs = 3000;
constexpr int contactMs = 4000;
constexpr int storeSilentMs = 8000;
/// How long the runner serves beyond drain_ms ("a little longer").
constexpr int extraMs = 1500;
constexpr int workMs = 60;

struct sent_order {
    std::string node;
    std::int64_t sentAt = 0;
    std::string outcome;
    std::string runner;
};

/// What clients and runners have seen.
class history
{
public:
    void sent(const std::string &id, const std::string &node)
    {
        const std::lock_guard lock(m_mutex);
        m_orders[id] = {node, nowMs(), "", ""};
    }

    void answered(const std::string &id, const std::string &outcome)
    {
        const std::lock_guard lock(m_mutex);
        m_orders[id].outcome = outcome;
    }

    void ran(const std::string &id, const std::string &runner)
    {
        const std::lock_guard lock(m_mutex);
        m_orders[id].runner = runner;
    }

    /// A machine has passed on an answer that says that the runner leaves.
    void leavingPassedOn(const std::string &node)
    {
        const std::lock_guard lock(m_mutex);
        m_leavingKnownAt.emplace(node, nowMs());
    }

    /// Orders that a client sent later than drain_ms after the machine had passed on such an answer, and that reached
    /// the runner from that machine.
    int countLate(const std::string &leaving)
    {
        const std::lock_guard lock(m_mutex);
        int late = 0;
        int lost = 0;
        for (const auto &[id, each] : m_orders) {
            const auto known = m_leavingKnownAt.find(each.node);
            if (each.runner != leaving || known == m_leavingKnownAt.end() || each.sentAt <= known->second + drainMs) {
                continue;
            }
            ++late;
            lost += each.outcome == "200" ? 0 : 1;
            record("late: " + id + " sent to " + each.node + " at " + std::to_string(each.sentAt) + " ms, "
                   + std::to_string(each.sentAt - known->second)
                   + " ms after it had passed on Server-Leaving; client: " + each.outcome);
        }
        record("late orders " + std::to_string(late) + ", of these without a success " + std::to_string(lost));
        return late;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, sent_order> m_orders;
    std::map<std::string, std::int64_t> m_leavingKnownAt;
};

/// Sends orders to a machine, one after the other, until @p until.
void sendOrders(const node &asked, history &seen, std::int64_t until)
{
    for (int number = 0; nowMs() < until; ++number) {
        order next;
        next.id = asked.id() + "-" + std::to_string(number);
        seen.sent(next.id, asked.id());
        const std::unique_ptr<connection> opened = connectTo(asked.caller(), 1000);
        std::optional<http_message> answer;
        if (opened && opened->send(requestText(next, 6000))) {
            answer = readAnswer(*opened, 7000);
        }
        const std::string outcome = answer ? answer->second : "no answer";
        seen.answered(next.id, outcome);
        const bool saysLeaving = answer && answer->field("Server-Leaving") == "1";
        if (saysLeaving) {
            seen.leavingPassedOn(asked.id());
        }
        record("client: " + next.id + " " + outcome + (saysLeaving ? ", Server-Leaving" : ""));
        sleepMs(40);
    }
}

bool play()
{
    store registry("127.0.0.1");
    publishConfiguration(registry, nlohmann::json::array({plainRoute("dispatch", "/dispatch/", "non_idempotent")}));
    history seen;
    std::atomic<bool> isLeaving{false};
    const auto serve = [&](runner &self, connection &from, const http_message &request) {
        const std::string id = request.field("X-Attempt-Id");
        record("runner " + self.id() + " runs " + id);
        seen.ran(id, self.id());
        sleepMs(workMs);
        fields more{{"X-Instance-Load", std::to_string(self.running) + ",0,6"}};
        const bool saysLeaving = isLeaving && self.id() == "i-1";
        if (saysLeaving) {
            more.emplace_back("Server-Leaving", "1");
            more.emplace_back("Connection", "close");
        }
        return from.send(plainAnswer(request, self.nextSignature(), std::string(800, 'b'), more)) && !saysLeaving;
    };
    runner leaving(registry, "i-1", "field-ops", "muscat-a", "127.0.0.1", serve);
    runner second(registry, "i-2", "field-ops", "muscat-b", "127.0.0.1", serve);
    runner third(registry, "i-3", "field-ops", "salalah-a", "127.0.0.1", serve);
    node left("edge-muscat-a-1", "127.0.0.1", "muscat-a", "muscat", registry.address());
    node right("edge-muscat-b-1", "127.0.0.1", "muscat-b", "muscat", registry.address());
    left.start();
    right.start();
    if (!waitUntilReady({&left, &right}, 10'000)) {
        throw std::runtime_error("the processes are not ready");
    }
    sleepMs(contactMs + 500);

    const std::int64_t leavesAt = nowMs() + 1500;
    const std::int64_t endsAt = leavesAt + drainMs + extraMs;
    const std::int64_t until = leavesAt + storeSilentMs;
    std::vector<std::thread> clients;
    for (node *asked : {&left, &right}) {
        clients.emplace_back([&seen, asked, until] { sendOrders(*asked, seen, until); });
    }
    sleepUntilMs(leavesAt - 500);
    if (!isWithoutTrouble()) {
        record("the store falls silent");
        registry.setDown(true);
    }
    // One of the runners that never report "draining": its entry is removed, and it serves for the drain time.
    sleepUntilMs(leavesAt);
    record("runner i-1 begins to leave");
    leaving.stopHeartbeats();
    leaving.removeEntry();
    isLeaving = true;
    sleepUntilMs(endsAt);
    record("runner i-1 ends");
    leaving.exit();
    sleepUntilMs(leavesAt - 500 + storeSilentMs);
    registry.setDown(false);
    record("the store answers");
    for (std::thread &each : clients) {
        each.join();
    }
    const int late = seen.countLate("i-1");
    left.signal(SIGTERM);
    right.signal(SIGTERM);
    left.waitForEnd(9000);
    right.waitForEnd(9000);
    return late > 0;
}

} // namespace

int main(int count, char **arguments)
{
    return count == 2 ? rig::runCase(arguments[1], play) : 2;
}
