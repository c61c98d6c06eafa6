#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

namespace sapphirecrank::protocol {

/// Builds a document from parser events and stops at a nesting depth.
///
/// The CBOR parser recurses for each level, so that a few megabytes of nested arrays from outside
/// would otherwise overflow the stack. Thread safety: one object for one thread.
class DepthLimitedJsonBuilder : public nlohmann::detail::json_sax_dom_parser<nlohmann::json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;

  /// Builds into `document`, which must outlive this object.
  explicit DepthLimitedJsonBuilder(nlohmann::json& document) : Base(document, false) {}

  bool start_object(size_t size) { return this->Enter() && Base::start_object(size); }
  bool end_object() { return this->Leave() && Base::end_object(); }
  bool start_array(size_t size) { return this->Enter() && Base::start_array(size); }
  bool end_array() { return this->Leave() && Base::end_array(); }

 private:
  static constexpr size_t kMaximumDepth = 16;

  bool Enter() { return ++this->depth <= kMaximumDepth; }
  bool Leave() {
    --this->depth;
    return true;
  }

  size_t depth = 0;
};

}  // namespace sapphirecrank::protocol
