#include "harness/control_exchange.h"

#include "harness/statistics.h"
#include "kernel/kernel.h"
#include "services/admission_controller.h"
#include "services/member_view.h"
#include "services/runner_picker.h"
#include "wire/envelope_codec.h"
#include "wire/frame_codec.h"

#include <algorithm>
#include <map>
#include <memory>
#include <queue>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds clockStep{5};
constexpr std::chrono::seconds warmUpTime{10};
constexpr std::chrono::seconds majorityContactLimit{6};
constexpr std::chrono::milliseconds sampleInterval{500};
constexpr unsigned organisationCount = 10;

class discarding_timeline : public timeline_recorder
{
public:
    void record(timeline_kind /*kind*/, const request_id & /*request*/, std::string /*detail*/) override
    {
    }
};

/// Replaces the plug-ins admission and routing: reports random demand of many groups and random use of many runners, so
/// that every exchange has changes to send.
class demand_source : public plugin, public admission_controller, public runner_picker
{
public:
    explicit demand_source(const control_parameters &parameters)
        : m_parameters(parameters)
    {
    }

    std::string_view name() const override
    {
        return "demand-source";
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
        context.services.offer<admission_controller>(*this);
        context.services.offer<runner_picker>(*this);
        context.services.offer<runner_use_exchange>(*this);
    }

    void handle(const event & /*event*/, action_list & /*actions*/) override
    {
    }

    std::variant<admission_grant, request_error>
    admit(const request_id &, const caller &, const service_id &, std::uint64_t) override
    {
        return admission_grant{};
    }

    void release(const request_id & /*request*/) override
    {
    }

    void noteQueued(const request_id & /*request*/) override
    {
    }

    /// The arrival rate of every group is the time of the report, from which the receiver computes its age.
    std::vector<group_demand> localDemand() const override
    {
        std::vector<group_demand> demand;
        for (unsigned group = 0; group < m_parameters.groups; ++group) {
            const std::string organisation = "organisation-" + std::to_string(group % organisationCount);
            demand.push_back({caller_group_id(organisation + "/group-" + std::to_string(group)),
                              toSeconds(m_context->time.steadyNow().time_since_epoch()),
                              m_context->random.below(100'000),
                              m_context->random.below(1'000'000),
                              m_context->random.below(10'000),
                              m_context->random.below(100)});
        }
        return demand;
    }

    void setRemoteDemand(const vm_id &vm, const std::vector<group_demand> &demand) override
    {
        reportedAt[vm] = steady_time(fromSeconds(demand.front().arrivalRate));
    }

    void removeRemote(const vm_id &vm) override
    {
        reportedAt.erase(vm);
    }

    std::optional<runner_choice> pick(const pick_request & /*request*/) override
    {
        return std::nullopt;
    }

    bool hasRunner(const service_id & /*service*/, const version_id & /*version*/) const override
    {
        return false;
    }

    void attemptStarted(attempt_number, const pick_request &, const runner_id &) override
    {
    }

    void tokenReceived(attempt_number /*attempt*/) override
    {
    }

    void attemptEnded(attempt_number /*attempt*/, std::optional<attempt_failure> /*failure*/) override
    {
    }

    work_estimate estimate(const model_request & /*request*/) const override
    {
        return {};
    }

    void answerFinished(const kind_id & /*kind*/, const token_usage & /*usage*/) override
    {
    }

    std::optional<duration> hedgeDelay(const work_estimate & /*work*/) const override
    {
        return std::nullopt;
    }

    bool spendHedge(const work_estimate & /*work*/) override
    {
        return false;
    }

    bool spendRetry() override
    {
        return false;
    }

    duration silenceLimit(const runner_id & /*runner*/, const work_estimate & /*work*/) const override
    {
        return {};
    }

    std::vector<runner_use> localUse() const override
    {
        std::vector<runner_use> use;
        for (unsigned runner = 0; runner < m_parameters.runners; ++runner) {
            use.push_back({runner_id("runner-" + std::to_string(runner)),
                           1 + static_cast<std::uint32_t>(m_context->random.below(8)),
                           false});
        }
        return use;
    }

    void setRemoteUse(const vm_id & /*vm*/, const std::vector<runner_use> & /*use*/) override
    {
    }

    std::map<vm_id, steady_time> reportedAt;

private:
    const control_parameters &m_parameters;
    plugin_context *m_context = nullptr;
};

/// One entry VM and the number of bytes that it sent.
struct measured_vm {
    explicit measured_vm(std::uint64_t seed)
        : random(seed)
    {
    }

    seeded_random random;
    std::unique_ptr<kernel> vmKernel;
    demand_source *demandSource = nullptr;
    const member_view *memberView = nullptr;
    std::string region;
    double bytes = 0.0;
    double interRegionBytes = 0.0;
};

/// A message in transit or, if there is none, a connection that is being established.
struct pending_delivery {
    steady_time deliveryTime;
    std::uint64_t sequence = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    std::optional<peer_message> message;

    bool operator>(const pending_delivery &other) const
    {
        return deliveryTime != other.deliveryTime ? deliveryTime > other.deliveryTime : sequence > other.sequence;
    }
};

class control_run
{
public:
    explicit control_run(const control_parameters &parameters)
        : m_parameters(parameters)
    {
        for (std::size_t index = 0; index < parameters.vmCount; ++index) {
            addVm(index);
        }
        for (std::size_t index = 0; index < m_vms.size(); ++index) {
            apply(index, m_vms[index]->vmKernel->handle(vm_list_read{m_vmList}));
        }
    }

    control_figures run()
    {
        const steady_time start = m_clock.steadyNow();
        steady_time nextSample = start + warmUpTime;
        while (m_clock.steadyNow() < start + warmUpTime + m_parameters.length) {
            m_clock.advance(clockStep);
            deliverDue();
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                if (m_clock.steadyNow() >= m_vms[index]->vmKernel->nextDeadline()) {
                    apply(index, m_vms[index]->vmKernel->handle(timer_expired{}));
                }
            }
            m_isCounting = m_clock.steadyNow() >= start + warmUpTime;
            if (m_clock.steadyNow() >= nextSample) {
                nextSample += sampleInterval;
                takeSample();
            }
        }
        return figures();
    }

private:
    void addVm(std::size_t index)
    {
        const std::string name = "entry-" + std::to_string(index);
        auto vm = std::make_unique<measured_vm>(m_parameters.seed * 10'000 + index);
        // Two of three availability zones are in one region.
        const std::size_t zone = index % 3;
        vm->region = zone == 2 ? "second" : "first";
        vm_entry entry;
        entry.id = name;
        entry.address = "caller-" + name;
        entry.peerAddress = "peer-" + name;
        entry.availabilityZone = "zone-" + std::to_string(zone);
        entry.region = vm->region;
        m_vmList.push_back(entry);
        vm->vmKernel = std::make_unique<kernel>(kernel::environment{
            m_clock,
            vm->random,
            {vm_id(name), 1'750'000'000'000 + index, entry.availabilityZone, entry.region, {}, entry.peerAddress},
            {},
            m_timeline});
        vm->vmKernel->add(makePlugin("membership"));
        auto demandSource = std::make_unique<demand_source>(m_parameters);
        vm->demandSource = demandSource.get();
        vm->vmKernel->add(std::move(demandSource));
        vm->vmKernel->start();
        vm->memberView = &vm->vmKernel->services().find<member_view>();
        m_indexes[vm_id(name)] = index;
        m_vms.push_back(std::move(vm));
    }

    duration delay(std::size_t from, std::size_t to) const
    {
        return m_vms[from]->region == m_vms[to]->region ? std::chrono::milliseconds(1) : std::chrono::milliseconds(30);
    }

    void apply(std::size_t from, const action_list &actions)
    {
        for (const action &each : actions) {
            if (const auto *connect = std::get_if<connect_peer>(&each)) {
                enqueue(from, m_indexes.at(connect->peer), std::nullopt);
            } else if (const auto *send = std::get_if<send_to_peer>(&each)) {
                const std::size_t to = m_indexes.at(send->peer);
                countBytes(from, to, send->message);
                enqueue(from, to, send->message);
            }
        }
    }

    void countBytes(std::size_t from, std::size_t to, const peer_message &message)
    {
        const vm_id sender(m_vmList[from].id);
        const hybrid_time time{unixMilliseconds(m_clock.systemNow()), 1};
        const std::string frame =
            encodeFrame(m_encoders[{from, to}].encode({sender, 1, time, message}).value()).value();
        if (!m_isCounting) {
            return;
        }
        m_vms[from]->bytes += static_cast<double>(frame.size());
        if (m_vms[from]->region != m_vms[to]->region) {
            m_vms[from]->interRegionBytes += static_cast<double>(frame.size());
        }
    }

    void enqueue(std::size_t from, std::size_t to, std::optional<peer_message> message)
    {
        m_pendingDeliveries.push({m_clock.steadyNow() + delay(from, to), m_sequence++, from, to, std::move(message)});
    }

    void deliverDue()
    {
        while (!m_pendingDeliveries.empty() && m_pendingDeliveries.top().deliveryTime <= m_clock.steadyNow()) {
            const pending_delivery due = m_pendingDeliveries.top();
            m_pendingDeliveries.pop();
            const vm_id from(m_vmList[due.from].id);
            if (due.message) {
                apply(due.to, m_vms[due.to]->vmKernel->handle(peer_message_received{from, *due.message}));
                continue;
            }
            apply(due.from, m_vms[due.from]->vmKernel->handle(peer_connected{vm_id(m_vmList[due.to].id)}));
            apply(due.to, m_vms[due.to]->vmKernel->handle(peer_connected{from}));
        }
    }

    void takeSample()
    {
        for (const auto &vm : m_vms) {
            m_majorities.push_back(vm->memberView->hasContactWithMajority(majorityContactLimit) ? 1.0 : 0.0);
            for (const auto &[other, reportedAt] : vm->demandSource->reportedAt) {
                m_ages.push_back(toSeconds(m_clock.steadyNow() - reportedAt));
            }
            const std::size_t missingReports = m_vms.size() - 1 - vm->demandSource->reportedAt.size();
            m_ages.insert(m_ages.end(), missingReports, toSeconds(m_parameters.length));
        }
    }

    control_figures figures() const
    {
        control_figures result;
        double regional = 0.0;
        double total = 0.0;
        for (const auto &vm : m_vms) {
            const double perSecond = vm->bytes / toSeconds(m_parameters.length);
            result.highestBytesPerSecond = std::max(result.highestBytesPerSecond, perSecond);
            total += vm->bytes;
            regional += vm->interRegionBytes;
        }
        result.meanBytesPerSecond = total / toSeconds(m_parameters.length) / static_cast<double>(m_vms.size());
        result.interRegionShare = regional / total;
        result.medianDemandAge = quantile(m_ages, 0.5);
        result.p95DemandAge = quantile(m_ages, 0.95);
        result.majorityShare = mean(m_majorities);
        return result;
    }

    const control_parameters &m_parameters;
    manual_clock m_clock;
    discarding_timeline m_timeline;
    std::vector<vm_entry> m_vmList;
    std::vector<std::unique_ptr<measured_vm>> m_vms;
    std::map<vm_id, std::size_t> m_indexes;
    std::priority_queue<pending_delivery, std::vector<pending_delivery>, std::greater<>> m_pendingDeliveries;
    std::map<std::pair<std::size_t, std::size_t>, envelope_encoder> m_encoders;
    std::uint64_t m_sequence = 0;
    bool m_isCounting = false;
    std::vector<double> m_ages;
    std::vector<double> m_majorities;
};

} // namespace

control_figures measureControl(const control_parameters &parameters)
{
    return control_run(parameters).run();
}

} // namespace crocuslane
