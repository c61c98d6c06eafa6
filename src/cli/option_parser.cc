#include "cli/option_parser.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdio>
#include <cstdlib>

namespace sapphirecrank::cli {

using base::ErrorCode;
using base::MakeErrorResult;

namespace {

constexpr const char* kDefaultEntryHost = "127.0.0.1:8080";

/// How a subcommand is called.
struct CommandSpecification {
  const char* name;
  Command command;
  /// Name of the positional argument, empty if there is none.
  const char* argument;
  bool takes_settings;
  bool takes_entry_host;
  const char* summary;
};

constexpr CommandSpecification kCommands[] = {
    {"run", Command::kRun, "", true, false, "run an entry host until SIGTERM, then drain it"},
    {"gateway", Command::kGateway, "", true, false,
     "run a gateway of the users' platform until SIGTERM, then drain it"},
    {"allocator", Command::kAllocator, "", true, false,
     "run an allocator of the users' platform until SIGTERM, then drain it"},
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
  for (const CommandSpecification& form : kCommands) {
    help +=
        fmt::format("  {:<14}{}\n", fmt::format("{} {}", form.name, form.argument), form.summary);
  }
  return help +
         "\n'sapphirecrank COMMAND --help' shows the options of a command.\n"
         "Exit codes: 0 done, 1 failed (may have run), 2 wrong usage, 3 faulty settings,\n"
         "4 refused and not run, 5 entry host unreachable, 6 credential refused.\n";
}

const CommandSpecification* FindCommand(const std::string& name) {
  for (const CommandSpecification& form : kCommands) {
    if (name == form.name) {
      return &form;
    }
  }
  return nullptr;
}

// What poptGetNextOpt returns for each option.
constexpr int kSettingsOption = 's';
constexpr int kEntryHostOption = 'e';
constexpr int kCredentialFileOption = 'c';
constexpr int kJsonOption = 'j';
constexpr int kHelpOption = 'h';

/// Returns the options of a subcommand in popt's form.
std::vector<poptOption> MakeOptionTable(const CommandSpecification& form) {
  std::vector<poptOption> options;
  if (form.takes_settings) {
    options.push_back({"settings", 's', POPT_ARG_STRING, nullptr, kSettingsOption,
                       "settings file (JSON)", "FILE"});
  }
  if (form.takes_entry_host) {
    options.push_back({"entry-host", 'e', POPT_ARG_STRING, nullptr, kEntryHostOption,
                       "entry host to ask (default 127.0.0.1:8080)", "ADDRESS"});
    options.push_back({"credential-file", 'c', POPT_ARG_STRING, nullptr, kCredentialFileOption,
                       "file of mode 600 with one line NAME:SECRET", "FILE"});
  }
  options.push_back(
      {"json", 'j', POPT_ARG_NONE, nullptr, kJsonOption, "print JSON for programs", nullptr});
  options.push_back({"help", 'h', POPT_ARG_NONE, nullptr, kHelpOption, "show this help", nullptr});
  options.push_back(POPT_TABLEEND);
  return options;
}

/// Takes the value of the option that was read last.
std::string TakeOptionValue(poptContext context) {
  char* value = poptGetOptArg(context);
  const std::string text = value == nullptr ? "" : value;
  free(value);
  return text;
}

std::string CommandHelp(const CommandSpecification& form, poptContext context) {
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
base::Result<void> ReadArguments(const CommandSpecification& form, poptContext context,
                                 CommandOptions& options) {
  const std::string wanted = form.argument;
  const char* argument = poptGetArg(context);
  if (argument != nullptr && !wanted.empty()) {
    options.positional_argument = argument;
    argument = poptGetArg(context);
  } else if (argument == nullptr && !wanted.empty()) {
    return MakeErrorResult(ErrorCode::kInvalidArgument,
                           fmt::format("{}: {} is missing", form.name, wanted), wanted);
  }
  if (argument != nullptr) {
    return MakeErrorResult(ErrorCode::kInvalidArgument,
                           fmt::format("{}: unexpected argument '{}'", form.name, argument),
                           argument);
  }
  if (form.takes_settings && options.settings_file.empty()) {
    return MakeErrorResult(ErrorCode::kInvalidArgument,
                           fmt::format("{}: --settings is missing", form.name), "--settings");
  }
  return {};
}

base::Result<CommandOptions> ReadOptions(const CommandSpecification& form, poptContext context) {
  CommandOptions options;
  options.command = form.command;
  options.entry_host = base::NetworkAddress(kDefaultEntryHost);
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    // A repeated option counts with its last value.
    const std::string value = TakeOptionValue(context);
    if (option == kSettingsOption) {
      options.settings_file = value;
    } else if (option == kEntryHostOption) {
      options.entry_host = base::NetworkAddress(value);
    } else if (option == kCredentialFileOption) {
      options.credential_file = value;
    } else if (option == kJsonOption) {
      options.prints_json = true;
    } else if (option == kHelpOption) {
      options.help_text = CommandHelp(form, context);
      return options;
    }
  }
  if (option < -1) {
    const std::string name = poptBadOption(context, POPT_BADOPTION_NOALIAS);
    return MakeErrorResult(ErrorCode::kInvalidArgument,
                           fmt::format("{}: {}: {}", form.name, name, poptStrerror(option)), name);
  }
  const auto read = ReadArguments(form, context, options);
  if (!read) {
    return tl::make_unexpected(read.error());
  }
  return options;
}

base::Result<CommandOptions> ParseCommand(const CommandSpecification& form,
                                          const std::vector<std::string>& arguments) {
  const std::string name = fmt::format("sapphirecrank {}", form.name);
  std::vector<const char*> pointers = {name.c_str()};
  for (size_t i = 1; i < arguments.size(); ++i) {
    pointers.push_back(arguments[i].c_str());
  }
  // popt expects the null pointer that ends argv.
  const int count = static_cast<int>(pointers.size());
  pointers.push_back(nullptr);
  const std::vector<poptOption> table = MakeOptionTable(form);
  poptContext context = poptGetContext(nullptr, count, pointers.data(), table.data(), 0);
  poptSetOtherOptionHelp(context, fmt::format("[OPTION...] {}", form.argument).c_str());
  auto options = ReadOptions(form, context);
  poptFreeContext(context);
  return options;
}

}  // namespace

base::Result<CommandOptions> ParseOptions(const std::vector<std::string>& arguments) {
  const std::string name = arguments.empty() ? "" : arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    CommandOptions options;
    options.help_text = GeneralHelp();
    return options;
  }
  const CommandSpecification* form = FindCommand(name == "--version" ? "version" : name);
  if (form == nullptr) {
    const std::string message =
        name.empty() ? "a command is missing" : "unknown command '" + name + "'";
    return MakeErrorResult(ErrorCode::kInvalidArgument, message + "; see sapphirecrank --help",
                           "command");
  }
  return ParseCommand(*form, arguments);
}

}  // namespace sapphirecrank::cli
