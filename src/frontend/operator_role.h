#pragma once

namespace sapphirecrank::frontend {

/// What an operator may do; a changing operator may also read.
enum class OperatorRole { kReadOnly, kReadWrite };

}  // namespace sapphirecrank::frontend
