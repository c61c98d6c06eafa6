#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "base/error.h"

namespace sapphirecrank::json {

/// Reads and validates the fields of a JSON object from an untrusted source: missing fields that
/// have no default value, wrong types, values out of range and unknown fields are errors. The first
/// error is kept, with the path of its field.
///
/// A read that fails returns a placeholder: an empty string, the minimum or, for booleans, the
/// default value. Thread safety: none.
class ObjectReader {
 public:
  using Json = nlohmann::json;

  /// `path` names the object in error messages; it is empty for the document itself. The first
  /// error is stored in `error`. Preconditions: `object` and `error` outlive this object.
  ObjectReader(const Json& object, std::string path, std::optional<base::Error>& error);

  /// Returns a string of 1 to `maximum_length` bytes.
  std::string ReadString(const std::string& name, size_t maximum_length);
  /// Returns `default_value` if the field is missing; otherwise as above.
  std::string ReadString(const std::string& name, size_t maximum_length,
                         const std::string& default_value);
  /// Returns an integer from `minimum` to `maximum`, both included.
  int64_t ReadInteger(const std::string& name, int64_t minimum, int64_t maximum);
  /// Returns `default_value` if the field is missing; otherwise as above.
  int64_t ReadInteger(const std::string& name, int64_t minimum, int64_t maximum,
                      int64_t default_value);
  /// Returns a number from `minimum` to `maximum`, both included, which may have a fraction, or
  /// `default_value` if the field is missing.
  double ReadNumber(const std::string& name, double minimum, double maximum, double default_value);
  /// Returns `default_value` if the field is missing.
  bool ReadBool(const std::string& name, bool default_value);
  /// Returns any value, or null if the field is missing.
  const Json& ReadAny(const std::string& name);
  /// Calls `read` with each element and its path, until the first error. The array must have
  /// `minimum_size` to `maximum_size` elements, and may be missing if `minimum_size` is 0.
  void ReadArray(const std::string& name, size_t minimum_size, size_t maximum_size,
                 const std::function<void(const Json&, const std::string&)>& read);

  /// Records an error if the object has a field that was never read. To be called last.
  void RejectUnknownFields();

  /// Records an error in field `name`, or in the object itself if `name` is empty, unless an
  /// earlier error is recorded.
  void RecordError(const std::string& name, const std::string& message);

 private:
  const Json* FindField(const std::string& name, bool is_required);
  std::string FieldPath(const std::string& name) const;

  const Json& object;
  std::string object_path;
  std::optional<base::Error>& error;
  std::set<std::string> requested_fields;
};

}  // namespace sapphirecrank::json
