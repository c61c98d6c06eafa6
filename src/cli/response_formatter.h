#pragma once

#include <string>

namespace sapphirecrank::cli {

/// Formats the list of an allocator's evacuations. Returns `document` if it isn't one. Thread
/// safety: pure.
std::string FormatEvacuations(const std::string& document);

/// Formats a status document as lines of text; returns it unchanged if it isn't a JSON object.
/// Thread safety: pure.
std::string FormatStatus(const std::string& document);

/// Formats an error or the response to a job as lines of text; returns any other document, such as
/// the response to a request, unchanged with a line end. Thread safety: pure.
std::string FormatResponse(const std::string& document);

/// Returns the verdict in an error response, or "may have run" if it has none. Thread safety: pure.
std::string ParseVerdict(const std::string& document);

}  // namespace sapphirecrank::cli
