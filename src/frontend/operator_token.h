#pragma once

#include <string>

#include "frontend/operator_role.h"

namespace sapphirecrank::frontend {

/// An operator's token.
struct OperatorToken {
  std::string name;
  OperatorRole role = OperatorRole::kReadOnly;
  std::string secret;
};

}  // namespace sapphirecrank::frontend
