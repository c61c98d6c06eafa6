#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sapphirecrank::base {

/// A textual identifier that can't be confused with an identifier of another kind.
///
/// `Tag` is an incomplete type that distinguishes the kinds. Thread safety: as `std::string`.
template <typename Tag>
class StrongId {
 public:
  /// Creates an empty id, which stands for "none".
  StrongId() = default;

  /// Wraps `value` without validation; text from outside is validated where it enters the process.
  explicit StrongId(std::string value) : text(std::move(value)) {}

  /// Returns the text of the id.
  const std::string& value() const { return this->text; }

  /// Tells whether the id is empty.
  bool empty() const { return this->text.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) { return a.text == b.text; }
  friend bool operator!=(const StrongId& a, const StrongId& b) { return a.text != b.text; }
  friend bool operator<(const StrongId& a, const StrongId& b) { return a.text < b.text; }
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.text; }

 private:
  std::string text;
};

}  // namespace sapphirecrank::base

template <typename Tag>
struct std::hash<sapphirecrank::base::StrongId<Tag>> {
  size_t operator()(const sapphirecrank::base::StrongId<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};
