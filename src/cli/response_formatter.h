#pragma once

#include <string>

namespace sapphirecrank::cli {

/// Returns a status document in lines for people, or the document itself if it isn't understood.
/// Thread safety: pure.
std::string FormatStatus(const std::string& document);

/// Returns the answer to a job or request in lines for people. Thread safety: pure.
std::string FormatResponse(const std::string& document);

/// Returns the verdict that an error answer states, or "may have run" if it states none.
std::string ParseVerdict(const std::string& document);

}  // namespace sapphirecrank::cli
