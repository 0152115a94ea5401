#include "kernel/plugin.h"
#include "plugins/rollouts/evidence_exchange.h"
#include "plugins/rollouts/rollout.h"
#include "services/member_view.h"
#include "services/runner_use_exchange.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <tuple>

namespace crocuslane {

namespace {

constexpr std::chrono::milliseconds checkInterval{100};
constexpr std::chrono::milliseconds exchangeInterval{300};
constexpr std::size_t maximumSuperseded = 8;

} // namespace

/// Executes operators' orders to move a service to another version. Every VM may record a phase; the platform's log
/// decides which record comes first.
class rollouts_plugin : public plugin, public rollout_policy
{
public:
    std::string_view name() const override
    {
        return "rollouts";
    }

    void initialize(plugin_context &context) override
    {
        m_context = &context;
        if (const auto *settings = context.services.tryFind<rollout_settings>()) {
            m_settings = *settings;
        }
        context.services.offer<rollout_policy>(*this);
    }

    void handle(const event &event, action_list &actions) override
    {
        if (const auto *ordered = std::get_if<rollout_ordered>(&event)) {
            applyOrder(ordered->order, actions);
        } else if (const auto *read = std::get_if<rollout_records_read>(&event)) {
            applyRecords(*read, actions);
        } else if (const auto *refused = std::get_if<rollout_record_refused>(&event)) {
            const auto found = m_rollouts.find(refused->record.service);
            if (found != m_rollouts.end()) {
                found->second.postpone(now());
            }
        } else if (const auto *list = std::get_if<backend_list_read>(&event)) {
            setListed(list->entries);
        } else if (const auto *received = std::get_if<peer_message_received>(&event)) {
            if (const auto *evidence = std::get_if<version_evidence_list>(&received->message)) {
                applyEvidence(received->peer, *evidence);
            }
        } else if (const auto *connected = std::get_if<peer_connected>(&event)) {
            m_evidence.connected(connected->peer);
        } else if (std::holds_alternative<timer_expired>(event)) {
            exchangeEvidence(actions);
            recordPhases(actions);
        }
    }

    steady_time nextDeadline() const override
    {
        const bool isActive = std::any_of(m_rollouts.begin(), m_rollouts.end(), [](const auto &each) {
            return each.second.nextRecordTime() != steady_time::max();
        });
        return isActive ? m_nextCheck : steady_time::max();
    }

    version_rule choose(const service_id &service, const std::string &session) override
    {
        const auto found = m_rollouts.find(service);
        return found == m_rollouts.end() ? version_rule{} : found->second.choose(session, vmCount(), now());
    }

    version_rule rule(const service_id &service, const std::string &session) const override
    {
        const auto found = m_rollouts.find(service);
        return found == m_rollouts.end() ? version_rule{} : found->second.rule(session, now());
    }

    void attemptStarted(const service_id &service, const std::string &version, bool isFirst) override
    {
        const auto found = m_rollouts.find(service);
        if (found != m_rollouts.end()) {
            found->second.attemptStarted(version, isFirst);
        }
    }

    void observe(const version_observation &observation) override
    {
        const auto found = m_rollouts.find(observation.service);
        if (found != m_rollouts.end()) {
            found->second.observe(observation);
        }
    }

    void describe(nlohmann::json &status) const override
    {
        for (const auto &[service, each] : m_rollouts) {
            status[service.value()] = {{"target", each.order().target}, {"phase", std::string(toName(each.phase()))}};
        }
    }

private:
    steady_time now() const
    {
        return m_context->time.steadyNow();
    }

    std::size_t vmCount() const
    {
        const auto *members = m_context->services.tryFind<member_view>();
        return members == nullptr ? 1 : std::max<std::size_t>(members->members().size(), 1);
    }

    void applyOrder(const rollout_order &order, action_list &actions)
    {
        const auto found = m_rollouts.find(order.service);
        if (found != m_rollouts.end() && !isNewer(order, found->second.order())) {
            return;
        }
        if (found == m_rollouts.end()) {
            begin(order, actions);
        } else if (found->second.order().epoch < order.epoch) {
            applyRestoredOrder(found->second, order, actions);
        } else {
            addSuperseded(found->second.order());
            if (!resumeReplaced(order, actions)) {
                begin(order, actions);
            }
        }
    }

    /// @p order is the first one of its service in a later epoch than that of @p known.
    void applyRestoredOrder(rollout &known, const rollout_order &order, action_list &actions)
    {
        const bool isSame = rollout::isSameOrder(known.order(), order);
        if (isSuperseded(order, isSame)) {
            return;
        }
        if (isSame) {
            continueOrder(known, order, actions);
        } else {
            // A VM that doesn't know the order before its own can't tell it from a new one. Its own comes again then.
            m_replaced.erase(order.service);
            m_replaced.insert(m_rollouts.extract(order.service));
            begin(order, actions);
        }
    }

    /// Continues the roll-out that an order of the present epoch replaced, if @p order is its order.
    bool resumeReplaced(const rollout_order &order, action_list &actions)
    {
        const auto found = m_replaced.find(order.service);
        if (found == m_replaced.end() || !rollout::isSameOrder(found->second.order(), order)) {
            return false;
        }
        m_rollouts.erase(order.service);
        m_rollouts.insert(m_replaced.extract(found));
        continueOrder(m_rollouts.at(order.service), order, actions);
        return true;
    }

    void addSuperseded(const rollout_order &order)
    {
        std::deque<rollout_order> &orders = m_superseded[order.service];
        orders.push_back(order);
        if (orders.size() > maximumSuperseded) {
            orders.pop_front();
        }
    }

    /// Whether an equal order, at the same position if @p needsPosition, was followed by a later one in its epoch.
    bool isSuperseded(const rollout_order &order, bool needsPosition) const
    {
        const auto found = m_superseded.find(order.service);
        return found != m_superseded.end()
            && std::any_of(found->second.begin(), found->second.end(), [&](const rollout_order &each) {
                   return rollout::isSameOrder(each, order) && (!needsPosition || each.position == order.position);
               });
    }

    /// Positions of different epochs can't be compared.
    static bool isNewer(const rollout_order &order, const rollout_order &known)
    {
        return std::tie(order.epoch, order.position) > std::tie(known.epoch, known.position);
    }

    void continueOrder(rollout &continued, const rollout_order &order, action_list &actions)
    {
        actions.push_back(log_decision{"rollout_continued",
                                       {},
                                       {{"service", order.service.value()},
                                        {"target", order.target},
                                        {"phase", std::string(toName(continued.phase()))},
                                        {"position", std::to_string(order.position)},
                                        {"was", std::to_string(continued.order().position)},
                                        {"epoch", std::to_string(order.epoch)}}});
        m_evidence.continueOrder(order.service, evidenceOrder(continued.order()), evidenceOrder(order));
        continued.continueAt(order, now());
        applyKnownEvidence(continued);
        applyKnownRecord(continued);
    }

    void begin(const rollout_order &order, action_list &actions)
    {
        m_rollouts.erase(order.service);
        rollout &added =
            m_rollouts.try_emplace(order.service, order, m_settings, m_context->random, now()).first->second;
        actions.push_back(log_decision{"rollout_ordered",
                                       {},
                                       {{"service", order.service.value()},
                                        {"target", order.target},
                                        {"position", std::to_string(order.position)}}});
        m_evidence.removeBefore(order.service, evidenceOrder(order));
        applyKnownEvidence(added);
        applyKnownRecord(added);
    }

    /// Applies what other VMs observed and was received before the order.
    void applyKnownEvidence(rollout &target)
    {
        for (const version_evidence &entry :
             m_evidence.entriesOf(target.order().service, evidenceOrder(target.order()))) {
            const bool isOwn = entry.vm == m_context->node.id && entry.incarnation == m_context->node.incarnation;
            if (!isOwn) {
                target.addEvidence(entry);
            }
        }
    }

    /// Applies the record of a roll-out that was read before its order.
    void applyKnownRecord(rollout &target)
    {
        const auto record = m_records.find(target.order().service);
        if (record != m_records.end() && isRecordOf(target.order(), record->second)) {
            target.applyRecord(record->second.phase, now());
        }
    }

    /// Whether a record of the current epoch of the records is one of @p order.
    bool isRecordOf(const rollout_order &order, const rollout_record &record) const
    {
        return order.epoch == m_recordsEpoch && order.position == record.orderPosition && order.target == record.target;
    }

    void beginRecords(log_epoch epoch)
    {
        m_recordsEpoch = epoch;
        m_records.clear();
        // The VMs read the new epoch at about the same time.
        for (auto &[service, each] : m_rollouts) {
            each.postpone(now());
        }
    }

    void applyRecords(const rollout_records_read &read, action_list &actions)
    {
        if (read.epoch < m_recordsEpoch) {
            return;
        }
        if (read.epoch > m_recordsEpoch) {
            beginRecords(read.epoch);
        }
        m_recordsEnd = read.end;
        for (const rollout_record &record : read.records) {
            m_records[record.service] = record;
            const auto found = m_rollouts.find(record.service);
            if (found == m_rollouts.end() || !isRecordOf(found->second.order(), record)) {
                continue;
            }
            const rollout_phase before = found->second.phase();
            found->second.applyRecord(record.phase, now());
            if (found->second.phase() != before) {
                actions.push_back(log_decision{"rollout_phase",
                                               {},
                                               {{"service", record.service.value()},
                                                {"target", record.target},
                                                {"phase", std::string(toName(record.phase))},
                                                {"was", std::string(toName(before))}}});
            }
        }
    }

    void applyEvidence(const vm_id &peer, const version_evidence_list &list)
    {
        for (const version_evidence &entry : m_evidence.receive(peer, list)) {
            const auto found = m_rollouts.find(entry.service);
            if (found != m_rollouts.end() && evidenceOrder(found->second.order()) == entry.orderPosition) {
                found->second.addEvidence(entry);
            }
        }
    }

    void exchangeEvidence(action_list &actions)
    {
        const auto *members = m_context->services.tryFind<member_view>();
        if (members == nullptr || now() < m_nextExchange) {
            return;
        }
        m_nextExchange = now() + exchangeInterval;
        for (const auto &[service, each] : m_rollouts) {
            // Without answers of the new version, the other VMs have nothing to compare.
            if (each.newObservations() > 0) {
                m_evidence.store({m_context->node.id,
                                  m_context->node.incarnation,
                                  each.newObservations(),
                                  service,
                                  evidenceOrder(each.order()),
                                  each.ownCounts()});
            }
        }
        m_evidence.runRound(members->connectedPeers(), actions);
    }

    void recordPhases(action_list &actions)
    {
        if (now() < m_nextCheck) {
            return;
        }
        m_nextCheck = now() + checkInterval;
        for (auto &[service, each] : m_rollouts) {
            // Until both were read in the same epoch, the records' end or the order's position is that of a lost log.
            if (each.order().epoch != m_recordsEpoch) {
                continue;
            }
            const std::optional<rollout_phase> phase = each.phaseToRecord(now(), isOldVersionIdle(each.order()));
            if (!phase) {
                continue;
            }
            each.postpone(now());
            const rollout_record record{service, each.order().target, each.order().position, *phase};
            actions.push_back(record_rollout{record, m_recordsEnd});
            actions.push_back(log_decision{"rollout_record_sent",
                                           {},
                                           {{"service", service.value()},
                                            {"target", record.target},
                                            {"phase", std::string(toName(*phase))},
                                            {"evidence", each.describeEvidence()},
                                            {"expected_end", std::to_string(m_recordsEnd)}}});
        }
    }

    /// A runner that is missing in the list remains known while the plug-in that selects runners keeps it.
    void setListed(const std::vector<backend_entry> &entries)
    {
        std::set<runner_id> kept;
        if (const auto *exchange = m_context->services.tryFind<runner_use_exchange>()) {
            for (const runner_use &use : exchange->localUse()) {
                kept.insert(use.runner);
            }
        }
        for (const backend_entry &entry : entries) {
            kept.erase(entry.id);
        }
        std::erase_if(m_backends, [&kept](const backend_entry &known) { return !kept.contains(known.id); });
        m_backends.insert(m_backends.end(), entries.begin(), entries.end());
    }

    /// True when this VM has no request in progress at a runner of another version than the target.
    bool isOldVersionIdle(const rollout_order &order) const
    {
        const auto *exchange = m_context->services.tryFind<runner_use_exchange>();
        if (exchange == nullptr) {
            return true;
        }
        const std::vector<runner_use> uses = exchange->localUse();
        return std::none_of(m_backends.begin(), m_backends.end(), [&](const backend_entry &entry) {
            return entry.service == order.service && entry.version != order.target
                && std::any_of(uses.begin(), uses.end(), [&entry](const runner_use &use) {
                       return use.runner == entry.id && use.inFlight > 0;
                   });
        });
    }

    plugin_context *m_context = nullptr;
    rollout_settings m_settings;
    std::map<service_id, rollout> m_rollouts;
    /// Replaced by an order of a later epoch.
    std::map<service_id, rollout> m_replaced;
    /// Orders that were followed by another one in the same epoch, the newest ones of each service.
    std::map<service_id, std::deque<rollout_order>> m_superseded;
    std::map<service_id, rollout_record> m_records;
    std::vector<backend_entry> m_backends;
    log_offset m_recordsEnd = 0;
    /// Epoch of the log that m_records and m_recordsEnd belong to.
    log_epoch m_recordsEpoch = 0;
    steady_time m_nextCheck;
    evidence_exchange m_evidence;
    steady_time m_nextExchange;
};

namespace {

const plugin_registrar autoRegistrar("rollouts",
                                     []() -> std::unique_ptr<plugin> { return std::make_unique<rollouts_plugin>(); });

} // namespace

} // namespace crocuslane
