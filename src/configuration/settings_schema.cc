#include "configuration/settings_schema.h"

namespace sapphirecrank::configuration {

const char* SettingsSchema() {
  return R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of a sapphirecrank entry host",
  "description": "a JSON object",
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "data_centre", "http_listen", "peer_listen", "secret_file", "teams"],
  "properties": {
    "host": {"type": "string", "minLength": 1, "maxLength": 128,
      "description": "this entry host's name, 1 to 128 characters"},
    "data_centre": {"type": "string", "pattern": "^[^:]{1,128}$",
      "description": "the data centre's name, 1 to 128 characters without ':'"},
    "http_listen": {"type": "string", "maxLength": 21,
      "description": "an IP number and port such as 10.0.0.1:8080"},
    "peer_listen": {"type": "string", "maxLength": 21,
      "description": "an IP number and port such as 10.0.0.1:8081"},
    "secret_file": {"type": "string", "minLength": 1, "maxLength": 4096,
      "description": "the name of the file with the secret that all entry hosts share"},
    "data_folder": {"type": "string", "minLength": 1, "maxLength": 4096,
      "description": "the name of an existing folder for this host's state"},
    "http": {"type": "object", "additionalProperties": false,
      "description": "an object with the limits of the HTTP server",
      "properties": {
        "threads": {"type": "integer", "minimum": 1, "maximum": 256,
          "description": "a whole number of threads from 1 to 256"},
        "maximum_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 1073741824,
          "description": "a whole number of bytes from 1024 to 1073741824"},
        "maximum_connections": {"type": "integer", "minimum": 1, "maximum": 1000000,
          "description": "a whole number of connections from 1 to 1000000"},
        "maximum_connections_per_address": {"type": "integer", "minimum": 1, "maximum": 1000000,
          "description": "a whole number of connections from 1 to 1000000"},
        "idle_timeout_ms": {"type": "integer", "minimum": 1000, "maximum": 3600000,
          "multipleOf": 1000,
          "description": "whole seconds in milliseconds, from 1000 to 3600000"}}},
    "authentication": {"type": "object", "additionalProperties": false,
      "description": "an object with the names of credential files",
      "properties": {
        "operator_tokens_file": {"type": "string", "minLength": 1, "maxLength": 4096,
          "description": "the name of the file with operators' tokens"},
        "team_keys_file": {"type": "string", "minLength": 1, "maxLength": 4096,
          "description": "the name of the file with teams' keys"}}},
    "peers": {"type": "array", "maxItems": 1024,
      "description": "an array of at most 1024 other entry hosts",
      "items": {"type": "object", "additionalProperties": false,
        "description": "an object with host, data_centre and address",
        "required": ["host", "data_centre", "address"],
        "properties": {
          "host": {"type": "string", "minLength": 1, "maxLength": 128,
            "description": "the other entry host's name, 1 to 128 characters"},
          "data_centre": {"type": "string", "pattern": "^[^:]{1,128}$",
            "description": "the data centre's name, 1 to 128 characters without ':'"},
          "address": {"type": "string", "maxLength": 21,
            "description": "the other host's peer_listen, such as 10.0.0.2:8081"},
          "has_disk": {"type": "boolean",
            "description": "whether the other host has a data_folder; true by default"}}}},
    "teams": {"type": "array", "minItems": 1, "maxItems": 10000,
      "description": "an array of 1 to 10000 teams",
      "items": {"type": "object", "additionalProperties": false,
        "description": "an object with id and weight",
        "required": ["id"],
        "properties": {
          "id": {"type": "string", "pattern": "^[^: \t\r\n]{1,128}$",
            "description": "the team's name, 1 to 128 characters without spaces and ':'"},
          "weight": {"type": "integer", "minimum": 1, "maximum": 1000000,
            "description": "a whole number from 1 to 1000000"}}}}
  }
})schema";
}

}  // namespace sapphirecrank::configuration
