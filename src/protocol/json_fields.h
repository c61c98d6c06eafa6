#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/resources.h"
#include "base/strong_id.h"
#include "base/strong_number.h"
#include "base/task_key.h"
#include "base/time.h"
#include "protocol/field_reader.h"

namespace sapphirecrank::protocol {

// Conversion of the types of `base` to and from JSON values, shared by the codecs. Decoding faults
// are recorded in the reader. Thread safety: pure.

template <typename Tag>
nlohmann::json ToJson(const base::StrongId<Tag>& id) {
  return id.value();
}

template <typename Tag, typename Rep>
nlohmann::json ToJson(base::StrongNumber<Tag, Rep> number) {
  return number.value();
}

/// Converts a duration to a number of nanoseconds.
inline nlohmann::json ToJson(base::Duration duration) { return duration.count(); }

inline nlohmann::json BytesToJson(const std::string& bytes) {
  return nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

template <typename Enum>
nlohmann::json EnumToJson(Enum value) {
  return static_cast<int64_t>(value);
}

/// Reads a duration in nanoseconds. A value beyond half the range of `int64_t` is faulty, so that
/// adding the duration to a point in time doesn't overflow.
inline base::Duration ReadDuration(FieldReader& reader, const char* name) {
  return base::Duration(reader.ReadInteger(name, INT64_MIN / 2, INT64_MAX / 2));
}

inline nlohmann::json EncodeResources(const base::Resources& resources) {
  return {{"processors", ToJson(resources.processors)},
          {"memory", ToJson(resources.memory)},
          {"accelerators", ToJson(resources.accelerators)}};
}

inline base::Resources DecodeResources(FieldReader& parent, const char* name) {
  FieldReader reader(parent.ReadMap(name));
  base::Resources resources;
  reader.Read("processors", resources.processors);
  reader.Read("memory", resources.memory);
  reader.Read("accelerators", resources.accelerators);
  if (!reader.faulty_field().empty()) {
    parent.RecordError(std::string(name) + "." + reader.faulty_field());
  }
  return resources;
}

inline void EncodeTaskKey(const base::TaskKey& key, nlohmann::json& map) {
  map["submission"] = ToJson(key.submission);
  map["index"] = ToJson(key.index);
}

inline void DecodeTaskKey(FieldReader& reader, base::TaskKey& key) {
  reader.Read("submission", key.submission);
  reader.Read("index", key.index);
}

/// Decodes each element of the array `name` with `decode_element(FieldReader&)`. Stops after the
/// first element with a faulty field and records the fault in `parent`.
template <typename Element, typename Function>
std::vector<Element> DecodeArray(FieldReader& parent, const char* name, Function decode_element) {
  std::vector<Element> elements;
  for (const nlohmann::json& item : parent.ReadArray(name)) {
    FieldReader reader(item);
    elements.push_back(decode_element(reader));
    if (!reader.faulty_field().empty()) {
      parent.RecordError(std::string(name) + "." + reader.faulty_field());
      break;
    }
  }
  return elements;
}

}  // namespace sapphirecrank::protocol
