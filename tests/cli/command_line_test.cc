#include "cli/command_line.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::ErrorCode;
using cli::CommandLine;
using cli::ExitCode;
using cli::HttpClientRequest;
using cli::HttpClientResponse;

namespace {

constexpr const char* kSettings = R"({"host": "ba-0", "data_centre": "ba",
  "http_listen": "127.0.0.1:8080", "peer_listen": "127.0.0.1:8081", "secret_file": "secret",
  "authentication": {"operator_tokens_file": "tokens", "team_keys_file": "keys"},
  "teams": [{"id": "tags"}]})";

}  // namespace

TEST_GROUP(CommandLine) {
  void setup() override {
    this->files = {{"settings", kSettings},
                   {"secret", "0123456789abcdef\n"},
                   {"tokens", "monitor reading 0123456789abcdef\n"},
                   {"keys", "tags 0123456789abcdef\n"},
                   {"credential", "monitor:0123456789abcdef\n"},
                   {"job", R"({"submission": "ba:1", "deadline_ms": 2000, "tasks": [{}]})"},
                   {"request", R"({"team": "tags"})"}};
  }

  int Run(const std::vector<std::string>& arguments) {
    this->output.clear();
    this->error_output.clear();
    CommandLine::Hooks hooks;
    const auto read_file = [this](const std::string& path) -> base::Result<std::string> {
      if (this->files.count(path) == 0) {
        return base::MakeErrorResult(ErrorCode::kNotFound, "can't read '" + path + "'", "file");
      }
      return this->files.at(path);
    };
    hooks.file_hooks = {read_file, read_file};
    hooks.call_entry_host = [this](const HttpClientRequest& request, const auto& on_waiting) {
      this->sent_requests.push_back(request);
      on_waiting(std::chrono::milliseconds(3100));
      return this->response;
    };
    hooks.run_entry_host = [this](const auto& configuration) {
      this->loaded_secret = configuration.shared_secret;
      return base::Result<void>();
    };
    hooks.print = [this](const std::string& text) { this->output += text; };
    hooks.print_error = [this](const std::string& text) { this->error_output += text; };
    return static_cast<int>(CommandLine(hooks).Run(arguments));
  }

  bool OutputContains(const std::string& text) const {
    return this->output.find(text) != std::string::npos;
  }
  bool ErrorOutputContains(const std::string& text) const {
    return this->error_output.find(text) != std::string::npos;
  }

  std::map<std::string, std::string> files;
  base::Result<HttpClientResponse> response = HttpClientResponse{200, "{}"};
  std::vector<HttpClientRequest> sent_requests;
  std::string loaded_secret;
  std::string output;
  std::string error_output;
};

// Guards against a command that runs although its arguments are invalid.
TEST(CommandLine, UsageErrorsAreExplained) {
  LONGS_EQUAL(2, this->Run({}));
  LONGS_EQUAL(2, this->Run({"sumbit", "job"}));
  CHECK_TRUE(this->ErrorOutputContains("unknown command 'sumbit'"));
  LONGS_EQUAL(2, this->Run({"submit"}));
  CHECK_TRUE(this->ErrorOutputContains("FILE is missing"));
  LONGS_EQUAL(2, this->Run({"status", "more"}));
  CHECK_TRUE(this->ErrorOutputContains("unexpected argument 'more'"));
  LONGS_EQUAL(2, this->Run({"drain", "--forse"}));
  CHECK_TRUE(this->ErrorOutputContains("--forse"));
  LONGS_EQUAL(2, this->Run({"run"}));
  CHECK_TRUE(this->ErrorOutputContains("--settings is missing"));
  LONGS_EQUAL(2, this->Run({"evacuate"}));
  LONGS_EQUAL(2, this->Run({"evacuate", "begin", "x"}));
  CHECK_TRUE(this->ErrorOutputContains("start, finish or list"));
  LONGS_EQUAL(2, this->Run({"evacuate", "start"}));
  CHECK_TRUE(this->ErrorOutputContains("DATA_CENTRE is missing"));
  LONGS_EQUAL(2, this->Run({"evacuate", "finish", ""}));
  LONGS_EQUAL(2, this->Run({"evacuate", "list", "x"}));
  LONGS_EQUAL(2, this->Run({"evacuate", "start", "x", "y"}));
  LONGS_EQUAL(2, this->Run({"submit", "no-such-file"}));
  CHECK_TRUE(this->ErrorOutputContains("no-such-file"));
  LONGS_EQUAL(0, this->sent_requests.size());
}

// Guards against a command without help, or help that runs the command.
TEST(CommandLine, EachCommandHasHelp) {
  for (const char* name :
       {"run", "check", "submit", "cancel", "status", "drain", "evacuate", "version"}) {
    LONGS_EQUAL(0, this->Run({name, "--help"}));
    CHECK_TRUE(this->OutputContains("--json"));
    LONGS_EQUAL(0, this->Run({"--help"}));
    CHECK_TRUE(this->OutputContains(name));
  }
  LONGS_EQUAL(0, this->sent_requests.size());
}

// Guards against a host that starts with invalid files, and against errors that are reported one at
// a time.
TEST(CommandLine, CheckAndRunListTheErrorsOfAllFiles) {
  LONGS_EQUAL(0, this->Run({"check", "settings"}));
  LONGS_EQUAL(0, this->Run({"run", "--settings", "settings"}));
  STRCMP_EQUAL("0123456789abcdef", this->loaded_secret.c_str());
  this->files["secret"] = "short\n";
  this->files["tokens"] = "monitor root 0123456789abcdef\n";
  this->files["keys"] = "maps 0123456789abcdef\n";
  LONGS_EQUAL(3, this->Run({"check", "settings"}));
  CHECK_TRUE(this->ErrorOutputContains("settings: secret_file: "));
  CHECK_TRUE(this->ErrorOutputContains("'tokens': line 1: role must be"));
  CHECK_TRUE(this->ErrorOutputContains("team 'maps' is not defined in the settings"));
  this->loaded_secret.clear();
  LONGS_EQUAL(3, this->Run({"run", "-s", "settings"}));
  CHECK_TRUE(this->loaded_secret.empty());
  LONGS_EQUAL(3, this->Run({"check", "--json", "settings"}));
  CHECK_TRUE(this->OutputContains("\"path\": \"authentication.team_keys_file\""));
  LONGS_EQUAL(3, this->Run({"check", "nothing"}));
  this->files["settings"].insert(1, "\"colour\": 1, ");
  LONGS_EQUAL(3, this->Run({"check", "settings"}));
  CHECK_TRUE(this->ErrorOutputContains("colour") &&
             this->ErrorOutputContains("shorter than 16 bytes"));
}

// Guards against an order that is sent as the opposite one, or that ends at an allocator that
// doesn't lead.
TEST(CommandLine, EvacuateSendsOrders) {
  LONGS_EQUAL(0, this->Run({"evacuate", "start", "a b", "--host", "10.0.0.1:80"}));
  CHECK_TRUE(this->OutputContains("data centre a b: evacuated"));
  LONGS_EQUAL(0, this->Run({"evacuate", "finish", "x", "--entry-host", "10.0.0.2:80"}));
  CHECK_TRUE(this->OutputContains("data centre x: evacuation finished"));
  STRCMP_EQUAL("PUT", this->sent_requests[0].method.c_str());
  STRCMP_EQUAL("/v1/evacuations/a%20b", this->sent_requests[0].path.c_str());
  STRCMP_EQUAL("10.0.0.1:80", this->sent_requests[0].entry_host.value().c_str());
  CHECK_TRUE(this->sent_requests[0].follows_redirects);
  STRCMP_EQUAL("DELETE", this->sent_requests[1].method.c_str());
  STRCMP_EQUAL("10.0.0.2:80", this->sent_requests[1].entry_host.value().c_str());
  this->response = HttpClientResponse{
      400, R"({"error":{"code":"invalid_argument","field":"data_centre","message":"no data centre )"
           R"('z' is known here","verdict":"not run"}})"};
  LONGS_EQUAL(4, this->Run({"evacuate", "start", "z"}));
  CHECK_TRUE(this->ErrorOutputContains("no data centre 'z' is known here"));
}

// Guards against a list that hides an evacuation or the runs that are left.
TEST(CommandLine, EvacuateListsEvacuations) {
  const std::string body =
      R"({"evacuations":[{"accepted_by":"10.0.0.1:7700","data_centre":"x","runs_left":3,)"
      R"("since":"2023-11-14T22:13:20.123Z"}],"revision":7})";
  this->response = HttpClientResponse{200, body};
  LONGS_EQUAL(0, this->Run({"evacuate", "list"}));
  STRCMP_EQUAL("GET", this->sent_requests[0].method.c_str());
  STRCMP_EQUAL("/v1/evacuations", this->sent_requests[0].path.c_str());
  CHECK_TRUE(this->OutputContains("evacuated data centres: 1 (revision 7)"));
  CHECK_TRUE(this->OutputContains("since 2023-11-14T22:13:20.123Z accepted by 10.0.0.1:7700"));
  CHECK_TRUE(this->OutputContains("3 runs left"));
  LONGS_EQUAL(0, this->Run({"evacuate", "list", "--json"}));
  CHECK_TRUE(this->OutputContains(body));
}

// Guards against work that is sent to the wrong resource, and against a client that times out
// before the work's deadline.
TEST(CommandLine, SubmitSendsTheFileAndPrintsTheResponse) {
  this->response =
      HttpClientResponse{200, R"({"submission":"ba:1","state":"complete","results":[7,"x"]})"};
  LONGS_EQUAL(0, this->Run({"submit", "job", "-e", "10.0.0.1:80", "-c", "credential"}));
  STRCMP_EQUAL("/v1/jobs", this->sent_requests[0].path.c_str());
  STRCMP_EQUAL("10.0.0.1:80", this->sent_requests[0].entry_host.value().c_str());
  STRCMP_EQUAL("monitor:0123456789abcdef", this->sent_requests[0].credential.c_str());
  CHECK(this->sent_requests[0].timeout == std::chrono::seconds(12));
  CHECK_TRUE(this->OutputContains("job ba:1 complete: 2 results"));
  CHECK_TRUE(this->ErrorOutputContains("waiting for the response: 3 s"));
  LONGS_EQUAL(0, this->Run({"submit", "request", "--json"}));
  STRCMP_EQUAL("/v1/requests", this->sent_requests[1].path.c_str());
  STRCMP_EQUAL((this->response->body + "\n").c_str(), this->output.c_str());
}

// Guards against an exit code that lets a script submit work again although it may have run.
TEST(CommandLine, ExitCodesTellWhetherWorkMayHaveRun) {
  const auto exit_code_for = [this](int status, const std::string& verdict) {
    this->response = HttpClientResponse{
        status, R"({"error":{"code":"c","field":"f","message":"m","verdict":")" + verdict + "\"}}"};
    return this->Run({"submit", "job"});
  };
  LONGS_EQUAL(4, exit_code_for(429, "not run"));
  CHECK_TRUE(this->ErrorOutputContains("failed: c in 'f': m (not run)"));
  LONGS_EQUAL(1, exit_code_for(502, "may have run"));
  LONGS_EQUAL(1, exit_code_for(502, "ran"));
  LONGS_EQUAL(6, exit_code_for(403, "not run"));
  this->response = HttpClientResponse{500, "no JSON"};
  LONGS_EQUAL(1, this->Run({"submit", "job"}));
  this->response = base::MakeErrorResult(ErrorCode::kUnavailable, "refused", "",
                                         base::ExecutionVerdict::kNotRun);
  LONGS_EQUAL(5, this->Run({"submit", "job"}));
  this->response =
      base::MakeErrorResult(ErrorCode::kInternal, "lost", "", base::ExecutionVerdict::kMayHaveRun);
  LONGS_EQUAL(1, this->Run({"submit", "job", "--json"}));
  CHECK_TRUE(this->OutputContains("\"verdict\": \"may have run\""));
}

// Guards against a submission id that changes the path of the request to another resource.
TEST(CommandLine, CancelEscapesTheId) {
  LONGS_EQUAL(0, this->Run({"cancel", "ba:1/../x y"}));
  STRCMP_EQUAL("/v1/jobs/ba%3A1%2F..%2Fx%20y", this->sent_requests[0].path.c_str());
  STRCMP_EQUAL("DELETE", this->sent_requests[0].method.c_str());
}

// Guards against a status output that omits a peer that is down.
TEST(CommandLine, StatusShowsHostPeersTargetsAndLoad) {
  this->response = HttpClientResponse{
      200, R"({"host":"ba-0","data_centre":"ba","leaving":false,"work_in_flight":1,
    "tasks_in_flight":2,"load":{"worker":{"free_slots":3,"slots":8,"queued":5}},
    "peers":[{"host":"ba-1","data_centre":"ba","up":false}],
    "targets":[{"id":"w-1","kind":"worker","address":"a:1","slots":8,"leaving":true,"running":2}]})"};
  LONGS_EQUAL(0, this->Run({"status"}));
  CHECK_TRUE(this->OutputContains("DOWN"));
  CHECK_TRUE(this->OutputContains("3 of 8 slots free, 5 tasks queued"));
  CHECK_TRUE(this->OutputContains("w-1"));
  CHECK_TRUE(this->OutputContains("leaving"));
}

// Guards against a crash on arbitrary arguments or responses.
TEST(CommandLine, ArbitraryArgumentsAndResponsesGiveAnExitCode) {
  const bool holds = rc::check([this](const std::string& noise, const std::string& body) {
    const std::vector<std::string> words = {"status", "submit", "cancel", "check", "--json", "-e",
                                            "-c",     "job",    "x",      "--",    "-",      noise};
    const auto arguments = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(words));
    const std::vector<std::string> response_bodies = {
        body,
        "[]",
        R"({"error":3})",
        R"({"peers":[1],"targets":{"a":2},"load":[3]})",
        R"({"submission":1,"results":[null]})",
        R"({"error":{},"tasks":5})"};
    this->response =
        HttpClientResponse{*rc::gen::inRange(200, 600), *rc::gen::elementOf(response_bodies)};
    const int code = this->Run(arguments);
    RC_ASSERT((code >= 0 && code <= 6));
  });
  CHECK_TRUE(holds);
}
