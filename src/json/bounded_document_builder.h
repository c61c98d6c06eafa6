#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>

namespace sapphirecrank::json {

/// Builds a document from the events of a JSON or CBOR parser, and aborts parsing at a maximum
/// nesting depth or at an array or object whose announced size is impossible.
///
/// The CBOR parser recurses for each level, and so does writing a document as text. A few megabytes
/// of nested arrays from an untrusted sender would overflow the stack. The base class throws an
/// exception for a size above the maximum of its containers, also where exceptions are disabled.
///
/// Thread safety: none; each thread uses its own object.
class BoundedDocumentBuilder : public nlohmann::detail::json_sax_dom_parser<nlohmann::json> {
 public:
  using Base = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;

  /// Builds into `document`, which must outlive this object.
  BoundedDocumentBuilder(nlohmann::json& document, size_t maximum_nesting_depth)
      : Base(document, false), maximum_nesting_depth(maximum_nesting_depth) {}

  /// Parser event handlers. They return false beyond a limit, which aborts parsing.
  bool start_object(size_t size) {
    return IsPossibleSize(size) && this->EnterNesting() && Base::start_object(size);
  }
  bool end_object() { return this->LeaveNesting() && Base::end_object(); }
  bool start_array(size_t size) {
    return IsPossibleSize(size) && this->EnterNesting() && Base::start_array(size);
  }
  bool end_array() { return this->LeaveNesting() && Base::end_array(); }

 private:
  // Each element takes at least one byte, and no message or body is this large.
  static constexpr size_t kMaximumElementCount = 64 << 20;
  // The parser's size of a container whose end is marked instead of its size.
  static constexpr auto kUnknownSize = static_cast<size_t>(-1);

  static bool IsPossibleSize(size_t size) {
    return size <= kMaximumElementCount || size == kUnknownSize;
  }

  bool EnterNesting() { return ++this->nesting_depth <= this->maximum_nesting_depth; }
  bool LeaveNesting() {
    --this->nesting_depth;
    return true;
  }

  size_t maximum_nesting_depth;
  size_t nesting_depth = 0;
};

}  // namespace sapphirecrank::json
