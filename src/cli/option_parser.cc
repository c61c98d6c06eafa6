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

/// The name, argument and options of a subcommand.
struct CommandSpecification {
  const char* name;
  Command command;
  /// Placeholder of the positional argument in help texts, empty if the command takes none.
  const char* argument_name;
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
     "check a settings file and the files that it names; list all errors"},
    {"submit", Command::kSubmit, "FILE", false, true,
     "submit the job or request in FILE (JSON), wait, and print the response"},
    {"cancel", Command::kCancel, "ID", false, true, "cancel the job with submission id ID"},
    {"status", Command::kStatus, "", false, true,
     "show an entry host, its peers, targets and load"},
    {"drain", Command::kDrain, "", false, true, "let an entry host finish its work and stop"},
    {"evacuate", Command::kEvacuate, "ACTION", false, true,
     "list evacuations, or start or finish that of a data centre, at an allocator"},
    {"version", Command::kVersion, "", false, false, "print the version"}};

std::string GeneralHelp() {
  std::string help = "Usage: sapphirecrank COMMAND [OPTION...]\n\nCommands:\n";
  for (const CommandSpecification& specification : kCommands) {
    help += fmt::format("  {:<14}{}\n",
                        fmt::format("{} {}", specification.name, specification.argument_name),
                        specification.summary);
  }
  return help +
         "\n'sapphirecrank COMMAND --help' shows the options of a command.\n"
         "Exit codes: 0 success, 1 failed (may have run), 2 usage error, 3 invalid settings,\n"
         "4 rejected and not run, 5 entry host unreachable, 6 access denied.\n";
}

const CommandSpecification* FindCommand(const std::string& name) {
  for (const CommandSpecification& specification : kCommands) {
    if (name == specification.name) {
      return &specification;
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

/// Returns the options of a subcommand as a popt table.
std::vector<poptOption> MakeOptionTable(const CommandSpecification& specification) {
  std::vector<poptOption> options;
  if (specification.takes_settings) {
    options.push_back({"settings", 's', POPT_ARG_STRING, nullptr, kSettingsOption,
                       "settings file (JSON)", "FILE"});
  }
  if (specification.command == Command::kEvacuate) {
    options.push_back({"host", 'H', POPT_ARG_STRING, nullptr, kEntryHostOption,
                       "control address of an allocator, as --entry-host", "ADDRESS"});
  }
  if (specification.takes_entry_host) {
    options.push_back({"entry-host", 'e', POPT_ARG_STRING, nullptr, kEntryHostOption,
                       "entry host to contact (default 127.0.0.1:8080)", "ADDRESS"});
    options.push_back({"credential-file", 'c', POPT_ARG_STRING, nullptr, kCredentialFileOption,
                       "file of mode 600 with one line NAME:SECRET", "FILE"});
  }
  options.push_back(
      {"json", 'j', POPT_ARG_NONE, nullptr, kJsonOption, "print JSON instead of text", nullptr});
  options.push_back({"help", 'h', POPT_ARG_NONE, nullptr, kHelpOption, "show this help", nullptr});
  options.push_back(POPT_TABLEEND);
  return options;
}

/// Returns the value of the option that was parsed last.
std::string LastOptionValue(poptContext context) {
  char* value = poptGetOptArg(context);
  const std::string text = value == nullptr ? "" : value;
  free(value);
  return text;
}

std::string CommandHelp(const CommandSpecification& specification, poptContext context) {
  char* text = nullptr;
  size_t size = 0;
  FILE* stream = open_memstream(&text, &size);
  poptPrintHelp(context, stream, 0);
  fclose(stream);
  std::string help = fmt::format("{}\n\n{}", specification.summary, std::string(text, size));
  free(text);
  return help;
}

/// Takes the data centre of an evacuation from the next positional argument, which is `argument`,
/// if the action is for one.
base::Result<void> ParseEvacuation(poptContext context, const char*& argument,
                                   CommandOptions& options) {
  const std::string& action = options.positional_argument;
  if (action != "start" && action != "finish" && action != "list") {
    return MakeErrorResult(ErrorCode::kInvalidArgument,
                           "evacuate: ACTION must be start, finish or list", "ACTION");
  }
  if (action == "list") {
    return {};
  }
  if (argument == nullptr || *argument == '\0') {
    return MakeErrorResult(ErrorCode::kInvalidArgument, "evacuate: DATA_CENTRE is missing",
                           "DATA_CENTRE");
  }
  options.data_centre = argument;
  argument = poptGetArg(context);
  return {};
}

/// Parses the positional arguments and checks that all required values are given.
base::Result<void> ParsePositionalArguments(const CommandSpecification& specification,
                                            poptContext context, CommandOptions& options) {
  const std::string expected_argument = specification.argument_name;
  const char* argument = poptGetArg(context);
  if (argument != nullptr && !expected_argument.empty()) {
    options.positional_argument = argument;
    argument = poptGetArg(context);
  } else if (argument == nullptr && !expected_argument.empty()) {
    return MakeErrorResult(ErrorCode::kInvalidArgument,
                           fmt::format("{}: {} is missing", specification.name, expected_argument),
                           expected_argument);
  }
  if (specification.command == Command::kEvacuate) {
    const auto parsed = ParseEvacuation(context, argument, options);
    if (!parsed) {
      return parsed;
    }
  }
  if (argument != nullptr) {
    return MakeErrorResult(
        ErrorCode::kInvalidArgument,
        fmt::format("{}: unexpected argument '{}'", specification.name, argument), argument);
  }
  if (specification.takes_settings && options.settings_file.empty()) {
    return MakeErrorResult(ErrorCode::kInvalidArgument,
                           fmt::format("{}: --settings is missing", specification.name),
                           "--settings");
  }
  return {};
}

base::Result<CommandOptions> ParseCommandOptions(const CommandSpecification& specification,
                                                 poptContext context) {
  CommandOptions options;
  options.command = specification.command;
  options.entry_host = base::NetworkAddress(kDefaultEntryHost);
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    // If an option is repeated, its last value is used.
    const std::string value = LastOptionValue(context);
    if (option == kSettingsOption) {
      options.settings_file = value;
    } else if (option == kEntryHostOption) {
      options.entry_host = base::NetworkAddress(value);
    } else if (option == kCredentialFileOption) {
      options.credential_file = value;
    } else if (option == kJsonOption) {
      options.prints_json = true;
    } else if (option == kHelpOption) {
      options.help_text = CommandHelp(specification, context);
      return options;
    }
  }
  if (option < -1) {
    const std::string name = poptBadOption(context, POPT_BADOPTION_NOALIAS);
    return MakeErrorResult(
        ErrorCode::kInvalidArgument,
        fmt::format("{}: {}: {}", specification.name, name, poptStrerror(option)), name);
  }
  const auto parsed_arguments = ParsePositionalArguments(specification, context, options);
  if (!parsed_arguments) {
    return tl::make_unexpected(parsed_arguments.error());
  }
  return options;
}

base::Result<CommandOptions> ParseCommand(const CommandSpecification& specification,
                                          const std::vector<std::string>& arguments) {
  const std::string name = fmt::format("sapphirecrank {}", specification.name);
  std::vector<const char*> argument_pointers = {name.c_str()};
  for (size_t i = 1; i < arguments.size(); ++i) {
    argument_pointers.push_back(arguments[i].c_str());
  }
  // popt expects argv to end with a null pointer.
  const int count = static_cast<int>(argument_pointers.size());
  argument_pointers.push_back(nullptr);
  const std::vector<poptOption> option_table = MakeOptionTable(specification);
  poptContext context =
      poptGetContext(nullptr, count, argument_pointers.data(), option_table.data(), 0);
  const std::string argument_help = specification.command == Command::kEvacuate
                                        ? "start|finish|list [DATA_CENTRE]"
                                        : specification.argument_name;
  poptSetOtherOptionHelp(context, fmt::format("[OPTION...] {}", argument_help).c_str());
  auto options = ParseCommandOptions(specification, context);
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
  const CommandSpecification* specification = FindCommand(name == "--version" ? "version" : name);
  if (specification == nullptr) {
    const std::string message =
        name.empty() ? "a command is missing" : "unknown command '" + name + "'";
    return MakeErrorResult(ErrorCode::kInvalidArgument, message + "; see sapphirecrank --help",
                           "command");
  }
  return ParseCommand(*specification, arguments);
}

}  // namespace sapphirecrank::cli
