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

  bool start_object(size_t size) { return this->EnterNesting() && Base::start_object(size); }
  bool end_object() { return this->LeaveNesting() && Base::end_object(); }
  bool start_array(size_t size) { return this->EnterNesting() && Base::start_array(size); }
  bool end_array() { return this->LeaveNesting() && Base::end_array(); }

 private:
  static constexpr size_t kMaximumNestingDepth = 16;

  bool EnterNesting() { return ++this->nesting_depth <= kMaximumNestingDepth; }
  bool LeaveNesting() {
    --this->nesting_depth;
    return true;
  }

  size_t nesting_depth = 0;
};

}  // namespace sapphirecrank::protocol
