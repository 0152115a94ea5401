#pragma once

#include "kernel/plugin.h"
#include "logstream/group_writer.h"
#include "plugins/publication/configuration_state_machine.h"
#include "plugins/publication/publication_settings.h"
#include "services/configuration_source.h"

#include <map>
#include <memory>

namespace crocuslane {

class member_view;

/// Follows the accepted configuration in the log, handles publications of operators, and decides whether the
/// configuration is recent enough to take requests.
class publication_plugin : public plugin, public configuration_source
{
public:
    explicit publication_plugin(std::unique_ptr<configuration_parser> parser = makeConfigurationParser(),
                                publication_controls controls = {});

    std::string_view name() const override;
    std::vector<std::string_view> dependencies() const override;
    void initialize(plugin_context &context) override;
    void start(action_list &actions) override;
    void handle(const event &event, action_list &actions) override;
    steady_time nextDeadline() const override;
    bool isIdle() const override;
    void describe(nlohmann::json &status) const override;

    std::shared_ptr<const configuration> current() const override;
    std::uint64_t version() const override;
    std::uint64_t confirmedVersion() const override;
    bool mayTakeRequests() const override;

private:
    /// A publication that this VM received and has not answered yet.
    struct pending_publication {
        entry_ticket ticket = 0;
        steady_time received;
        /// Set once the publication was read back from the log and accepted.
        std::optional<std::uint64_t> version;
    };

    void publish(const publication_requested &publication, action_list &actions);
    std::optional<request_error> refusal(const publication_requested &publication) const;
    bool isOperator(const std::string &keyHash) const;
    void applyDecision(const publication_decision &decision, action_list &actions);
    void answerConfirmed(action_list &actions);
    void answerOverdue(action_list &actions);
    void refuse(const request_id &request, request_error error, action_list &actions);

    void readPeerMessage(const vm_id &peer, const peer_message &message, action_list &actions);
    void noteVersion(const vm_id &peer, std::uint64_t version, action_list &actions);
    void fetch(const vm_id &peer, action_list &actions);
    void fetchIfBehind(action_list &actions);

    bool hasReadLogRecently() const;
    /// Whether a majority of the entry VMs, in contact within the freshness limit, reports a version.
    bool isConfirmedByMajority() const;
    std::size_t confirmations(std::uint64_t version) const;
    std::size_t memberCount() const;
    const member_view *members() const;

    void storeSnapshotIfDue();
    void announce();
    void tick(action_list &actions);

    std::unique_ptr<configuration_parser> m_parser;
    publication_controls m_controls;
    publication_settings m_settings;
    plugin_context *m_context = nullptr;
    stream_reader m_reader;
    configuration_state_machine m_stateMachine;
    std::unique_ptr<group_writer> m_writer;
    std::map<request_id, pending_publication> m_pending;
    std::map<vm_id, steady_time> m_connectedPeers;
    /// Highest configuration version that another VM has reported.
    std::uint64_t m_newestReportedVersion = 0;
    std::uint64_t m_announcedVersion = 0;
    bool m_announcedFresh = false;
    /// Set once this VM has read the log or has been confirmed by a majority since its start.
    bool m_canConfirm = false;
    steady_time m_lastFetch = steady_time::min();
    steady_time m_nextTick;
    steady_time m_lastSnapshot = steady_time::min();
    /// Random delay that spreads the snapshots of VMs for which they become due at the same time.
    duration m_snapshotJitter{};
};

} // namespace crocuslane
