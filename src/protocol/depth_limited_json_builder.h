#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

namespace sapphirecrank::protocol {

/// Builds a JSON document from parser events and aborts parsing at a maximum nesting depth.
///
/// The CBOR parser recurses for each level. Without the limit, a message of a few megabytes of
/// nested arrays from an untrusted sender would overflow the stack.
///
/// Thread safety: none; each thread uses its own object.
class DepthLimitedJsonBuilder : public nlohmann::detail::json_sax_dom_parser<nlohmann::json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;

  /// Builds into `document`, which must outlive this object.
  explicit DepthLimitedJsonBuilder(nlohmann::json& document) : Base(document, false) {}

  /// Parser event handlers. They return false beyond the maximum depth, which aborts parsing.
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
