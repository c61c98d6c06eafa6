#pragma once

#include "base/result.h"
#include "cli/entry_host_configuration.h"

namespace sapphirecrank {

/// Runs an entry host until SIGTERM or SIGINT arrives, then drains it. Errors: the host can't
/// start, for example because it can't listen. Precondition: the process has one thread and calls
/// this once.
base::Result<void> RunEntryHostProcess(const cli::EntryHostConfiguration& configuration);

}  // namespace sapphirecrank
