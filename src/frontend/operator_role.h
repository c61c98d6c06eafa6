#pragma once

namespace sapphirecrank::frontend {

/// What an operator may do; `kReadWrite` includes reading.
enum class OperatorRole { kReadOnly, kReadWrite };

}  // namespace sapphirecrank::frontend
