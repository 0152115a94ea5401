#pragma once

#include "harness/report.h"

namespace crocuslane {

using measure_function = measure_result (*)(const measure_options &);

/// Registers a measurement under a name, for static objects in its source file. `scripts/measure NAME` runs it.
class measurement_registrar
{
public:
    measurement_registrar(const char *name, measure_function run);
};

} // namespace crocuslane
