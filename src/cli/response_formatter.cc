#include "cli/response_formatter.h"

#include <fmt/format.h>

#include <map>
#include <nlohmann/json.hpp>

namespace sapphirecrank::cli {

using Json = nlohmann::json;

namespace {

std::string JsonToText(const Json& value) {
  return value.is_string() ? value.get<std::string>()
                           : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns a member as text, or "?" if the object doesn't have it.
std::string MemberText(const Json& object, const std::string& name) {
  return object.is_object() && object.contains(name) ? JsonToText(object.at(name)) : "?";
}

const Json& MemberOrNull(const Json& object, const std::string& name) {
  static const Json kNull;
  return object.is_object() && object.contains(name) ? object.at(name) : kNull;
}

std::string FormatPeer(const Json& peer) {
  const bool is_up = MemberOrNull(peer, "up") == Json(true);
  return fmt::format("  {:<20} {:<12} {}\n", MemberText(peer, "host"),
                     MemberText(peer, "data_centre"), is_up ? "up" : "DOWN");
}

std::string FormatTarget(const Json& target) {
  const bool is_leaving = MemberOrNull(target, "leaving") == Json(true);
  return fmt::format("  {:<20} {:<8} {:<21} {:>4} slots {:>4} running{}\n",
                     MemberText(target, "id"), MemberText(target, "kind"),
                     MemberText(target, "address"), MemberText(target, "slots"),
                     MemberText(target, "running"), is_leaving ? "  leaving" : "");
}

std::string FormatLoad(const std::string& kind, const Json& load) {
  return fmt::format("  {:<8} {} of {} slots free, {} tasks queued\n", kind,
                     MemberText(load, "free_slots"), MemberText(load, "slots"),
                     MemberText(load, "queued"));
}

std::string FormatError(const Json& error) {
  const std::string field = MemberText(error, "field");
  return fmt::format("{}{}: {} ({})", MemberText(error, "code"),
                     field.empty() || field == "?" ? "" : " in '" + field + "'",
                     MemberText(error, "message"), MemberText(error, "verdict"));
}

std::string FormatTaskVerdicts(const Json& tasks) {
  std::map<std::string, int> verdicts;
  for (const Json& task : tasks) {
    ++verdicts[MemberText(task, "verdict")];
  }
  std::string text;
  for (const auto& [verdict, count] : verdicts) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, verdict);
  }
  return text.empty() ? "" : "\ntasks: " + text;
}

}  // namespace

std::string FormatStatus(const std::string& document) {
  const Json status = Json::parse(document, nullptr, false);
  if (!status.is_object()) {
    return document;
  }
  const bool is_leaving = MemberOrNull(status, "leaving") == Json(true);
  std::string text = fmt::format(
      "host {} in data centre {}{}\nwork in flight: {}, tasks on own targets: {}\n",
      MemberText(status, "host"), MemberText(status, "data_centre"), is_leaving ? ", leaving" : "",
      MemberText(status, "work_in_flight"), MemberText(status, "tasks_in_flight"));
  text += "load:\n";
  for (const auto& load : MemberOrNull(status, "load").items()) {
    text += FormatLoad(load.key(), load.value());
  }
  text += fmt::format("peers: {}\n", MemberOrNull(status, "peers").size());
  for (const Json& peer : MemberOrNull(status, "peers")) {
    text += FormatPeer(peer);
  }
  text += fmt::format("targets owned by this host: {}\n", MemberOrNull(status, "targets").size());
  for (const Json& target : MemberOrNull(status, "targets")) {
    text += FormatTarget(target);
  }
  return text;
}

std::string FormatEvacuations(const std::string& document) {
  const Json response = Json::parse(document, nullptr, false);
  const Json& evacuations = MemberOrNull(response, "evacuations");
  if (!evacuations.is_array()) {
    return document;
  }
  std::string text = fmt::format("evacuated data centres: {} (revision {})\n", evacuations.size(),
                                 MemberText(response, "revision"));
  for (const Json& evacuation : evacuations) {
    text += fmt::format("  {:<20} since {} accepted by {:<21} {:>4} runs left\n",
                        MemberText(evacuation, "data_centre"), MemberText(evacuation, "since"),
                        MemberText(evacuation, "accepted_by"), MemberText(evacuation, "runs_left"));
  }
  return text;
}

std::string FormatResponse(const std::string& document) {
  const Json response = Json::parse(document, nullptr, false);
  const Json& error = MemberOrNull(response, "error");
  if (error.is_object()) {
    const std::string submission =
        response.contains("submission") ? "job " + MemberText(response, "submission") + " " : "";
    return submission + "failed: " + FormatError(error) +
           FormatTaskVerdicts(MemberOrNull(response, "tasks")) + "\n";
  }
  const Json& results = MemberOrNull(response, "results");
  if (!results.is_array() || !response.contains("submission")) {
    return document + "\n";
  }
  std::string text = fmt::format("job {} {}: {} results\n", MemberText(response, "submission"),
                                 MemberText(response, "state"), results.size());
  for (size_t i = 0; i < results.size(); ++i) {
    text += fmt::format("  {}: {}\n", i,
                        results[i].dump(-1, ' ', false, Json::error_handler_t::replace));
  }
  return text;
}

std::string ParseVerdict(const std::string& document) {
  const Json response = Json::parse(document, nullptr, false);
  const Json& verdict = MemberOrNull(MemberOrNull(response, "error"), "verdict");
  return verdict.is_string() ? verdict.get<std::string>() : "may have run";
}

}  // namespace sapphirecrank::cli
