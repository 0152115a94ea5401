#pragma once

#include <string>

namespace crocuslane {

/// Makes a process that a fatal signal or an unhandled exception ends write a line about it to standard output, before
/// it ends as it would without. The line names the signal, the address that could not be accessed, and the return
/// addresses of the stack as offsets into the program, for addr2line.
/// @param process name that the process's log lines bear
void installCrashLog(const std::string &process);

} // namespace crocuslane
