#include "plugins/backends/cold_runners.h"
#include "plugins/backends/rate_limiter.h"
#include "plugins/backends/tests/listed_members.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace crocuslane;
using namespace std::chrono_literals;

namespace {

constexpr duration coldTime = 3s;
constexpr int zoneSize = 15;
constexpr std::int64_t firstStart = 1;
constexpr std::int64_t secondStart = 2;

/// What one VM knows of runners and VMs.
struct known_deployment {
    known_deployment(std::size_t number, std::size_t vmCount)
        : limiter(vm_id("vm-" + std::to_string(number)), {&runners})
    {
        members.self = number;
        members.vmCount = vmCount;
        limiter.setMembers(&members);
    }

    listed_members members;
    cold_runners runners;
    rate_limiter limiter;
    std::int64_t listedStart = firstStart;
};

/// All VMs of a deployment, each of which always has a request for each runner.
class cold_shares_fixture
{
protected:
    void deploy(std::size_t vmCount, double requestsPerSecond)
    {
        m_rate = requestsPerSecond;
        forward_service service;
        service.id = service_id("model");
        service.coldRequestsPerSecond = requestsPerSecond;
        service.coldTime = coldTime;
        for (std::size_t number = 0; number < vmCount; ++number) {
            known_deployment &vm = m_vms.emplace_back(number, vmCount);
            vm.runners.setServices({service});
            list(vm, firstStart, {});
        }
    }

    void list(known_deployment &vm, std::int64_t start, duration coldLeft)
    {
        backend_list_read read;
        for (int number = 0; number < zoneSize; ++number) {
            backend_entry entry;
            entry.id = runner_id("r-" + std::to_string(number));
            entry.service = service_id("model");
            entry.startedUnixMilliseconds = start;
            entry.coldUntil = now() + coldLeft;
            read.entries.push_back(entry);
        }
        vm.runners.applyList(read, now());
        vm.listedStart = start;
    }

    /// The VMs with lower numbers lose contact with the others and the store.
    void cutOff(std::size_t count)
    {
        for (std::size_t number = 0; number < m_vms.size(); ++number) {
            m_vms[number].members.cutOff = count;
            m_vms[number].members.isInContact = number >= count;
        }
    }

    runner_key keyOfRunner(const known_deployment &vm, int number) const
    {
        return keyOf(runner_id("r-" + std::to_string(number)), vm.listedStart);
    }

    /// Sends at each VM to each runner whenever it may, from the VM's number for @p hasHeard on.
    template<typename condition>
    void sendAllFor(duration time, condition hasHeard)
    {
        for (const steady_time end = now() + time; now() < end; m_clock.advance(20ms)) {
            for (std::size_t number = 0; number < m_vms.size(); ++number) {
                if (hasHeard(number)) {
                    sendFrom(m_vms[number]);
                }
            }
        }
    }

    void sendFrom(known_deployment &vm)
    {
        for (int number = 0; number < zoneSize; ++number) {
            const runner_key key = keyOfRunner(vm, number);
            if (vm.limiter.delay(key, now()) == duration::zero()) {
                vm.limiter.take(key, now());
                m_arrivals[number].push_back(now());
            }
        }
    }

    /// The largest number of requests that one runner got in one second.
    std::size_t busiestSecond() const
    {
        std::size_t most = 0;
        for (const auto &[runner, times] : m_arrivals) {
            for (auto first = times.begin(), last = first; last != times.end(); ++last) {
                while (*last - *first >= 1s) {
                    ++first;
                }
                most = std::max(most, static_cast<std::size_t>(last - first) + 1);
            }
        }
        return most;
    }

    /// The bound of the requirement.
    double bound() const
    {
        return 1.5 * m_rate + 5.0;
    }

    steady_time now() const
    {
        return m_clock.steadyNow();
    }

    manual_clock m_clock;
    double m_rate = 0.0;
    std::deque<known_deployment> m_vms;
    std::map<int, std::vector<steady_time>> m_arrivals;
};

} // namespace

// Guards against runners that crash when their zone comes back and all VMs find them idle, also at VMs that have lost
// contact and don't know of the new processes.
TEST_CASE_METHOD(cold_shares_fixture, "zone, back at once, cold runners get no more than they tolerate", "[backends]")
{
    const auto vmCount = GENERATE(as<std::size_t>(), 6, 87, 300);
    const std::size_t cut = GENERATE(0, 1, 2) * vmCount / 6;
    const double rate = GENERATE(0.5, 8.8, 40.0);
    CAPTURE(vmCount, cut, rate);
    deploy(vmCount, rate);
    m_clock.advance(60s);
    cutOff(cut);
    for (std::size_t number = cut; number < vmCount; ++number) {
        list(m_vms[number], firstStart, {});
    }
    m_clock.advance(5s);
    const steady_time back = now();
    std::vector<bool> hasList(vmCount, false);
    sendAllFor(coldTime, [&](std::size_t number) {
        const duration delay = 300ms * static_cast<long>(number % 6);
        if (number >= cut && !hasList[number] && now() - back >= delay) {
            hasList[number] = true;
            list(m_vms[number], secondStart, back + coldTime - now());
        }
        return number < cut || hasList[number];
    });
    CHECK(static_cast<double>(busiestSecond()) <= bound());
    CHECK_FALSE(m_arrivals.empty());
}

// Guards against permits that were left from an earlier time when the runner was cold.
TEST_CASE_METHOD(cold_shares_fixture, "runner, cold again later, gets no more than it tolerates", "[backends]")
{
    const auto vmCount = GENERATE(as<std::size_t>(), 6, 87, 300);
    const double rate = GENERATE(8.8, 40.0);
    CAPTURE(vmCount, rate);
    deploy(vmCount, rate);
    for (int times = 0; times < 3; ++times) {
        m_clock.advance(60s);
        for (known_deployment &vm : m_vms) {
            list(vm, firstStart, {});
            for (int number = 0; number < zoneSize; ++number) {
                vm.runners.setColdUntil(keyOfRunner(vm, number), now() + coldTime, cold_source::answer);
            }
        }
        m_arrivals.clear();
        sendAllFor(coldTime, [](std::size_t /*number*/) { return true; });
        CHECK(static_cast<double>(busiestSecond()) <= bound());
        CHECK(static_cast<double>(busiestSecond()) >= rate / 2.0);
    }
}

// Guards against a deployment whose VMs all lose the store and then send at their usual rates.
TEST_CASE_METHOD(cold_shares_fixture, "list of runners, old at all VMs, runners count as cold", "[backends]")
{
    const auto vmCount = GENERATE(as<std::size_t>(), 6, 87, 300);
    CAPTURE(vmCount);
    deploy(vmCount, 8.8);
    m_clock.advance(3900ms);
    CHECK(m_vms[0].limiter.delay(keyOfRunner(m_vms[0], 0), now()) == duration::zero());
    m_clock.advance(200ms);
    sendAllFor(5s, [](std::size_t /*number*/) { return true; });
    CHECK(static_cast<double>(busiestSecond()) <= bound());
    CHECK(m_arrivals.size() == zoneSize);
}
