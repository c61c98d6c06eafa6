#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "base/strong_id.h"
#include "base/strong_number.h"

namespace sapphirecrank::protocol {

/// Reads typed fields of one CBOR map and remembers the first faulty one.
///
/// Thread safety: one object for one thread. After a fault all reads give default values.
class FieldReader {
 public:
  using Json = nlohmann::json;

  /// Precondition: `map` outlives this object.
  explicit FieldReader(const Json& map);

  /// Returns the name of the first missing or wrongly typed field, or an empty string.
  const std::string& faulty_field() const { return this->first_faulty_field; }

  std::string ReadString(const char* name);
  std::string ReadBytes(const char* name);
  bool ReadBool(const char* name);
  int64_t ReadInteger(const char* name, int64_t lowest, int64_t highest);
  uint64_t ReadUnsigned(const char* name);
  const Json& ReadArray(const char* name);
  const Json& ReadMap(const char* name);

  /// Notes `name` as faulty unless an earlier fault is known.
  void RecordFault(const std::string& name);

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

  template <typename Enum>
  Enum ReadEnum(const char* name, Enum last) {
    return static_cast<Enum>(this->ReadInteger(name, 0, static_cast<int64_t>(last)));
  }

 private:
  const Json* FindField(const char* name);

  const Json& map;
  std::string first_faulty_field;
};

}  // namespace sapphirecrank::protocol
