#include "cli/option_parser.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdio>
#include <cstdlib>

namespace sapphirecrank::cli {

using base::ErrorCode;
using base::Fail;

namespace {

constexpr const char* kDefaultEntryHost = "127.0.0.1:8080";

/// How a subcommand is called.
struct CommandForm {
  const char* name;
  Command command;
  /// Name of the positional argument, empty if there is none.
  const char* argument;
  bool takes_settings;
  bool takes_entry_host;
  const char* summary;
};

constexpr CommandForm kForms[] = {
    {"run", Command::kRun, "", true, false, "run an entry host until SIGTERM, then drain it"},
    {"check", Command::kCheck, "FILE", false, false,
     "check a settings file and the files that it names; list all faults"},
    {"submit", Command::kSubmit, "FILE", false, true,
     "submit the job or request in FILE (JSON), wait, and print the answer"},
    {"cancel", Command::kCancel, "ID", false, true, "cancel the job with submission id ID"},
    {"status", Command::kStatus, "", false, true,
     "show an entry host, its peers, targets and load"},
    {"drain", Command::kDrain, "", false, true, "let an entry host finish its work and stop"},
    {"version", Command::kVersion, "", false, false, "print the version"}};

std::string GeneralHelp() {
  std::string help = "Usage: sapphirecrank COMMAND [OPTION...]\n\nCommands:\n";
  for (const CommandForm& form : kForms) {
    help +=
        fmt::format("  {:<14}{}\n", fmt::format("{} {}", form.name, form.argument), form.summary);
  }
  return help +
         "\n'sapphirecrank COMMAND --help' shows the options of a command.\n"
         "Exit codes: 0 done, 1 failed (may have run), 2 wrong usage, 3 faulty settings,\n"
         "4 refused and not run, 5 entry host unreachable, 6 credential refused.\n";
}

const CommandForm* FindForm(const std::string& name) {
  for (const CommandForm& form : kForms) {
    if (name == form.name) {
      return &form;
    }
  }
  return nullptr;
}

/// The options of one subcommand in popt's form, with the places for their values.
class OptionTable {
 public:
  explicit OptionTable(const CommandForm& form) {
    if (form.takes_settings) {
      this->Add({"settings", 's', POPT_ARG_STRING, &this->settings_file, 0, "settings file (JSON)",
                 "FILE"});
    }
    if (form.takes_entry_host) {
      this->Add({"entry-host", 'e', POPT_ARG_STRING, &this->entry_host, 0,
                 "entry host to ask (default 127.0.0.1:8080)", "ADDRESS"});
      this->Add({"credential-file", 'c', POPT_ARG_STRING, &this->credential_file, 0,
                 "file of mode 600 with one line NAME:SECRET", "FILE"});
    }
    this->Add({"json", 'j', POPT_ARG_NONE, &this->is_json, 0, "print JSON for programs", nullptr});
    this->Add({"help", 'h', POPT_ARG_NONE, &this->is_help, 0, "show this help", nullptr});
    this->Add(POPT_TABLEEND);
  }
  ~OptionTable() {
    free(this->settings_file);
    free(this->entry_host);
    free(this->credential_file);
  }
  OptionTable(const OptionTable&) = delete;
  OptionTable& operator=(const OptionTable&) = delete;

  const poptOption* Options() const { return this->options.data(); }
  bool IsHelp() const { return this->is_help != 0; }

  /// Copies the values into `result`.
  void Fill(CommandOptions& result) const {
    result.settings_file = Text(this->settings_file);
    result.entry_host =
        base::NetworkAddress(this->entry_host == nullptr ? kDefaultEntryHost : this->entry_host);
    result.credential_file = Text(this->credential_file);
    result.is_json = this->is_json != 0;
  }

 private:
  static std::string Text(const char* value) { return value == nullptr ? "" : value; }
  void Add(const poptOption& option) { this->options.push_back(option); }

  std::vector<poptOption> options;
  char* settings_file = nullptr;
  char* entry_host = nullptr;
  char* credential_file = nullptr;
  int is_json = 0;
  int is_help = 0;
};

std::string HelpOf(const CommandForm& form, poptContext context) {
  char* text = nullptr;
  size_t size = 0;
  FILE* stream = open_memstream(&text, &size);
  poptPrintHelp(context, stream, 0);
  fclose(stream);
  std::string help = fmt::format("{}\n\n{}", form.summary, std::string(text, size));
  free(text);
  return help;
}

/// Takes the positional arguments from `context`.
base::Result<void> ReadArguments(const CommandForm& form, poptContext context,
                                 CommandOptions& options) {
  const std::string wanted = form.argument;
  const char* argument = poptGetArg(context);
  if (argument != nullptr && !wanted.empty()) {
    options.argument = argument;
    argument = poptGetArg(context);
  } else if (argument == nullptr && !wanted.empty()) {
    return Fail(ErrorCode::kInvalidArgument, fmt::format("{}: {} is missing", form.name, wanted),
                wanted);
  }
  if (argument != nullptr) {
    return Fail(ErrorCode::kInvalidArgument,
                fmt::format("{}: unexpected argument '{}'", form.name, argument), argument);
  }
  if (form.takes_settings && options.settings_file.empty()) {
    return Fail(ErrorCode::kInvalidArgument, fmt::format("{}: --settings is missing", form.name),
                "--settings");
  }
  return {};
}

base::Result<CommandOptions> ReadOptions(const CommandForm& form, const OptionTable& table,
                                         poptContext context) {
  const int end = poptGetNextOpt(context);
  if (end < -1) {
    const std::string option = poptBadOption(context, POPT_BADOPTION_NOALIAS);
    return Fail(ErrorCode::kInvalidArgument,
                fmt::format("{}: {}: {}", form.name, option, poptStrerror(end)), option);
  }
  CommandOptions options;
  options.command = form.command;
  if (table.IsHelp()) {
    options.help = HelpOf(form, context);
    return options;
  }
  table.Fill(options);
  const auto read = ReadArguments(form, context, options);
  if (!read) {
    return tl::make_unexpected(read.error());
  }
  return options;
}

base::Result<CommandOptions> ParseForm(const CommandForm& form,
                                       const std::vector<std::string>& arguments) {
  const std::string name = fmt::format("sapphirecrank {}", form.name);
  std::vector<const char*> pointers = {name.c_str()};
  for (size_t i = 1; i < arguments.size(); ++i) {
    pointers.push_back(arguments[i].c_str());
  }
  // popt expects the null pointer that ends argv.
  const int count = static_cast<int>(pointers.size());
  pointers.push_back(nullptr);
  const OptionTable table(form);
  poptContext context = poptGetContext(nullptr, count, pointers.data(), table.Options(), 0);
  poptSetOtherOptionHelp(context, fmt::format("[OPTION...] {}", form.argument).c_str());
  auto options = ReadOptions(form, table, context);
  poptFreeContext(context);
  return options;
}

}  // namespace

base::Result<CommandOptions> ParseOptions(const std::vector<std::string>& arguments) {
  const std::string name = arguments.empty() ? "" : arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    CommandOptions options;
    options.help = GeneralHelp();
    return options;
  }
  const CommandForm* form = FindForm(name == "--version" ? "version" : name);
  if (form == nullptr) {
    const std::string message =
        name.empty() ? "a command is missing" : "unknown command '" + name + "'";
    return Fail(ErrorCode::kInvalidArgument, message + "; see sapphirecrank --help", "command");
  }
  return ParseForm(*form, arguments);
}

}  // namespace sapphirecrank::cli
