#pragma once

#include <string>

#include "frontend/operator_role.h"

namespace sapphirecrank::frontend {

/// The name, role and secret of an operator.
struct OperatorToken {
  std::string name;
  OperatorRole role = OperatorRole::kReadOnly;
  std::string secret;
};

}  // namespace sapphirecrank::frontend
