#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "base/error.h"

namespace sapphirecrank::json {

/// Reads the fields of one JSON object from outside, strictly: wrong types, values out of range and
/// unknown fields are faults. The first fault is kept, with the path of its field.
///
/// Thread safety: one object for one thread. After a fault all reads give default values.
class ObjectReader {
 public:
  using Json = nlohmann::json;

  /// `path` names the object in error messages, empty for the document. Preconditions: `object` and
  /// `error` outlive this object. `error` takes the first fault.
  ObjectReader(const Json& object, std::string path, std::optional<base::Error>& error);

  /// Returns a text of 1 to `longest` bytes.
  std::string ReadString(const std::string& name, size_t longest);
  /// The same, or `fallback` if the field is missing.
  std::string ReadString(const std::string& name, size_t longest, const std::string& fallback);
  int64_t ReadInteger(const std::string& name, int64_t lowest, int64_t highest);
  int64_t ReadInteger(const std::string& name, int64_t lowest, int64_t highest, int64_t fallback);
  bool ReadBool(const std::string& name, bool fallback);
  /// Returns any value, or null if the field is missing.
  const Json& ReadAny(const std::string& name);
  /// Calls `read` with each element and its path. The array has `fewest` to `most` elements.
  void ReadArray(const std::string& name, size_t fewest, size_t most,
                 const std::function<void(const Json&, const std::string&)>& read);

  /// Notes fields that were never asked for as unknown. Call it last.
  void RejectUnknownFields();

  /// Notes a fault in a field unless an earlier one is known.
  void RecordFault(const std::string& name, const std::string& message);

 private:
  const Json* FindField(const std::string& name, bool is_required);
  std::string FieldPath(const std::string& name) const;

  const Json& object;
  std::string object_path;
  std::optional<base::Error>& error;
  std::set<std::string> requested_fields;
};

}  // namespace sapphirecrank::json
