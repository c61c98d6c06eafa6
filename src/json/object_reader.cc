#include "json/object_reader.h"

#include <fmt/format.h>

#include <utility>

namespace sapphirecrank::json {

ObjectReader::ObjectReader(const Json& object, std::string path, std::optional<base::Error>& error)
    : object(object), object_path(std::move(path)), error(error) {
  if (!object.is_object()) {
    this->RecordError("", "must be an object");
  }
}

std::string ObjectReader::ReadString(const std::string& name, size_t maximum_length) {
  const Json* value = this->FindField(name, true);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    this->RecordError(name, "must be a string");
    return "";
  }
  auto text = value->get<std::string>();
  if (text.empty() || text.size() > maximum_length) {
    this->RecordError(name, "must have 1 to " + std::to_string(maximum_length) + " bytes");
    return "";
  }
  return text;
}

std::string ObjectReader::ReadString(const std::string& name, size_t maximum_length,
                                     const std::string& default_value) {
  return this->FindField(name, false) == nullptr ? default_value
                                                 : this->ReadString(name, maximum_length);
}

int64_t ObjectReader::ReadInteger(const std::string& name, int64_t minimum, int64_t maximum) {
  const Json* value = this->FindField(name, true);
  if (value == nullptr) {
    return minimum;
  }
  const std::string range =
      "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
  const bool is_too_large =
      value->is_number_unsigned() && value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX);
  if (!value->is_number_integer() || is_too_large || value->get<int64_t>() < minimum ||
      value->get<int64_t>() > maximum) {
    this->RecordError(name, range);
    return minimum;
  }
  return value->get<int64_t>();
}

int64_t ObjectReader::ReadInteger(const std::string& name, int64_t minimum, int64_t maximum,
                                  int64_t default_value) {
  return this->FindField(name, false) == nullptr ? default_value
                                                 : this->ReadInteger(name, minimum, maximum);
}

double ObjectReader::ReadNumber(const std::string& name, double minimum, double maximum,
                                double default_value) {
  const Json* value = this->FindField(name, false);
  if (value == nullptr) {
    return default_value;
  }
  if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
    this->RecordError(name, fmt::format("must be a number from {} to {}", minimum, maximum));
    return default_value;
  }
  return value->get<double>();
}

bool ObjectReader::ReadBool(const std::string& name, bool default_value) {
  const Json* value = this->FindField(name, false);
  if (value == nullptr) {
    return default_value;
  }
  if (!value->is_boolean()) {
    this->RecordError(name, "must be true or false");
    return default_value;
  }
  return value->get<bool>();
}

const ObjectReader::Json& ObjectReader::ReadAny(const std::string& name) {
  static const Json kNull;
  const Json* value = this->FindField(name, false);
  return value == nullptr ? kNull : *value;
}

void ObjectReader::ReadArray(const std::string& name, size_t minimum_size, size_t maximum_size,
                             const std::function<void(const Json&, const std::string&)>& read) {
  const Json* value = this->FindField(name, minimum_size > 0);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array() || value->size() < minimum_size || value->size() > maximum_size) {
    this->RecordError(name, "must be an array of " + std::to_string(minimum_size) + " to " +
                                std::to_string(maximum_size) + " elements");
    return;
  }
  for (size_t i = 0; i < value->size() && !this->error; ++i) {
    read((*value)[i], this->FieldPath(name) + "[" + std::to_string(i) + "]");
  }
}

void ObjectReader::RejectUnknownFields() {
  if (!this->object.is_object()) {
    return;
  }
  for (const auto& item : this->object.items()) {
    if (this->requested_fields.count(item.key()) == 0) {
      this->RecordError(item.key(), "unknown field");
      return;
    }
  }
}

void ObjectReader::RecordError(const std::string& name, const std::string& message) {
  if (this->error) {
    return;
  }
  const std::string field = this->FieldPath(name);
  this->error =
      base::Error{base::ErrorCode::kInvalidArgument, field,
                  (field.empty() ? "the document" : "field '" + field + "'") + ": " + message,
                  base::ExecutionVerdict::kNotRun};
}

const ObjectReader::Json* ObjectReader::FindField(const std::string& name, bool is_required) {
  this->requested_fields.insert(name);
  if (!this->object.is_object()) {
    return nullptr;
  }
  auto found = this->object.find(name);
  if (found == this->object.end()) {
    if (is_required) {
      this->RecordError(name, "is missing");
    }
    return nullptr;
  }
  return &*found;
}

std::string ObjectReader::FieldPath(const std::string& name) const {
  if (this->object_path.empty() || name.empty()) {
    return this->object_path + name;
  }
  return this->object_path + "." + name;
}

}  // namespace sapphirecrank::json
