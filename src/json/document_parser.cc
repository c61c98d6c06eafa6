#include "json/document_parser.h"

#include <nlohmann/json.hpp>

#include "json/bounded_document_builder.h"

namespace sapphirecrank::json {

namespace {
constexpr size_t kMaximumNestingDepth = 64;
}  // namespace

nlohmann::json ParseDocument(std::string_view text) {
  nlohmann::json document;
  BoundedDocumentBuilder builder(document, kMaximumNestingDepth);
  if (!nlohmann::json::sax_parse(text, &builder)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return document;
}

}  // namespace sapphirecrank::json
