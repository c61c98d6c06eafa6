#pragma once

namespace sapphirecrank::configuration {

/// Returns the JSON schema (draft 7) of the settings file. The description of each field says which
/// value is expected; error messages contain it. Thread safety: pure.
const char* SettingsSchema();

}  // namespace sapphirecrank::configuration
