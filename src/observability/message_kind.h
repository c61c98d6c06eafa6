#pragma once

#include <string_view>

namespace sapphirecrank::observability {

/// Kinds of messages that an entry host sends to dispatch work.
enum class MessageKind { kAssignment, kTaskResults, kCancellation, kAnnouncement, kTargetCall };

constexpr int kMessageKindCount = 5;

/// Returns the kind's name in metrics.
std::string_view MessageKindName(MessageKind kind);

}  // namespace sapphirecrank::observability
