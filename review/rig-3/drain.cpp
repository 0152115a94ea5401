// A release of the runners of a service while the store turns away three of nine VMs and serves the others.
#include "rig.h"

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <random>

namespace {

using namespace rig;

constexpr std::int64_t drainMs = 3000;
constexpr std::int64_t contactMs = 4000;
constexpr std::int64_t heartbeatMs = 1200;
constexpr std::int64_t rejectedMs = 9000;
constexpr std::int64_t cyclePeriodMs = 13'000;
constexpr std::size_t rejectedVms = 3;
constexpr std::size_t vmCount = 9;
constexpr int runnersInUse = 12;
constexpr std::int64_t releaseGapMs = 1000;
constexpr std::int64_t workMs = 30;
constexpr std::int64_t endMs = 100'000;
constexpr int clientsPerVm = 6;

struct desk_runner {
    std::string id;
    std::string address;
    std::uint64_t sequence = 0;
    std::int64_t removedAt = -1;
    std::unique_ptr<listener> access;
};

class drain_case
{
public:
    drain_case()
        : m_deployment(vmCount)
        , m_cutUntil(vmCount, -contactMs)
    {
    }

    int run()
    {
        writeConfiguration();
        for (int index = 0; index < runnersInUse; ++index) {
            addRunner();
        }
        std::thread heartbeats([this] { writeHeartbeats(); });
        m_deployment.startVms();
        const bool isReady = m_deployment.waitUntilReady(nowMs() + 15'000);
        if (isReady) {
            play();
        }
        m_isOver = true;
        heartbeats.join();
        for (const auto &vm : m_deployment.vms) {
            vm->kill();
        }
        if (!isReady) {
            m_record.line("the processes did not become ready");
            return 2;
        }
        m_record.line("requests " + std::to_string(m_requests) + ", answered with success " + std::to_string(m_served)
                      + ", runners removed " + std::to_string(m_removed) + ", arrivals later than drain_ms "
                      + std::to_string(m_late));
        if (m_served * 2 < m_requests) {
            m_record.line("too few requests were served");
            return 2;
        }
        return m_late > 0 ? 1 : 0;
    }

private:
    void writeConfiguration()
    {
        m_deployment.platform->append(
            "keyed.op",
            "config",
            R"({"version":3,"routes":[{"name":"book","host":"desk.example","path_prefix":"/book/",)"
            R"("route_kind":"non_idempotent","timeout_ms":4000,"slo_ms":400,"priority":2,"service":"desk",)"
            R"("max_attempts":3,"anonymous":false}],"services":[{"name":"desk","health_path":"/healthz",)"
            R"("max_conns":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,)"
            R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
            R"("tenants":[{"name":"kitchen","api_keys":["k1"]}]})");
    }

    void addRunner()
    {
        const std::lock_guard lock(m_mutex);
        const int number = ++m_runnerCount;
        auto added = std::make_unique<desk_runner>();
        added->id = "i-desk" + std::to_string(number);
        added->address = "127." + std::to_string(m_deployment.network) + ".2." + std::to_string(number) + ":21800";
        desk_runner *runner = added.get();
        added->access =
            std::make_unique<listener>(added->address, [this, runner](connection &client) { serve(*runner, client); });
        m_runners.push_back(std::move(added));
        writeEntry(*runner);
        m_record.line("runner " + runner->id + " is ready");
    }

    void writeEntry(desk_runner &runner)
    {
        m_deployment.platform->append("keyed.servers",
                                      runner.id,
                                      runnerEntry("desk", runner.address, "north-a", 6, "ready", ++runner.sequence, 1));
    }

    void writeHeartbeats()
    {
        while (!m_isOver) {
            std::this_thread::sleep_for(milliseconds(heartbeatMs));
            const std::lock_guard lock(m_mutex);
            for (const auto &each : m_runners) {
                if (each->removedAt < 0) {
                    writeEntry(*each);
                }
            }
        }
    }

    /// The runner leaves without reporting that it drains: its entry is removed, and it goes on serving.
    void removeOldest()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &each : m_runners) {
            if (each->removedAt < 0) {
                m_deployment.platform->append("keyed.servers", each->id, std::nullopt);
                each->removedAt = nowMs();
                ++m_removed;
                m_record.line("the entry of " + each->id + " is removed");
                return;
            }
        }
    }

    void serve(desk_runner &runner, connection &client)
    {
        message request;
        while (client.readHead(request, nowMs() + 5000) && client.readBody(request, nowMs() + 5000)) {
            const std::int64_t arrivedAt = nowMs();
            const std::string attempt = request.field("X-Attempt-Id");
            if (request.field("X-Expect-Instance") != runner.id) {
                client.write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + attempt
                             + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            judge(runner, attempt, arrivedAt);
            std::this_thread::sleep_for(milliseconds(workMs));
            client.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: " + runner.id
                         + "\r\nX-Instance-Load: 1,0,6\r\nContent-Length: 3\r\n\r\nok\n");
        }
    }

    /// Late is an arrival more than drain_ms after the removal was acknowledged, of a request that a VM in touch took.
    void judge(const desk_runner &runner, const std::string &attempt, std::int64_t arrivedAt)
    {
        const std::lock_guard lock(m_mutex);
        const auto vm = static_cast<std::size_t>(std::strtoul(attempt.c_str(), nullptr, 10));
        const bool isInTouch = arrivedAt > m_cutUntil[vm] + contactMs;
        if (runner.removedAt >= 0 && arrivedAt > runner.removedAt + drainMs && isInTouch) {
            ++m_late;
            m_record.line("LATE: request " + attempt + " reaches " + runner.id + " "
                          + std::to_string(arrivedAt - runner.removedAt) + " ms after the removal, from "
                          + m_deployment.vms[vm]->id());
        }
    }

    void sendRequests(std::size_t vm, int client)
    {
        int number = 0;
        while (!m_isOver) {
            const std::string attempt =
                std::to_string(vm) + "-" + std::to_string(client) + "-" + std::to_string(++number);
            const answer received = call(
                m_deployment.vms[vm]->front(), requestText("POST", "/book/1", attempt, "k1", 4000, {}, "slot=1"), 4500);
            ++m_requests;
            m_served += received.isComplete && received.content.status() == 200 ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(50));
        }
    }

    void play()
    {
        std::vector<std::thread> threads;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            for (int client = 0; client < clientsPerVm; ++client) {
                threads.emplace_back([this, vm, client] { sendRequests(vm, client); });
            }
        }
        const std::int64_t start = nowMs() + 3000;
        std::int64_t nextRelease = start;
        std::int64_t cycle = start;
        std::set<std::size_t> rejected;
        while (nowMs() < endMs) {
            const std::int64_t time = nowMs() - cycle;
            if (hasTrouble() && time >= 0 && time < rejectedMs && rejected.size() < rejectedVms) {
                rejectReader(rejected);
            }
            if (time >= rejectedMs) {
                for (const std::size_t vm : rejected) {
                    setRejected(vm, false);
                }
                rejected.clear();
                cycle += cyclePeriodMs;
            }
            if (nowMs() >= nextRelease) {
                addRunner();
                removeOldest();
                nextRelease += releaseGapMs + static_cast<std::int64_t>(m_random() % 400);
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        m_isOver = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    /// Turns away the VM that has read the list of runners last.
    void rejectReader(std::set<std::size_t> &rejected)
    {
        const std::optional<std::size_t> reader = m_deployment.platform->lastReader();
        if (reader && rejected.insert(*reader).second) {
            setRejected(*reader, true);
        }
    }

    void setRejected(std::size_t vm, bool isRejected)
    {
        m_deployment.platform->setRejected(vm, isRejected);
        const std::lock_guard lock(m_mutex);
        m_cutUntil[vm] = isRejected ? endMs * 2 : nowMs();
        m_record.line("the store " + std::string(isRejected ? "turns away " : "serves ") + m_deployment.vms[vm]->id());
    }

    std::minstd_rand m_random{7};
    deployment m_deployment;
    record_file m_record;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<desk_runner>> m_runners;
    std::vector<std::int64_t> m_cutUntil;
    int m_runnerCount = 0;
    int m_removed = 0;
    int m_late = 0;
    std::atomic<int> m_requests{0};
    std::atomic<int> m_served{0};
    std::atomic<bool> m_isOver{false};
};

} // namespace

int main()
{
    const int status = [] {
        drain_case played;
        return played.run();
    }();
    std::fflush(nullptr);
    // Threads of connections may still be running.
    std::_Exit(status);
}
