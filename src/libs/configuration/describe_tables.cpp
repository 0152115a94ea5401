#include "configuration/settings.h"

#include <iostream>
#include <string_view>

/// Prints the page docs/settings.md or docs/configuration.md for the argument "settings" or "configuration".
int main(int argumentCount, char **arguments)
{
    const std::string_view page = argumentCount == 2 ? arguments[1] : "";
    if (page == "settings") {
        std::cout << crocuslane::describeSettings();
        return 0;
    }
    if (page == "configuration") {
        std::cout << crocuslane::describeConfiguration();
        return 0;
    }
    std::cerr << "usage: describe_tables settings|configuration\n";
    return 2;
}
