#pragma once

#include "command.h"

namespace crocuslane {

const command &checkCommand();
const command &diffCommand();
const command &publishCommand();
const command &withdrawCommand();
const command &rolloutCommand();
const command &statusCommand();
const command &groupsCommand();
const command &billsCommand();
const command &timelineCommand();
const command &drainCommand();

} // namespace crocuslane
