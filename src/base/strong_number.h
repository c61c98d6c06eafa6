#pragma once

#include <cstdint>
#include <functional>
#include <ostream>

namespace sapphirecrank::base {

/// A number with a unit or a meaning that can't be confused with a number of another kind.
///
/// Supports comparison, addition and subtraction within its kind. Thread safety: as the built-in
/// type.
template <typename Tag, typename Rep = int64_t>
class StrongNumber {
 public:
  using ValueType = Rep;

  /// Creates zero.
  constexpr StrongNumber() = default;

  /// Wraps `value`, which is in the unit of this type.
  constexpr explicit StrongNumber(Rep value) : number(value) {}

  /// Returns the number in the unit of this type.
  constexpr Rep value() const { return this->number; }

  /// Returns the number that follows this one.
  constexpr StrongNumber Next() const { return StrongNumber(this->number + 1); }

  constexpr StrongNumber& operator+=(StrongNumber other) {
    this->number += other.number;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    this->number -= other.number;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) { return a += b; }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) { return a -= b; }
  friend constexpr bool operator==(StrongNumber a, StrongNumber b) { return a.number == b.number; }
  friend constexpr bool operator!=(StrongNumber a, StrongNumber b) { return a.number != b.number; }
  friend constexpr bool operator<(StrongNumber a, StrongNumber b) { return a.number < b.number; }
  friend constexpr bool operator<=(StrongNumber a, StrongNumber b) { return a.number <= b.number; }
  friend constexpr bool operator>(StrongNumber a, StrongNumber b) { return a.number > b.number; }
  friend constexpr bool operator>=(StrongNumber a, StrongNumber b) { return a.number >= b.number; }
  friend std::ostream& operator<<(std::ostream& out, StrongNumber n) { return out << n.number; }

 private:
  Rep number = 0;
};

}  // namespace sapphirecrank::base

template <typename Tag, typename Rep>
struct std::hash<sapphirecrank::base::StrongNumber<Tag, Rep>> {
  size_t operator()(sapphirecrank::base::StrongNumber<Tag, Rep> number) const {
    return std::hash<Rep>()(number.value());
  }
};
