#include "load_simulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace crocuslane {

namespace {

constexpr unsigned zones = 6;
constexpr unsigned zonesPerRegion = 3;
constexpr unsigned slots = 16;
constexpr std::uint64_t kvCacheTokens = 442'751;
constexpr double tokensPerSecond = 61'200.0;
constexpr double stepSeconds = 0.00337;
constexpr double stepGrowthPerRequest = 0.03;
constexpr double meanOutputTokens = 500.0;
constexpr unsigned organisations = 24;
constexpr double warmUpSeconds = 6.0;
constexpr double regionLatencySeconds = 0.03;
constexpr double surgeStart = 14.0;
constexpr double surgeEnd = 19.0;
constexpr double surgeFactor = 1.5;

struct request_class {
    std::uint32_t tokens;
    double share;
};

constexpr std::array<request_class, 3> classes{{{12'000, 0.19}, {826, 0.47}, {2368, 0.34}}};

struct timed {
    double at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const timed &other) const
    {
        return std::tie(other.at, other.order) < std::tie(at, order);
    }
};

struct simulated_runner {
    unsigned running = 0;
    double prefillUntil = 0.0;
    prompt_cache cache;
    double busySeconds = 0.0;
    double totalSeconds = 0.0;
    double countedAt = 0.0;
};

struct simulated_vm {
    backend_table table;
    std::vector<backend_record *> records;
    std::vector<backend_record *> candidates;
    std::unique_ptr<backend_selector> selector;
    std::vector<unsigned> published;
};

struct simulated_request {
    std::vector<prompt_part> prompt;
    backend_requirements requirements;
    std::set<runner_id> tried;
    double arrivedAt = 0.0;
    double outputTokens = 0.0;
};

std::string zoneName(unsigned index)
{
    return "z" + std::to_string(index % zones);
}

std::string regionName(unsigned zone)
{
    return zone % zones < zonesPerRegion ? "north" : "south";
}

class load_simulation
{
public:
    load_simulation(const simulated_deployment &deployment, const selection_rules &rules, std::uint64_t seed)
        : m_deployment(deployment)
        , m_random(seed)
        , m_choices(seed + 1)
        , m_runners(deployment.runners)
        , m_total(deployment.runners, 0)
    {
        m_engine.slots = slots;
        m_engine.kvCacheTokens = kvCacheTokens;
        for (unsigned index = 0; index < deployment.vms; ++index) {
            addVm(index, rules);
        }
    }

    simulated_result run()
    {
        scheduleArrival();
        at(warmUpSeconds, [this] { startWindow(); });
        while (!m_events.empty() && m_events.top().at < m_deployment.seconds) {
            const timed next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        m_result.imbalance = m_windows == 0 ? 0.0 : m_imbalance / m_windows;
        m_result.totalImbalance = totalImbalance();
        m_result.meanDelayMilliseconds = 1000.0 * m_delay / std::max(1U, m_answered);
        m_result.cachedShare = m_cachedTokens / m_promptTokens;
        m_result.otherZoneShare /= std::max(1U, m_answered);
        m_result.otherRegionShare /= std::max(1U, m_answered);
        return m_result;
    }

private:
    void at(double time, std::function<void()> action)
    {
        m_events.push({time, ++m_order, std::move(action)});
    }

    steady_time now() const
    {
        return steady_time(std::chrono::hours(1)) + fromSeconds(m_now);
    }

    double exponential(double mean)
    {
        return -mean * std::log(1.0 - m_random.unit());
    }

    void addVm(unsigned index, const selection_rules &rules)
    {
        simulated_vm &vm = m_vms.emplace_back();
        vm_location location{zoneName(index), regionName(index), {}};
        for (unsigned zone = 0; zone < zones; ++zone) {
            location.regions[zoneName(zone)] = regionName(zone);
        }
        vm.selector =
            std::make_unique<backend_selector>(location, m_choices, m_prefillSpeed, m_filter, m_speeds, rules);
        backend_list_read list;
        for (unsigned runner = 0; runner < m_deployment.runners; ++runner) {
            backend_entry entry;
            entry.id = runner_id("r" + std::to_string(runner));
            entry.service = service_id("model");
            entry.availabilityZone = zoneName(runner);
            entry.slots = slots;
            list.entries.push_back(entry);
        }
        action_list log;
        vm.table.applyList(list, now(), log);
        for (const backend_entry &entry : list.entries) {
            vm.records.push_back(vm.table.find(entry.id));
        }
        vm.candidates = vm.records;
        std::shuffle(vm.candidates.begin(), vm.candidates.end(), std::mt19937(index));
        vm.candidates.resize(static_cast<std::size_t>(m_deployment.runners * m_deployment.subsetShare));
        vm.published.assign(m_deployment.runners, 0);
        at(m_random.unit() * m_deployment.exchangeSeconds, [this, index] { report(index); });
    }

    void report(unsigned index)
    {
        std::vector<unsigned> counts;
        for (const backend_record *record : m_vms[index].records) {
            counts.push_back(record->localRunning);
        }
        at(m_now + m_deployment.transitSeconds, [this, index, counts] {
            simulated_vm &vm = m_vms[index];
            for (unsigned runner = 0; runner < m_deployment.runners; ++runner) {
                m_total[runner] += counts[runner] - vm.published[runner];
            }
            vm.published = counts;
        });
        at(m_now + m_deployment.exchangeSeconds, [this, index] { report(index); });
        updateRemote(index);
        const duration age = fromSeconds(m_deployment.transitSeconds + m_deployment.exchangeSeconds / 2.0);
        for (backend_record *record : m_vms[index].records) {
            record->remoteUse.update(record->remoteRunning(), age, now());
        }
    }

    /// All other VMs' reports appear as those of one VM.
    void updateRemote(unsigned index)
    {
        simulated_vm &vm = m_vms[index];
        for (unsigned runner = 0; runner < m_deployment.runners; ++runner) {
            vm.records[runner]->remoteRunningByVm[vm_id("others")] = m_total[runner] - vm.published[runner];
        }
    }

    void scheduleArrival()
    {
        const bool isSurge = m_now >= surgeStart && m_now < surgeEnd;
        const double rate = m_deployment.requestsPerRunner * m_deployment.runners * (isSurge ? surgeFactor : 1.0);
        at(m_now + exponential(1.0 / rate), [this] {
            arrive();
            scheduleArrival();
        });
    }

    const request_class &drawClass()
    {
        double rest = m_random.unit();
        for (const request_class &each : classes) {
            rest -= each.share;
            if (rest < 0.0) {
                return each;
            }
        }
        return classes.back();
    }

    void arrive()
    {
        const auto request = std::make_shared<simulated_request>();
        const request_class &kind = drawClass();
        // A few organisations are large: the square favours the first ones.
        const auto organisation = static_cast<std::uint64_t>(organisations * std::pow(m_random.unit(), 2.0));
        const std::uint32_t shared = kind.tokens * 2 / 3;
        request->prompt.push_back({organisation * 100'000 + kind.tokens, shared});
        request->prompt.push_back({m_random.next(), kind.tokens - shared});
        request->requirements.service = service_id("model");
        request->requirements.engine = &m_engine;
        request->requirements.prompt = &request->prompt;
        request->requirements.promptTokens = kind.tokens;
        request->requirements.outputTokens = static_cast<std::uint32_t>(meanOutputTokens);
        request->requirements.excluded = &request->tried;
        request->arrivedAt = m_now;
        request->outputTokens = exponential(meanOutputTokens);
        ++m_result.requests;
        attempt(static_cast<unsigned>(m_random.below(m_vms.size())), request);
    }

    void attempt(unsigned index, const std::shared_ptr<simulated_request> &request)
    {
        constexpr double retrySeconds = 0.05;
        updateRemote(index);
        simulated_vm &vm = m_vms[index];
        const auto chosen = vm.selector->select(vm.candidates, request->requirements, now());
        if (!chosen) {
            at(m_now + retrySeconds, [this, index, request] { attempt(index, request); });
            return;
        }
        const auto runner =
            static_cast<unsigned>(std::find(vm.records.begin(), vm.records.end(), chosen->record) - vm.records.begin());
        attempt_load load;
        load.runner = chosen->record->entry.id;
        load.memoryTokens = request->requirements.promptTokens + request->requirements.outputTokens;
        load.prefillTokens = request->requirements.promptTokens
            - std::min(request->requirements.promptTokens,
                       chosen->record->prompts.cachedTokens(request->prompt, now()));
        load.prefillTime = m_prefillSpeed.timeFor("", load.prefillTokens);
        chosen->record->prompts.add(request->prompt, kvCacheTokens, now());
        const attempt_number number = ++m_attempts;
        vm.table.attemptStarted(number, load);
        const double latency = latencyBetween(index, runner);
        at(m_now + latency,
           [this, index, runner, number, request, latency] { reach(index, runner, number, request, latency); });
    }

    static double latencyBetween(unsigned vm, unsigned runner)
    {
        constexpr double zoneLatencySeconds = 0.0009;
        return regionName(vm) == regionName(runner) ? zoneLatencySeconds : regionLatencySeconds;
    }

    void reach(unsigned index,
               unsigned runner,
               attempt_number number,
               const std::shared_ptr<simulated_request> &request,
               double latency)
    {
        simulated_runner &target = m_runners[runner];
        if (target.running >= slots) {
            ++m_result.refused;
            at(m_now + latency, [this, index, runner, number, request] {
                noteLoad(index, runner, slots);
                m_vms[index].table.attemptEnded(number);
                request->tried.insert(m_vms[index].records[runner]->entry.id);
                attempt(index, request);
            });
            return;
        }
        const std::uint32_t cached = target.cache.cachedTokens(request->prompt, now());
        target.cache.add(request->prompt, kvCacheTokens, now());
        m_cachedTokens += cached;
        m_promptTokens += request->requirements.promptTokens;
        changeRunning(target, 1);
        const double prefill = (request->requirements.promptTokens - cached) / tokensPerSecond;
        target.prefillUntil = std::max(target.prefillUntil, m_now) + prefill;
        m_result.otherZoneShare += index % zones == runner % zones ? 0.0 : 1.0;
        m_result.otherRegionShare += regionName(index) == regionName(runner) ? 0.0 : 1.0;
        at(target.prefillUntil,
           [this, index, runner, number, request, latency] { generate(index, runner, number, request, latency); });
    }

    void generate(unsigned index,
                  unsigned runner,
                  attempt_number number,
                  const std::shared_ptr<simulated_request> &request,
                  double latency)
    {
        simulated_runner &target = m_runners[runner];
        const unsigned reported = target.running;
        at(m_now + latency, [this, index, runner, number, request, reported] {
            noteLoad(index, runner, reported);
            m_vms[index].table.answerBegan(number);
            m_delay += m_now - request->arrivedAt;
            ++m_answered;
        });
        const double step = stepSeconds * (1.0 + stepGrowthPerRequest * target.running);
        at(m_now + request->outputTokens * step, [this, index, runner, number, latency] {
            changeRunning(m_runners[runner], -1);
            at(m_now + latency, [this, index, number] { m_vms[index].table.attemptEnded(number); });
        });
    }

    void noteLoad(unsigned index, unsigned runner, unsigned running)
    {
        backend_record &record = *m_vms[index].records[runner];
        record.load = reported_load{running, 0, slots};
        record.loadReceivedAt = now();
        record.localRunningAtLoad = record.localRunning;
    }

    void changeRunning(simulated_runner &runner, int change)
    {
        runner.busySeconds += runner.running * (m_now - runner.countedAt);
        runner.countedAt = m_now;
        runner.running += change;
    }

    double totalImbalance() const
    {
        double busiest = 0.0;
        double sum = 0.0;
        for (const simulated_runner &runner : m_runners) {
            busiest = std::max(busiest, runner.totalSeconds);
            sum += runner.totalSeconds;
        }
        return busiest * m_deployment.runners / sum;
    }

    void startWindow()
    {
        double busiest = 0.0;
        double sum = 0.0;
        for (simulated_runner &runner : m_runners) {
            changeRunning(runner, 0);
            busiest = std::max(busiest, runner.busySeconds);
            sum += runner.busySeconds;
            runner.totalSeconds += m_now > warmUpSeconds ? runner.busySeconds : 0.0;
            runner.busySeconds = 0.0;
        }
        if (m_now > warmUpSeconds) {
            m_imbalance += busiest * m_deployment.runners / sum;
            ++m_windows;
        }
        at(m_now + 1.0, [this] { startWindow(); });
    }

    simulated_deployment m_deployment;
    seeded_random m_random;
    seeded_random m_choices;
    engine_description m_engine;
    prefill_speed m_prefillSpeed;
    zone_evacuations m_evacuations;
    placement_filter m_filter{m_evacuations, {}};
    runner_speeds m_speeds;
    std::vector<simulated_runner> m_runners;
    std::vector<unsigned> m_total;
    std::deque<simulated_vm> m_vms;
    std::priority_queue<timed> m_events;
    std::uint64_t m_order = 0;
    attempt_number m_attempts = 0;
    double m_now = 0.0;
    simulated_result m_result;
    double m_imbalance = 0.0;
    unsigned m_windows = 0;
    double m_delay = 0.0;
    unsigned m_answered = 0;
    double m_cachedTokens = 0.0;
    double m_promptTokens = 0.0;
};

} // namespace

simulated_result simulateLoad(const simulated_deployment &deployment, const selection_rules &rules, std::uint64_t seed)
{
    return load_simulation(deployment, rules, seed).run();
}

} // namespace crocuslane
