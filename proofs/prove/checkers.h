#pragma once

#include "history.h"

namespace crocuslane {

/// Descriptions of the violations that a history shows. Checkers know nothing of the mechanisms.
using violation_list = std::vector<std::string>;

violation_list checkBooking(const history &history);
violation_list checkRefusal(const history &history);
violation_list checkConfiguration(const history &history);
violation_list checkBilling(const history &history);
violation_list checkLeases(const history &history);
violation_list checkWithdrawal(const history &history);
violation_list checkPermission(const history &history);
violation_list checkSession(const history &history);
violation_list checkAnswers(const history &history);
violation_list checkLeaving(const history &history);
violation_list checkShutdown(const history &history);

} // namespace crocuslane
