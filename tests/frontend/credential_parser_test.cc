#include "frontend/credential_parser.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using frontend::OperatorRole;
using frontend::ParseOperatorTokens;
using frontend::ParseTeamKeys;

namespace {

constexpr const char* kTokens =
    "# comment\n\nmonitor reading 0123456789abcdef\n"
    "on-call changing fedcba9876543210\n";

}  // namespace

TEST_GROUP(CredentialParser){};

// Guards against a token with the role "reading" that is parsed as "changing".
TEST(CredentialParser, RolesAreParsedByName) {
  const auto tokens = ParseOperatorTokens(kTokens);
  LONGS_EQUAL(2, tokens->size());
  CHECK(tokens->at(0).role == OperatorRole::kReadOnly);
  CHECK(tokens->at(1).role == OperatorRole::kReadWrite);
  STRCMP_EQUAL("0123456789abcdef", tokens->at(0).secret.c_str());
}

// Guards against errors that don't name the field, and against secrets in error messages.
TEST(CredentialParser, ErrorsNameTheFieldButNotTheSecret) {
  const auto expect_error = [](const std::string& text, const std::string& field) {
    const auto tokens = ParseOperatorTokens(text);
    CHECK_FALSE(tokens.has_value());
    STRCMP_EQUAL(field.c_str(), tokens.error().field.c_str());
    CHECK_TRUE(tokens.error().message.find("hunter") == std::string::npos);
  };
  expect_error("a reading hunter2", "secret");
  expect_error("a root hunter2hunter2hunter2", "role");
  expect_error("a reading", "secret");
  expect_error("a", "role");
  expect_error("a:b reading hunter2hunter2hunter2", "name");
  expect_error("a reading hunter2hunter2hunter2 more", "secret");
  expect_error("a reading hunter2hunter2hunter2\na reading hunter3hunter3hunter3", "name");
  expect_error("# nothing\n", "name");
}

// Guards against a crash on arbitrary bytes, and against errors that don't name the field.
TEST(CredentialParser, ArbitraryTextGivesCredentialsOrANamedField) {
  const bool holds = rc::check([](const std::string& noise) {
    std::string text = kTokens;
    text.insert(*rc::gen::inRange<size_t>(0, text.size()), noise);
    const auto tokens = ParseOperatorTokens(text);
    RC_ASSERT((tokens.has_value() || !tokens.error().field.empty()));
    const auto keys = ParseTeamKeys(noise);
    RC_ASSERT((keys.has_value() || !keys.error().field.empty()));
  });
  CHECK_TRUE(holds);
}
