#include "json/document_parser.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sapphirecrank::json {

namespace {

size_t allocated_size = 0;
size_t peak_size = 0;

/// Counts what is allocated, with 16 bytes of overhead for each allocation.
template <typename T>
struct CountingAllocator : std::allocator<T> {
  static constexpr size_t kOverhead = 16;

  CountingAllocator() = default;
  template <typename U>
  // NOLINTNEXTLINE(google-explicit-constructor): containers convert their allocators.
  CountingAllocator(const CountingAllocator<U>& /*other*/) {}

  template <typename U>
  struct rebind {                        // NOLINT(readability-identifier-naming)
    using other = CountingAllocator<U>;  // NOLINT(readability-identifier-naming)
  };

  T* allocate(size_t count) {
    allocated_size += count * sizeof(T) + kOverhead;
    peak_size = std::max(peak_size, allocated_size);
    return std::allocator<T>().allocate(count);
  }
  void deallocate(T* memory, size_t count) {
    allocated_size -= count * sizeof(T) + kOverhead;
    std::allocator<T>().deallocate(memory, count);
  }
};

template <typename T>
bool operator==(const CountingAllocator<T>& /*a*/, const CountingAllocator<T>& /*b*/) {
  return true;
}
template <typename T>
bool operator!=(const CountingAllocator<T>& /*a*/, const CountingAllocator<T>& /*b*/) {
  return false;
}

/// As `nlohmann::json`, but it counts what it allocates, except the text of names and strings
/// itself, which takes no more than the document.
using CountedJson = nlohmann::basic_json<std::map, std::vector, std::string, bool, int64_t,
                                         uint64_t, double, CountingAllocator>;

size_t PeakSize(const std::string& text) {
  allocated_size = 0;
  peak_size = 0;
  const CountedJson document = CountedJson::parse(text, nullptr, false);
  CHECK_FALSE(document.is_discarded());
  return peak_size + text.size();
}

/// Returns an array of `count` elements.
std::string Repeat(const std::string& element, int count) {
  std::string text = "[" + element;
  for (int i = 1; i < count; ++i) {
    text += "," + element;
  }
  return text + "]";
}

}  // namespace

TEST_GROUP(DocumentParser){};

// Guards against a short body whose parsed form takes many times its bytes uncounted: empty
// containers, short members, and arrays that are just about to grow.
TEST(DocumentParser, EstimatesAtLeastWhatADocumentTakes) {
  const std::vector<std::string> elements = {"0",
                                             "[]",
                                             "{}",
                                             "\"\"",
                                             R"({"a":0})",
                                             R"({"a":{}})",
                                             R"([[[[[]]]]])",
                                             R"({"a":[],"b":[0],"c":""})",
                                             R"("a string above the size of a short one")",
                                             R"({"count":1,"cpu":100,"memMb":64})"};
  for (const std::string& element : elements) {
    for (const int count : {1, 100, 1025, 4097, 20000}) {
      const std::string text = Repeat(element, count);
      CHECK_TEXT(PeakSize(text) <= EstimateDocumentSize(text), text.substr(0, 40).c_str());
    }
  }
}

// Guards against a request that is served in calm no more because its document is overestimated.
TEST(DocumentParser, EstimatesOrdinaryDocumentsWithinFourTimesTheirSize) {
  const std::string text = Repeat(
      R"({"name":"r-3hwrr6x","host":"nony24.example","pathPrefix":"/lohu930/","timeoutMs":1500})",
      1000);
  CHECK(EstimateDocumentSize(text) <= 4 * PeakSize(text));
}

}  // namespace sapphirecrank::json
