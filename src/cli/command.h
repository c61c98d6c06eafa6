#pragma once

namespace sapphirecrank::cli {

/// Subcommands of the program; `kNone` if there is none.
enum class Command {
  kNone,
  kRun,
  kGateway,
  kAllocator,
  kCheck,
  kSubmit,
  kCancel,
  kStatus,
  kDrain,
  kEvacuate,
  kVersion
};

}  // namespace sapphirecrank::cli
