#include "simulated_deployment.h"

#include "base/digest.h"
#include "faulty_version_chooser.h"
#include "kernel/kernel.h"
#include "kernel/plugin_sets.h"
#include "logrecords/log_record_codec.h"
#include "plugins/duties/duties_plugin.h"
#include "plugins/publication/publication_plugin.h"
#include "support/fake_log.h"
#include "support/log_harness.h"

#include <algorithm>

namespace crocuslane {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t modelRunners = 3;
constexpr std::size_t plainRunners = 2;
constexpr duration idlePollInterval = 500ms;
constexpr duration pollRetryInterval = 200ms;
constexpr duration appendTimeout = 2s;
constexpr duration reportInterval = 1s;
constexpr duration callerTimeout = 12s;
constexpr std::size_t maximumSubmissions = 3;

std::string hashOf(const std::string &key)
{
    return sha256Hex("key-" + key);
}

} // namespace

std::string configurationText(const std::string &stateOfSmall2)
{
    return "[service advice]\ntype = model\nmodels = small, large\n"
           "[service desk]\ntype = plain\n"
           "[operation book]\nservice = desk\nrepeatable = false\n"
           "[kind question]\nservice = advice\nquality_target = 0.5\nclass = standard\n"
           "[model small]\ninput_cost = 1\noutput_cost = 1\n"
           "[model large]\ninput_cost = 9\noutput_cost = 9\n"
           "[version small@1]\nstate = active\n"
           "[version small@2]\nstate = "
        + stateOfSmall2
        + "\n"
          "[version large@1]\nstate = active\n"
          "[organisation alpha]\nversions = small@1, small@2, large@1\nservices = advice, desk\n"
          "[organisation beta]\nversions = small@1\nservices = advice\n"
          "[group alpha/all]\nkeys = "
        + hashOf("alpha")
        + "\nrequests_per_s = 1000\ntokens_in_flight = 100000000\n"
          "[group beta/all]\nkeys = "
        + hashOf("beta")
        + "\nrequests_per_s = 1000\ntokens_in_flight = 100000000\n"
          "[group alpha/operators]\nkeys = "
        + hashOf("operator") + "\nrequests_per_s = 10\ntokens_in_flight = 1000\noperator = true\n";
}

std::uint32_t answerLength(const std::string &request)
{
    return 4 + static_cast<std::uint32_t>(std::hash<std::string>{}(request) % 12);
}

struct simulated_deployment::private_data {
    struct attempt_state {
        request_id request;
        std::string runner;
        bool isRunning = true;
    };

    struct vm_state {
        std::string id;
        std::string zone;
        std::uint64_t incarnation = 0;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<publication_settings> publication;
        std::unique_ptr<claim_settings> claims;
        std::unique_ptr<crocuslane::kernel> kernel;
        billing_plugin *billing = nullptr;
        std::map<std::string, log_offset> positions;
        std::map<attempt_number, attempt_state> attempts;
        /// Requests whose callers wait for an answer of this VM.
        std::set<std::string> openRequests;
        std::deque<event> backlog;
        bool isPaused = false;
        bool pausesBeforeActions = false;
        bool isLogUp = true;
        bool isStopping = false;
        /// Set while the events that arrived during a pause are delivered.
        bool isCatchingUp = false;
        /// Actions decided before a pause and executed after it.
        action_list deferredActions;
        std::uint64_t version = 0;
    };

    /// Connection between two VMs. Either end may be closed before the other notices.
    struct connection {
        /// Counts reconnections, so that messages and closures of an earlier connection are dropped.
        std::uint64_t epoch = 0;
        std::set<std::size_t> openEnds;
        std::map<std::size_t, steady_time> lastArrival;
    };

    struct caller_state {
        std::string organisation;
        std::string key;
        std::string session;
        std::string lastVersion;
        std::string requestedVersion;
        std::size_t vm = 0;
        std::set<std::size_t> triedVms;
        std::uint32_t receivedTokens = 0;
        bool isDone = false;
        /// Number of the latest submission, so that timeouts of earlier submissions are ignored.
        std::uint64_t submission = 0;
    };

    explicit private_data(options options, std::uint64_t seed)
        : settings(options)
        , random(seed)
        , log(time)
        , vms(options.vms)
    {
    }

    // Scheduling and observations.

    void schedule(duration delay, std::function<void()> task)
    {
        scheduled.emplace(time.steadyNow() + delay, std::move(task));
    }

    duration randomDuration(duration low, duration high)
    {
        return low + duration(static_cast<duration::rep>(random.unit() * static_cast<double>((high - low).count())));
    }

    bool chance(double probability)
    {
        return random.unit() < probability;
    }

    observation &recordObservation(observation_kind kind, std::size_t vm, const std::string &request = {})
    {
        observation observed;
        observed.kind = kind;
        observed.at = time.steadyNow();
        observed.process = vms[vm].id + "." + std::to_string(vms[vm].incarnation);
        observed.request = request;
        observations.push_back(observed);
        return observations.back();
    }

    void recordFault(const std::string &name)
    {
        ++injectedFaults;
        recordObservation(observation_kind::fault, 0).text = name;
    }

    // Processes.

    void startVm(std::size_t index)
    {
        vm_state &vm = vms[index];
        const std::uint64_t incarnation = vm.incarnation + 1;
        vm = vm_state();
        vm.id = "vm" + std::to_string(index);
        vm.zone = index % 2 == 0 ? "a" : "b";
        vm.incarnation = incarnation;
        vm.random = std::make_unique<seeded_random>(random.next());
        vm.publication = std::make_unique<publication_settings>();
        vm.publication->retention = settings.retention;
        vm.claims = std::make_unique<claim_settings>();
        vm.claims->window = 20s;
        vm.isLogUp = true;
        vm.kernel = std::make_unique<crocuslane::kernel>(crocuslane::kernel::environment{
            time,
            *vm.random,
            {vm_id(vm.id), incarnation, vm.zone, "region", vm.id + ":80", vm.id + ":81"},
            {"session-key"},
            timeline});
        vm.kernel->services().offer<publication_settings>(*vm.publication);
        vm.kernel->services().offer<claim_settings>(*vm.claims);
        addPlugins(vm);
        execute(index, vm.kernel->start());
        deliver(index, vmListEvent());
        reportLoad(index, incarnation);
    }

    void addPlugins(vm_state &vm)
    {
        const deployment_controls &controls = settings.controls;
        for (const std::string_view name : ownInterfacePlugins) {
            if (name == "publication") {
                vm.kernel->add(std::make_unique<publication_plugin>(makeConfigurationParser(), controls.publication));
            } else if (name == "claims") {
                vm.kernel->add(std::make_unique<claims_plugin>(controls.claims));
            } else if (name == "billing") {
                auto billing = std::make_unique<billing_plugin>(controls.billing);
                vm.billing = billing.get();
                vm.kernel->add(std::move(billing));
            } else if (name == "duties") {
                vm.kernel->add(std::make_unique<duties_plugin>(controls.leases));
            } else {
                vm.kernel->add(makePlugin(name));
            }
        }
        if (!controls.checksPermissions || !controls.keepsSessions) {
            vm.kernel->add(
                std::make_unique<faulty_version_chooser>(controls.checksPermissions, controls.keepsSessions));
        }
    }

    void deliver(std::size_t index, event event)
    {
        vm_state &vm = vms[index];
        if (!vm.kernel) {
            return;
        }
        if (vm.isPaused) {
            vm.backlog.push_back(std::move(event));
            return;
        }
        ++handledEvents;
        action_list actions = vm.kernel->handle(std::move(event));
        recordServed(index, actions);
        if (vm.pausesBeforeActions && !actions.empty()) {
            // The process is paused between its decision and the execution of the actions.
            vm.pausesBeforeActions = false;
            vm.isPaused = true;
            vm.deferredActions = std::move(actions);
            return;
        }
        execute(index, actions);
        inspect(index);
    }

    /// Records the time of the decision to serve a request, which is before a pause that delays the actions.
    void recordServed(std::size_t index, const action_list &actions)
    {
        for (const action &action : actions) {
            if (const auto *attempt = std::get_if<start_attempt>(&action)) {
                observation &observed = recordObservation(observation_kind::served, index, attempt->request.value());
                observed.number = servedVersion(index);
                observed.version = attempt->version.value();
                observed.runner = attempt->runner.value();
            } else if (const auto *call = std::get_if<start_call>(&action)) {
                recordObservation(observation_kind::served, index, call->request.value()).number = servedVersion(index);
            }
        }
    }

    std::uint64_t servedVersion(std::size_t index)
    {
        return vms[index].kernel->services().find<configuration_source>().version();
    }

    /// Wraps a task so that it runs only while the current process of the VM does, not after its end or restart.
    auto forCurrentProcess(std::size_t index, std::function<void()> task)
    {
        return [this, index, incarnation = vms[index].incarnation, task = std::move(task)] {
            if (vms[index].kernel && vms[index].incarnation == incarnation) {
                task();
            }
        };
    }

    void deliverLater(std::size_t index, duration delay, event event)
    {
        schedule(delay, forCurrentProcess(index, [this, index, event = std::move(event)] { deliver(index, event); }));
    }

    /// Records effects of an event on the VM: a new configuration version, two holders of a duty, the end of a stop.
    void inspect(std::size_t index)
    {
        vm_state &vm = vms[index];
        const auto &source = vm.kernel->services().find<configuration_source>();
        if (source.version() != vm.version) {
            vm.version = source.version();
            observation &observed = recordObservation(observation_kind::in_force, index);
            observed.number = vm.version;
            observed.text = source.current()->text;
        }
        checkDutyHolders();
        // Events that arrived during a pause are delivered before the process may end.
        if (vm.isStopping && !vm.isCatchingUp && (!settings.controls.drains || vm.kernel->isIdle())) {
            observation &observed = recordObservation(observation_kind::stopped, index);
            observed.number = vm.openRequests.size();
            for (const std::string &request : vm.openRequests) {
                observed.text += request + " ";
            }
            endProcess(index);
        }
    }

    void checkDutyHolders()
    {
        std::string holders;
        std::size_t count = 0;
        for (const vm_state &vm : vms) {
            if (vm.kernel && vm.kernel->services().find<duty_leases>().fencing("orders")) {
                ++count;
                holders += vm.id + " ";
            }
        }
        if (count > 1 && holders != lastDutyHolders) {
            recordObservation(observation_kind::two_holders, 0).text = holders;
        }
        lastDutyHolders = count > 1 ? holders : std::string();
    }

    void endProcess(std::size_t index)
    {
        // The kernel may still be on the call stack, so it is destroyed after the step.
        endedKernels.push_back(std::move(vms[index].kernel));
        for (auto &[pair, link] : links) {
            if (pair.first == index || pair.second == index) {
                const std::size_t other = pair.first == index ? pair.second : pair.first;
                link.openEnds.erase(index);
                if (link.openEnds.contains(other) && chance(0.5)) {
                    closeLater(pair, other, randomDuration(1ms, 100ms));
                }
            }
        }
    }

    // Log service.

    /// Reads from the log as a long poll: answered at once if there are new records, otherwise after idlePollInterval.
    void poll(std::size_t index, const std::string &stream)
    {
        vm_state &vm = vms[index];
        const steady_time queryTime = time.steadyNow();
        if (!vm.isLogUp || !isLogUp) {
            deliver(index, log_unreachable{stream});
            if (vm.kernel) {
                schedule(pollRetryInterval, forCurrentProcess(index, [this, index, stream] { poll(index, stream); }));
            }
            return;
        }
        const bool isNew = log.read(stream, vm.positions[stream], 1).endOffset > vm.positions[stream];
        const duration wait = isNew ? randomDuration(1ms, 5ms) : idlePollInterval;
        schedule(wait,
                 forCurrentProcess(index, [this, index, stream, queryTime] { answerPoll(index, stream, queryTime); }));
    }

    void answerPoll(std::size_t index, const std::string &stream, steady_time queryTime)
    {
        vm_state &vm = vms[index];
        log_records_read read = log.read(stream, vm.positions[stream], 50);
        read.queryTime = queryTime;
        const duration delay = readsAreSlow ? randomDuration(0ms, 2s) : 0ms;
        schedule(delay, forCurrentProcess(index, [this, index, stream, read] {
                     vm_state &vm = vms[index];
                     if (!vm.isLogUp || !isLogUp) {
                         poll(index, stream);
                         return;
                     }
                     vm.positions[stream] = read.records.empty() ? std::max(read.firstOffset, vm.positions[stream])
                                                                 : read.records.back().offset + 1;
                     deliver(index, read);
                     if (vms[index].kernel) {
                         poll(index, stream);
                     }
                 }));
    }

    void append(std::size_t index, const append_record &append)
    {
        if (!vms[index].isLogUp || !isLogUp) {
            const bool wasRejected = chance(0.5);
            deliverLater(index, wasRejected ? 1ms : appendTimeout, append_failed{append.recordId, wasRejected});
            return;
        }
        const bool isLost = losesAnswers && chance(0.5);
        const bool isLate = delaysAppends && chance(0.5);
        const duration effectDelay = isLate ? randomDuration(1s, 6s) : randomDuration(1ms, 4ms);
        schedule(effectDelay, [this, index, incarnation = vms[index].incarnation, append, isLost, isLate] {
            const log_offset offset = log.append(append);
            recordBills(append);
            if (!isLost && !isLate) {
                schedule(randomDuration(1ms, 4ms), [this, index, incarnation, append, offset] {
                    if (vms[index].kernel && vms[index].incarnation == incarnation) {
                        deliver(index, record_appended{append.recordId, offset});
                    }
                });
            }
        });
        if (isLost || isLate) {
            deliverLater(index, appendTimeout, append_failed{append.recordId, false});
        }
    }

    void recordBills(const append_record &append)
    {
        const auto entries = decodeEntries(append.payload);
        for (const log_entry &entry : *entries) {
            if (const auto *logged = std::get_if<bill>(&entry)) {
                recordObservation(observation_kind::bill_logged, 0, logged->request.value()).organisation =
                    logged->organisation.value();
            }
        }
    }

    // Connections between VMs.

    connection &link(std::size_t first, std::size_t second)
    {
        return links[std::minmax(first, second)];
    }

    bool isCut(std::size_t from, std::size_t to) const
    {
        return partitionedVms.contains(from) != partitionedVms.contains(to) || silencedDirections.contains({from, to});
    }

    std::size_t indexOf(const vm_id &id) const
    {
        return static_cast<std::size_t>(std::stoul(id.value().substr(2)));
    }

    void closeLater(std::pair<std::size_t, std::size_t> pair, std::size_t index, duration delay)
    {
        const std::size_t other = pair.first == index ? pair.second : pair.first;
        schedule(delay, forCurrentProcess(index, [this, pair, index, other, epoch = links[pair].epoch] {
                     if (links[pair].epoch == epoch && links[pair].openEnds.erase(index) > 0) {
                         deliver(index, peer_disconnected{vm_id(vms[other].id)});
                     }
                 }));
    }

    void connectTo(std::size_t index, std::size_t other)
    {
        schedule(randomDuration(1ms, 20ms), forCurrentProcess(index, [this, index, other] {
                     if (!vms[other].kernel || isCut(index, other) || isCut(other, index)) {
                         deliverLater(index, 1s, peer_disconnected{vm_id(vms[other].id)});
                         return;
                     }
                     connection &link = this->link(index, other);
                     const std::set<std::size_t> previousEnds = link.openEnds;
                     link.openEnds = {index, other};
                     ++link.epoch;
                     link.lastArrival.clear();
                     for (const std::size_t endpoint : {index, other}) {
                         const vm_id peer(vms[endpoint == index ? other : index].id);
                         if (previousEnds.contains(endpoint)) {
                             deliver(endpoint, peer_disconnected{peer});
                         }
                         if (vms[endpoint].kernel) {
                             deliver(endpoint, peer_connected{peer});
                         }
                     }
                 }));
    }

    void send(std::size_t index, const send_to_peer &action)
    {
        const std::size_t other = indexOf(action.peer);
        connection &link = this->link(index, other);
        if (!link.openEnds.contains(index) || isCut(index, other)) {
            return;
        }
        // Messages of one connection arrive in order; messages of different connections may overtake each other.
        const duration delay = chance(0.05) ? randomDuration(1ms, 800ms) : randomDuration(1ms, 5ms);
        steady_time &last = link.lastArrival[other];
        last = std::max(last, time.steadyNow() + delay);
        scheduled.emplace(last,
                          forCurrentProcess(other, [this, index, other, message = action.message, epoch = link.epoch] {
                              connection &link = this->link(index, other);
                              if (link.epoch == epoch && link.openEnds.contains(other)) {
                                  deliver(other, peer_message_received{vm_id(vms[index].id), message});
                              }
                          }));
    }

    // Platform.

    vm_list_read vmListEvent()
    {
        if (isVmListFrozen) {
            return latestVmList;
        }
        vm_list_read read;
        for (std::size_t index = 0; index < vms.size(); ++index) {
            vm_entry entry;
            entry.id = "vm" + std::to_string(index);
            entry.address = entry.id + ":80";
            entry.peerAddress = entry.id + ":81";
            entry.availabilityZone = index % 2 == 0 ? "a" : "b";
            entry.region = "region";
            read.entries.push_back(entry);
        }
        for (std::size_t index = 0; index < modelRunners + plainRunners; ++index) {
            vm_entry entry;
            const bool isModel = index < modelRunners;
            entry.role = isModel ? vm_role::model : vm_role::plain;
            entry.id = (isModel ? "r" : "p") + std::to_string(index);
            entry.service = service_id(isModel ? "advice" : "desk");
            entry.address = entry.id + ":90";
            entry.availabilityZone = "a";
            entry.region = "region";
            entry.checksFencing = index == 0;
            const bool isLeaving = settings.controls.announcesLeaving && leavingRunners.contains(entry.id);
            entry.state = isLeaving ? backend_state::leaving : backend_state::live;
            read.entries.push_back(entry);
        }
        latestVmList = read;
        return read;
    }

    void reportLoad(std::size_t index, std::uint64_t incarnation)
    {
        if (!vms[index].kernel || vms[index].incarnation != incarnation) {
            return;
        }
        for (const vm_entry &entry : vm_list_read(latestVmList).entries) {
            if (entry.role == vm_role::entry || !vms[index].kernel) {
                continue;
            }
            runner_load load;
            load.runner = runner_id(entry.id);
            load.slots = 16;
            if (entry.role == vm_role::model) {
                load.versions = {version_id("small@1"), version_id("small@2"), version_id("large@1")};
            }
            const bool isLeaving = settings.controls.announcesLeaving && leavingRunners.contains(entry.id);
            load.state = isLeaving ? backend_state::leaving : backend_state::live;
            deliver(index, runner_load_reported{load});
        }
        deliverLater(index, 2ms, vmListEvent());
        schedule(reportInterval, [this, index, incarnation] { reportLoad(index, incarnation); });
    }

    // Backend servers.

    void runCall(std::size_t index, const start_call &call)
    {
        const auto caller = callers.find(call.request.value());
        if (failsBackends && chance(0.2)) {
            deliverLater(index, 5ms, attempt_failed{call.attempt, attempt_failure::not_sent});
            return;
        }
        const bool isLost = failsBackends && chance(0.4);
        const std::string process = vms[index].id + "." + std::to_string(vms[index].incarnation);
        schedule(randomDuration(1ms, 50ms),
                 [this, index, call, isLost, caller, process, incarnation = vms[index].incarnation] {
                     observation &observed = recordObservation(observation_kind::call_run, index, call.request.value());
                     observed.process = process;
                     observed.text = caller == callers.end() ? std::string() : caller->second.key;
                     observed.runner = call.runner.value();
                     if (vms[index].incarnation != incarnation) {
                         return;
                     }
                     if (isLost) {
                         const attempt_failure failure = settings.controls.reportsLostCalls
                             ? attempt_failure::connection_lost
                             : attempt_failure::not_sent;
                         deliverLater(index, 100ms, attempt_failed{call.attempt, failure});
                     } else {
                         deliverLater(index,
                                      randomDuration(1ms, 300ms),
                                      call_answered{call.attempt, 200, "done " + call.request.value()});
                     }
                 });
    }

    void runAttempt(std::size_t index, const start_attempt &attempt)
    {
        vm_state &vm = vms[index];
        const std::string &request = attempt.request.value();
        observation &observed = recordObservation(observation_kind::attempt_run, index, request);
        observed.version = attempt.version.value();
        observed.runner = attempt.runner.value();
        observed.number = attempt.resumeFrom;
        observed.organisation = callers[request].organisation;
        vm.attempts[attempt.attempt] = {attempt.request, attempt.runner.value(), true};
        const std::uint32_t length = answerLength(request);
        const bool goesSilent = failsBackends && chance(0.3);
        const std::uint32_t end =
            goesSilent ? attempt.resumeFrom + static_cast<std::uint32_t>(random.below(4)) : length;
        duration delay = randomDuration(10ms, 60ms);
        for (std::uint32_t token = attempt.resumeFrom; token < std::min(end, length); ++token) {
            schedule(delay,
                     forCurrentProcess(index, [this, index, attempt, token] { deliverToken(index, attempt, token); }));
            delay += randomDuration(5ms, 60ms);
        }
        if (goesSilent && end < length) {
            schedule(delay + attempt.silenceLimit, forCurrentProcess(index, [this, index, attempt] {
                         if (vms[index].attempts[attempt.attempt].isRunning) {
                             deliver(index, attempt_failed{attempt.attempt, attempt_failure::connection_lost});
                         }
                     }));
            return;
        }
        schedule(delay, forCurrentProcess(index, [this, index, attempt, length] {
                     if (vms[index].attempts[attempt.attempt].isRunning) {
                         deliver(index, attempt_finished{attempt.attempt, finish_reason::stop, {10, 0, length}});
                     }
                 }));
    }

    void deliverToken(std::size_t index, const start_attempt &attempt, std::uint32_t token)
    {
        vm_state &vm = vms[index];
        attempt_number number = attempt.attempt;
        // Tokens that the engine sent before the cancellation may still arrive.
        if (!vm.attempts[number].isRunning && !chance(0.5)) {
            return;
        }
        if (!settings.controls.separatesAttempts) {
            number = vm.attempts.rbegin()->first;
        }
        const std::string text = attempt.request.value() + ":" + std::to_string(token) + ":" + attempt.version.value();
        deliver(index, token_received{number, token, text});
    }

    // Callers.

    void submit(const std::string &request)
    {
        caller_state &caller = callers[request];
        const std::uint64_t submission = ++caller.submission;
        caller.triedVms.insert(caller.vm);
        recordObservation(observation_kind::sent, caller.vm, request).version =
            caller.session.empty() ? "" : caller.lastVersion;
        schedule(callerTimeout, [this, request, submission] { submitElsewhere(request, submission); });
        if (!vms[caller.vm].kernel) {
            schedule(1s, [this, request, submission] { submitElsewhere(request, submission); });
            return;
        }
        vms[caller.vm].openRequests.insert(request);
        if (!caller.key.empty()) {
            deliver(caller.vm,
                    service_call_received{{request_id(request),
                                           hashOf(caller.organisation),
                                           service_id("desk"),
                                           operation_id("book"),
                                           caller.key,
                                           "body"}});
            return;
        }
        model_request modelRequest;
        modelRequest.request = request_id(request);
        modelRequest.callerKeyHash = hashOf(caller.organisation);
        modelRequest.service = service_id("advice");
        modelRequest.kind = kind_id("question");
        modelRequest.promptTokens = 10;
        modelRequest.maximumTokens = 100;
        modelRequest.sessionToken = caller.session;
        if (!caller.requestedVersion.empty() && caller.session.empty()) {
            modelRequest.wantedVersion = version_id(caller.requestedVersion);
        }
        modelRequest.resumeFrom = caller.receivedTokens;
        deliver(caller.vm, model_request_received{modelRequest});
    }

    void submitElsewhere(const std::string &request, std::uint64_t submission)
    {
        caller_state &caller = callers[request];
        if (caller.isDone || caller.submission != submission || caller.triedVms.size() >= maximumSubmissions) {
            return;
        }
        if (vms[caller.vm].kernel && vms[caller.vm].openRequests.erase(request) > 0) {
            deliver(caller.vm, request_abandoned{request_id(request)});
        }
        // A different VM for each submission: an answer contains only the request id, so an answer to an earlier
        // submission at the same VM could not be told apart.
        do {
            caller.vm = random.below(vms.size());
        } while (caller.triedVms.contains(caller.vm));
        submit(request);
    }

    bool isWaitingAt(std::size_t index, const std::string &request)
    {
        return vms[index].openRequests.contains(request) && callers[request].vm == index;
    }

    void endSubmission(std::size_t index, const std::string &request)
    {
        vms[index].openRequests.erase(request);
    }

    // Actions of the kernels.

    void execute(std::size_t index, const action_list &actions)
    {
        for (const action &action : actions) {
            std::visit([this, index](const auto &content) { perform(index, content); }, action);
        }
    }

    /// Ignores actions of plug-ins that are not loaded here.
    template<typename other_action>
    void perform(std::size_t /*index*/, const other_action & /*action*/)
    {
    }

    void perform(std::size_t index, const follow_stream &action)
    {
        vms[index].positions[action.stream] = action.from;
        schedule(1ms, forCurrentProcess(index, [this, index, stream = action.stream] { poll(index, stream); }));
    }

    void perform(std::size_t index, const append_record &action)
    {
        append(index, action);
    }

    void perform(std::size_t index, const connect_peer &action)
    {
        connectTo(index, indexOf(action.peer));
    }

    void perform(std::size_t index, const disconnect_peer &action)
    {
        const std::size_t other = indexOf(action.peer);
        link(index, other).openEnds.erase(index);
        if (!isCut(index, other)) {
            closeLater(std::minmax(index, other), other, 2ms);
        }
    }

    void perform(std::size_t index, const send_to_peer &action)
    {
        send(index, action);
    }

    void perform(std::size_t index, const start_call &action)
    {
        runCall(index, action);
    }

    void perform(std::size_t index, const start_attempt &action)
    {
        runAttempt(index, action);
    }

    void perform(std::size_t index, const cancel_attempt &action)
    {
        vms[index].attempts[action.attempt].isRunning = false;
    }

    void perform(std::size_t index, const begin_answer &action)
    {
        if (isWaitingAt(index, action.request.value())) {
            caller_state &caller = callers[action.request.value()];
            caller.session = action.sessionToken;
            caller.lastVersion = action.version.value();
        }
    }

    void perform(std::size_t index, const send_token &action)
    {
        const std::string &request = action.request.value();
        if (!isWaitingAt(index, request)) {
            return;
        }
        observation &observed = recordObservation(observation_kind::token, index, request);
        observed.number = action.index;
        observed.text = action.text;
        callers[request].receivedTokens = action.index + 1;
    }

    void perform(std::size_t index, const finish_answer &action)
    {
        const std::string &request = action.request.value();
        if (isWaitingAt(index, request)) {
            observation &observed = recordObservation(observation_kind::answered, index, request);
            observed.organisation = callers[request].organisation;
            observed.version = callers[request].lastVersion;
            observed.number = callers[request].receivedTokens;
            callers[request].isDone = true;
        }
        endSubmission(index, request);
    }

    void perform(std::size_t index, const answer_call &action)
    {
        const std::string &request = action.request.value();
        if (request.starts_with("publish")) {
            if (action.status == 200) {
                const std::string marker = "\"version\":";
                observation &observed = recordObservation(observation_kind::accepted, index, request);
                observed.number = std::stoull(action.body.substr(action.body.find(marker) + marker.size()));
            }
            return;
        }
        if (isWaitingAt(index, request)) {
            recordObservation(observation_kind::answered, index, request).text = action.body;
            callers[request].isDone = true;
        }
        endSubmission(index, request);
    }

    void perform(std::size_t index, const refuse_request &action)
    {
        const std::string &request = action.request.value();
        observation &observed = recordObservation(observation_kind::refused, index, request);
        observed.execution = action.error.execution;
        observed.code = action.error.code;
        if (request.starts_with("publish") || !isWaitingAt(index, request)) {
            endSubmission(index, request);
            return;
        }
        endSubmission(index, request);
        caller_state &caller = callers[request];
        observed.text = caller.key;
        if (action.error.code == error_code::session_version_withdrawn) {
            caller.isDone = true;
        } else {
            schedule(500ms, [this, request, submission = caller.submission] { submitElsewhere(request, submission); });
        }
    }

    void perform(std::size_t /*index*/, const watch_runners & /*action*/)
    {
    }

    void perform(std::size_t /*index*/, const order_runner & /*action*/)
    {
    }

    void perform(std::size_t /*index*/, const stop_process & /*action*/)
    {
    }

    options settings;
    manual_clock time;
    seeded_random random;
    fake_log log;
    ignoring_timeline timeline;
    std::vector<vm_state> vms;
    std::vector<std::unique_ptr<crocuslane::kernel>> endedKernels;
    std::multimap<steady_time, std::function<void()>> scheduled;
    std::map<std::pair<std::size_t, std::size_t>, connection> links;
    std::map<std::string, caller_state> callers;
    history observations;
    std::uint64_t handledEvents = 0;
    std::uint64_t injectedFaults = 0;
    bool isLogUp = true;
    bool losesAnswers = false;
    bool delaysAppends = false;
    bool readsAreSlow = false;
    bool failsBackends = false;
    bool isVmListFrozen = false;
    vm_list_read latestVmList;
    std::set<std::string> leavingRunners;
    std::set<std::size_t> partitionedVms;
    std::set<std::pair<std::size_t, std::size_t>> silencedDirections;
    std::string lastDutyHolders;
    std::uint64_t publicationCount = 0;
};

simulated_deployment::simulated_deployment(options options, std::uint64_t seed)
    : m_data(std::make_unique<private_data>(options, seed))
{
    for (std::size_t index = 0; index < m_data->vms.size(); ++index) {
        m_data->startVm(index);
    }
}

simulated_deployment::~simulated_deployment() = default;

manual_clock &simulated_deployment::time()
{
    return m_data->time;
}

random_source &simulated_deployment::random()
{
    return m_data->random;
}

const history &simulated_deployment::observations() const
{
    return m_data->observations;
}

std::uint64_t simulated_deployment::events() const
{
    return m_data->handledEvents;
}

std::uint64_t simulated_deployment::faults() const
{
    return m_data->injectedFaults;
}

std::size_t simulated_deployment::vmCount() const
{
    return m_data->vms.size();
}

void simulated_deployment::at(duration offset, std::function<void()> task)
{
    m_data->schedule(offset, std::move(task));
}

void simulated_deployment::run(duration length)
{
    const steady_time end = m_data->time.steadyNow() + length;
    steady_time nextRetention = m_data->time.steadyNow();
    while (m_data->time.steadyNow() < end) {
        steady_time next = end;
        for (const auto &vm : m_data->vms) {
            if (vm.kernel && !vm.isPaused) {
                // Advances by at least 1 ms, because a kernel whose deadline stays in the past would stop the clock.
                next = std::min(next, std::max(vm.kernel->nextDeadline(), m_data->time.steadyNow() + 1ms));
            }
        }
        if (!m_data->scheduled.empty()) {
            next = std::min(next, std::max(m_data->scheduled.begin()->first, m_data->time.steadyNow()));
        }
        m_data->time.advanceTo(next);
        while (!m_data->scheduled.empty() && m_data->scheduled.begin()->first <= next) {
            auto node = m_data->scheduled.extract(m_data->scheduled.begin());
            node.mapped()();
        }
        for (std::size_t index = 0; index < m_data->vms.size(); ++index) {
            auto &vm = m_data->vms[index];
            if (vm.kernel && !vm.isPaused && vm.kernel->nextDeadline() <= next) {
                m_data->deliver(index, timer_expired{});
            }
        }
        m_data->endedKernels.clear();
        if (next >= nextRetention) {
            m_data->log.removeBefore(m_data->time.systemNow() - m_data->settings.retention);
            nextRetention = next + 1s;
        }
    }
}

void simulated_deployment::finish()
{
    for (std::size_t index = 0; index < m_data->vms.size(); ++index) {
        const auto &vm = m_data->vms[index];
        // The totals of a restarted process may lack bills whose records were removed from the log before it read them.
        if (!vm.kernel || vm.incarnation > 1) {
            continue;
        }
        for (const auto &[organisation, sums] : vm.billing->totals().byOrganisation()) {
            observation &observed = m_data->recordObservation(observation_kind::bills_counted, index);
            observed.organisation = organisation.value();
            observed.number = sums.bills;
        }
    }
}

void simulated_deployment::publish(std::size_t vm, const std::string &text, std::uint64_t replaces)
{
    const std::string number = std::to_string(++m_data->publicationCount);
    m_data->deliver(vm,
                    publication_requested{
                        request_id("publish" + number), hashOf("operator"), "# " + number + "\n" + text, replaces});
}

std::uint64_t simulated_deployment::versionAt(std::size_t vm) const
{
    return m_data->vms[vm].version;
}

void simulated_deployment::sendServiceCall(const std::string &request, const std::string &key, std::size_t vm)
{
    auto &caller = m_data->callers[request];
    caller.organisation = "alpha";
    caller.key = std::to_string(unixMilliseconds(m_data->time.systemNow()) / 10'000 * 10) + "-" + key;
    caller.vm = vm;
    m_data->submit(request);
}

void simulated_deployment::sendModelRequest(const std::string &request,
                                            const std::string &organisation,
                                            const std::string &sessionRequest,
                                            std::size_t vm,
                                            const std::string &requestedVersion)
{
    auto &caller = m_data->callers[request];
    caller.organisation = organisation;
    caller.vm = vm;
    caller.requestedVersion = requestedVersion;
    const auto earlierRequest = m_data->callers.find(sessionRequest);
    if (earlierRequest != m_data->callers.end()) {
        caller.session = earlierRequest->second.session;
        caller.lastVersion = earlierRequest->second.lastVersion;
    }
    m_data->submit(request);
}

void simulated_deployment::failLog(std::optional<std::size_t> vm, duration length)
{
    m_data->recordFault(__func__);
    if (vm) {
        m_data->vms[*vm].isLogUp = false;
        m_data->schedule(length, [this, vm] { m_data->vms[*vm].isLogUp = true; });
        return;
    }
    m_data->isLogUp = false;
    m_data->schedule(length, [this] { m_data->isLogUp = true; });
}

void simulated_deployment::loseAnswers(duration length)
{
    m_data->recordFault(__func__);
    m_data->losesAnswers = true;
    m_data->schedule(length, [this] { m_data->losesAnswers = false; });
}

void simulated_deployment::delayAppends(duration length)
{
    m_data->recordFault(__func__);
    m_data->delaysAppends = true;
    m_data->schedule(length, [this] { m_data->delaysAppends = false; });
}

void simulated_deployment::slowReads(duration length)
{
    m_data->recordFault(__func__);
    m_data->readsAreSlow = true;
    m_data->schedule(length, [this] { m_data->readsAreSlow = false; });
}

void simulated_deployment::pause(std::size_t vm, duration length, bool beforeActions)
{
    if (!m_data->vms[vm].kernel || m_data->vms[vm].isPaused) {
        return;
    }
    m_data->recordFault(__func__);
    (beforeActions ? m_data->vms[vm].pausesBeforeActions : m_data->vms[vm].isPaused) = true;
    m_data->schedule(length, m_data->forCurrentProcess(vm, [this, vm] {
        auto &process = m_data->vms[vm];
        process.isPaused = false;
        process.pausesBeforeActions = false;
        process.isCatchingUp = true;
        m_data->execute(vm, std::exchange(process.deferredActions, {}));
        std::deque<event> backlog = std::exchange(process.backlog, {});
        for (event &queued : backlog) {
            m_data->deliver(vm, std::move(queued));
        }
        process.isCatchingUp = false;
    }));
}

void simulated_deployment::kill(std::size_t vm, duration downtime)
{
    if (!m_data->vms[vm].kernel) {
        return;
    }
    m_data->recordFault(__func__);
    m_data->recordObservation(observation_kind::killed, vm);
    m_data->endProcess(vm);
    m_data->schedule(downtime, [this, vm] {
        if (!m_data->vms[vm].kernel) {
            m_data->startVm(vm);
        }
    });
}

void simulated_deployment::cut(std::set<std::size_t> group, duration length, bool alsoFromLog)
{
    m_data->recordFault(__func__);
    if (alsoFromLog) {
        for (const std::size_t vm : group) {
            failLog(vm, length);
            --m_data->injectedFaults;
        }
    }
    m_data->partitionedVms = std::move(group);
    m_data->schedule(length, [this] { m_data->partitionedVms.clear(); });
}

void simulated_deployment::silence(std::size_t from, std::size_t to, duration length)
{
    m_data->recordFault(__func__);
    m_data->silencedDirections.insert({from, to});
    m_data->schedule(length, [this, from, to] { m_data->silencedDirections.erase({from, to}); });
}

void simulated_deployment::failBackends(duration length)
{
    m_data->recordFault(__func__);
    m_data->failsBackends = true;
    m_data->schedule(length, [this] { m_data->failsBackends = false; });
}

void simulated_deployment::freezeVmList(duration length)
{
    m_data->recordFault(__func__);
    m_data->isVmListFrozen = true;
    m_data->schedule(length, [this] { m_data->isVmListFrozen = false; });
}

void simulated_deployment::leave(std::size_t runner)
{
    m_data->recordFault(__func__);
    const std::string id = "r" + std::to_string(runner % modelRunners);
    m_data->leavingRunners.insert(id);
    m_data->recordObservation(observation_kind::leaving, 0).runner = id;
}

void simulated_deployment::stop(std::size_t vm)
{
    if (!m_data->vms[vm].kernel || m_data->vms[vm].isStopping) {
        return;
    }
    m_data->recordFault(__func__);
    m_data->recordObservation(observation_kind::stop_requested, vm);
    m_data->vms[vm].isStopping = true;
    m_data->deliver(vm, stop_requested{});
}

} // namespace crocuslane
