#include "protocol/field_reader.h"

namespace sapphirecrank::protocol {

namespace {

const nlohmann::json& EmptyArray() {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  return kEmpty;
}

const nlohmann::json& EmptyMap() {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  return kEmpty;
}

}  // namespace

FieldReader::FieldReader(const Json& map) : map(map) {
  if (!map.is_object()) {
    this->first_faulty_field = "message";
  }
}

std::string FieldReader::ReadString(const char* name) {
  const Json* value = this->FindField(name);
  if (value == nullptr || !value->is_string()) {
    this->RecordError(name);
    return "";
  }
  return value->get<std::string>();
}

std::string FieldReader::ReadBytes(const char* name) {
  const Json* value = this->FindField(name);
  if (value == nullptr || !value->is_binary()) {
    this->RecordError(name);
    return "";
  }
  const auto& bytes = value->get_binary();
  return std::string(bytes.begin(), bytes.end());
}

bool FieldReader::ReadBool(const char* name) {
  const Json* value = this->FindField(name);
  if (value == nullptr || !value->is_boolean()) {
    this->RecordError(name);
    return false;
  }
  return value->get<bool>();
}

bool FieldReader::ReadBoolOr(const char* name, bool default_value) {
  return this->FindField(name) == nullptr ? default_value : this->ReadBool(name);
}

int64_t FieldReader::ReadInteger(const char* name, int64_t minimum, int64_t maximum) {
  const Json* value = this->FindField(name);
  const bool too_large = value != nullptr && value->is_number_unsigned() &&
                         value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (value == nullptr || !value->is_number_integer() || too_large ||
      value->get<int64_t>() < minimum || value->get<int64_t>() > maximum) {
    this->RecordError(name);
    return minimum > 0 ? minimum : 0;
  }
  return value->get<int64_t>();
}

int64_t FieldReader::ReadIntegerOr(const char* name, int64_t minimum, int64_t maximum,
                                   int64_t default_value) {
  return this->FindField(name) == nullptr ? default_value
                                          : this->ReadInteger(name, minimum, maximum);
}

uint64_t FieldReader::ReadUnsigned(const char* name) {
  const Json* value = this->FindField(name);
  if (value == nullptr || !value->is_number_unsigned()) {
    this->RecordError(name);
    return 0;
  }
  return value->get<uint64_t>();
}

const FieldReader::Json& FieldReader::ReadArray(const char* name) {
  const Json* value = this->FindField(name);
  if (value == nullptr || !value->is_array()) {
    this->RecordError(name);
    return EmptyArray();
  }
  return *value;
}

const FieldReader::Json& FieldReader::ReadMap(const char* name) {
  const Json* value = this->FindField(name);
  if (value == nullptr || !value->is_object()) {
    this->RecordError(name);
    return EmptyMap();
  }
  return *value;
}

void FieldReader::RecordError(const std::string& name) {
  if (this->first_faulty_field.empty()) {
    this->first_faulty_field = name;
  }
}

const FieldReader::Json* FieldReader::FindField(const char* name) const {
  if (!this->map.is_object()) {
    return nullptr;
  }
  auto found = this->map.find(name);
  return found == this->map.end() ? nullptr : &*found;
}

}  // namespace sapphirecrank::protocol
