#pragma once

namespace sapphirecrank::configuration {

/// Returns the JSON schema (draft 7) of the settings file. Each field has a description that says
/// what is expected, for error messages.
const char* SettingsSchema();

}  // namespace sapphirecrank::configuration
