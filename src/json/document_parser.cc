#include "json/document_parser.h"

#include <nlohmann/json.hpp>

#include "json/bounded_document_builder.h"

namespace sapphirecrank::json {

namespace {
constexpr size_t kMaximumNestingDepth = 64;

// Bytes that nlohmann::json allocates, with the overhead of the allocator. An element of an array
// takes 16 bytes, and three times that while a full array is moved to one of twice its capacity.
constexpr size_t kElementSize = 48;
constexpr size_t kArraySize = 64;
constexpr size_t kObjectSize = 80;
// A node of a map with the name and the value.
constexpr size_t kMemberSize = 112;
// A string takes 48 bytes and has two quotation marks.
constexpr size_t kQuotationMarkSize = 24;
// The characters of names and strings, which may be in a buffer of up to twice their size while the
// parser reads them.
constexpr size_t kCharacterSize = 3;
}  // namespace

nlohmann::json ParseDocument(std::string_view text) {
  nlohmann::json document;
  BoundedDocumentBuilder builder(document, kMaximumNestingDepth);
  if (!nlohmann::json::sax_parse(text, &builder)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return document;
}

size_t EstimateDocumentSize(std::string_view text) {
  size_t size = text.size() * kCharacterSize;
  for (const char character : text) {
    switch (character) {
      case ',':
        size += kElementSize;
        break;
      case '[':
        // The first element has no comma.
        size += kArraySize + kElementSize;
        break;
      case '{':
        size += kObjectSize;
        break;
      case ':':
        size += kMemberSize;
        break;
      case '"':
        size += kQuotationMarkSize;
        break;
      default:
        break;
    }
  }
  return size;
}

}  // namespace sapphirecrank::json
