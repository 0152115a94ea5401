#include "command.h"

#include <cstdlib>
#include <iostream>
#include <thread>

#include <unistd.h>

int main(int argumentCount, char **arguments)
{
    using namespace crocuslane;
    const real_clock clock;
    command_environment environment{std::cout,
                                    std::cerr,
                                    clock,
                                    [](duration time) { std::this_thread::sleep_for(time); },
                                    isatty(STDERR_FILENO) == 1,
                                    {},
                                    makeCurlTransport};
    for (const char *name : {"CROCUSLANE_ENTRY", "CROCUSLANE_KEY"}) {
        if (const char *value = std::getenv(name)) {
            environment.variables[name] = value;
        }
    }
    return static_cast<int>(runCommandLine({arguments + 1, arguments + argumentCount}, environment));
}
