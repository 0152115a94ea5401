#pragma once

#include "history.h"

namespace crocuslane {

/// Descriptions of the violations in a history. The checkers depend only on the history, not on the mechanisms that
/// they check.
using violation_list = std::vector<std::string>;

/// No call runs twice under one idempotency key.
violation_list checkBooking(const history &history);
/// A request that was refused as not run has not run and does not run later.
violation_list checkRefusal(const history &history);
/// All VMs have the same text for a version, versions never decrease, and an accepted version is served in time.
violation_list checkConfiguration(const history &history);
/// Every answered model request is billed, and every VM counts each bill once.
violation_list checkBilling(const history &history);
/// A duty has at most one holder at a time.
violation_list checkLeases(const history &history);
/// A withdrawn version gets no new requests once the freshness limit has passed.
violation_list checkWithdrawal(const history &history);
/// An organisation is served only by the versions it may use.
violation_list checkPermission(const history &history);
/// A session stays with its version.
violation_list checkSession(const history &history);
/// Answers have no missing, repeated or foreign tokens and come from one version.
violation_list checkAnswers(const history &history);
/// A leaving runner gets no new requests once the VMs have had time to read that it is leaving.
violation_list checkLeaving(const history &history);
/// A planned stop completes and interrupts no answer.
violation_list checkShutdown(const history &history);

} // namespace crocuslane
