#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "base/strong_id.h"
#include "base/strong_number.h"

namespace sapphirecrank::protocol {

/// Reads typed fields of a CBOR map and records the first faulty one.
///
/// A field is faulty if it is missing, has another type or is out of range. Reading a faulty field
/// records the fault and returns a default value: an empty string, false, an empty array or map, or
/// the allowed number that is nearest to zero.
///
/// Thread safety: none; each thread uses its own object.
class FieldReader {
 public:
  using Json = nlohmann::json;

  /// Reads from `map`; anything other than a map is a fault of the field "message". Precondition:
  /// `map` outlives this object.
  explicit FieldReader(const Json& map);

  /// Returns the name of the first faulty field, or an empty string.
  const std::string& faulty_field() const { return this->first_faulty_field; }

  /// Returns whether the map has the field `name`. Thread safety: pure.
  bool Has(const char* name) const { return this->FindField(name) != nullptr; }

  std::string ReadString(const char* name);
  /// Reads a CBOR byte string.
  std::string ReadBytes(const char* name);
  bool ReadBool(const char* name);
  /// Reads a field that earlier program versions don't send; `default_value` if it is missing.
  bool ReadBoolOr(const char* name, bool default_value);
  /// Reads an integer from `minimum` to `maximum`.
  int64_t ReadInteger(const char* name, int64_t minimum, int64_t maximum);
  /// As `ReadInteger`, for a field that earlier program versions don't send; `default_value` if it
  /// is missing.
  int64_t ReadIntegerOr(const char* name, int64_t minimum, int64_t maximum, int64_t default_value);
  uint64_t ReadUnsigned(const char* name);
  const Json& ReadArray(const char* name);
  const Json& ReadMap(const char* name);

  /// Records that the field `name` is faulty, unless an earlier fault is recorded already.
  void RecordError(const std::string& name);

  /// Reads an id or a number of a strong type into `value`.
  template <typename Tag>
  void Read(const char* name, base::StrongId<Tag>& value) {
    value = base::StrongId<Tag>(this->ReadString(name));
  }

  template <typename Tag, typename Rep>
  void Read(const char* name, base::StrongNumber<Tag, Rep>& value) {
    if constexpr (std::is_unsigned_v<Rep> && sizeof(Rep) == sizeof(uint64_t)) {
      value = base::StrongNumber<Tag, Rep>(this->ReadUnsigned(name));
    } else {
      value = base::StrongNumber<Tag, Rep>(static_cast<Rep>(
          this->ReadInteger(name, static_cast<int64_t>(std::numeric_limits<Rep>::min()),
                            static_cast<int64_t>(std::numeric_limits<Rep>::max()))));
    }
  }

  /// Reads the number of an enumerator from 0 to that of `last`.
  template <typename Enum>
  Enum ReadEnum(const char* name, Enum last) {
    return static_cast<Enum>(this->ReadInteger(name, 0, static_cast<int64_t>(last)));
  }

 private:
  const Json* FindField(const char* name) const;

  const Json& map;
  std::string first_faulty_field;
};

}  // namespace sapphirecrank::protocol
