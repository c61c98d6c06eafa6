#include "observability/request_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <unordered_map>

#include "base/error_code.h"
#include "base/mutex.h"
#include "base/mutex_lock.h"

namespace sapphirecrank::observability {

using base::PriorityClass;
using base::TeamId;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

namespace {

constexpr const char* kOtherTeam = "other";
constexpr int kErrorCodeCount = static_cast<int>(base::ErrorCode::kInternal) + 1;
constexpr int kVerdictCount = static_cast<int>(base::ExecutionVerdict::kRan) + 1;

const Histogram::BucketBoundaries& DurationBuckets() {
  static const Histogram::BucketBoundaries kBuckets = {0.001, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                       0.25,  0.5,   1,    2.5,   5,    10};
  return kBuckets;
}

const Histogram::BucketBoundaries& SlowdownBuckets() {
  static const Histogram::BucketBoundaries kBuckets = {1.05, 1.1, 1.2, 1.35, 1.5, 2, 3, 5, 10, 30};
  return kBuckets;
}

double ToSeconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Family<Counter>& CounterFamily(prometheus::Registry& registry, const std::string& name,
                               const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Histogram>& HistogramFamily(prometheus::Registry& registry, const std::string& name,
                                   const std::string& help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

}  // namespace

class RequestMetrics::Impl {
 public:
  /// The series of one team and class.
  struct TeamSeries {
    Histogram& response_time;
    Histogram& slowdown;
    Histogram& queue_wait;
    Counter& task_starts;
  };

  /// The series of one team by class; each is created with its first value.
  struct TeamMetrics {
    std::string name;
    std::array<std::atomic<TeamSeries*>, base::kPriorityClassCount> series{};
  };

  explicit Impl(const std::vector<TeamId>& teams);

  TeamSeries& FindOrCreateSeries(const TeamId& team, PriorityClass priority_class);

  prometheus::Registry registry;
  Family<Histogram>& response_times;
  Family<Histogram>& slowdowns;
  Family<Histogram>& queue_waits;
  Family<Counter>& task_starts;
  std::array<std::array<Counter*, kErrorCodeCount>, kVerdictCount> error_responses;
  std::array<Counter*, kMessageKindCount> messages;
  std::array<Counter*, kWastedMessageCauseCount> wasted_messages;
  Counter& retries;
  Counter& ejections;

 private:
  TeamSeries& CreateSeries(TeamMetrics& team, PriorityClass priority_class);
  void AddErrorResponseCounters();
  void AddMessageCounters();

  // Not changed after construction and therefore read without a lock.
  std::unordered_map<TeamId, std::unique_ptr<TeamMetrics>> teams;
  TeamMetrics other_team;
  base::Mutex creation_mutex;
  std::vector<std::unique_ptr<TeamSeries>> created_series GUARDED_BY(creation_mutex);
};

RequestMetrics::Impl::Impl(const std::vector<TeamId>& teams)
    : response_times(HistogramFamily(this->registry, "sapphirecrank_response_seconds",
                                     "Time from a request's arrival to its complete answer")),
      slowdowns(HistogramFamily(this->registry, "sapphirecrank_slowdown_ratio",
                                "Response time over the run time of the longest task")),
      queue_waits(HistogramFamily(this->registry, "sapphirecrank_queue_wait_seconds",
                                  "Time that a task waited on this host before its start")),
      task_starts(CounterFamily(this->registry, "sapphirecrank_task_starts_total",
                                "Tasks started on this host's targets")),
      retries(CounterFamily(this->registry, "sapphirecrank_retries_total", "Tasks placed again")
                  .Add({})),
      ejections(
          CounterFamily(this->registry, "sapphirecrank_ejections_total", "Targets taken out of use")
              .Add({})) {
  this->other_team.name = kOtherTeam;
  const size_t count = std::min(teams.size(), kMaximumTeams);
  for (size_t i = 0; i < count; ++i) {
    auto team = std::make_unique<TeamMetrics>();
    team->name = teams[i].value();
    this->teams.emplace(teams[i], std::move(team));
  }
  this->AddErrorResponseCounters();
  this->AddMessageCounters();
}

void RequestMetrics::Impl::AddErrorResponseCounters() {
  Family<Counter>& family = CounterFamily(this->registry, "sapphirecrank_refusals_total",
                                          "Refused and failed answers by verdict and code");
  for (int verdict = 0; verdict < kVerdictCount; ++verdict) {
    for (int code = 0; code < kErrorCodeCount; ++code) {
      const std::string verdict_name(
          base::ExecutionVerdictName(static_cast<base::ExecutionVerdict>(verdict)));
      const std::string code_name(base::ErrorCodeName(static_cast<base::ErrorCode>(code)));
      this->error_responses[verdict][code] =
          &family.Add({{"verdict", verdict_name}, {"code", code_name}});
    }
  }
}

void RequestMetrics::Impl::AddMessageCounters() {
  Family<Counter>& sent =
      CounterFamily(this->registry, "sapphirecrank_messages_total", "Messages sent for work");
  for (int kind = 0; kind < kMessageKindCount; ++kind) {
    const std::string name(MessageKindName(static_cast<MessageKind>(kind)));
    this->messages[kind] = &sent.Add({{"kind", name}});
  }
  Family<Counter>& wasted = CounterFamily(this->registry, "sapphirecrank_wasted_messages_total",
                                          "Messages that brought nothing, by cause");
  for (int cause = 0; cause < kWastedMessageCauseCount; ++cause) {
    const std::string name(WastedMessageCauseName(static_cast<WastedMessageCause>(cause)));
    this->wasted_messages[cause] = &wasted.Add({{"cause", name}});
  }
}

RequestMetrics::Impl::TeamSeries& RequestMetrics::Impl::FindOrCreateSeries(
    const TeamId& team, PriorityClass priority_class) {
  const auto found = this->teams.find(team);
  TeamMetrics& team_metrics = found == this->teams.end() ? this->other_team : *found->second;
  TeamSeries* series =
      team_metrics.series[static_cast<size_t>(priority_class)].load(std::memory_order_acquire);
  return series != nullptr ? *series : this->CreateSeries(team_metrics, priority_class);
}

RequestMetrics::Impl::TeamSeries& RequestMetrics::Impl::CreateSeries(TeamMetrics& team,
                                                                     PriorityClass priority_class) {
  base::MutexLock lock(this->creation_mutex);
  std::atomic<TeamSeries*>& series = team.series[static_cast<size_t>(priority_class)];
  if (series.load(std::memory_order_acquire) == nullptr) {
    const prometheus::Labels labels = {
        {"team", team.name}, {"class", std::string(base::PriorityClassName(priority_class))}};
    this->created_series.push_back(std::make_unique<TeamSeries>(TeamSeries{
        this->response_times.Add(labels, DurationBuckets()),
        this->slowdowns.Add(labels, SlowdownBuckets()),
        this->queue_waits.Add(labels, DurationBuckets()), this->task_starts.Add(labels)}));
    series.store(this->created_series.back().get(), std::memory_order_release);
  }
  return *series.load(std::memory_order_acquire);
}

RequestMetrics::RequestMetrics(const std::vector<TeamId>& teams)
    : impl(std::make_unique<Impl>(teams)) {}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::OnCompleteResponse(const TeamId& team, PriorityClass priority_class,
                                        base::Duration response_time, base::Duration run_time) {
  Impl::TeamSeries& series = this->impl->FindOrCreateSeries(team, priority_class);
  series.response_time.Observe(ToSeconds(response_time));
  if (run_time > base::Duration(0)) {
    series.slowdown.Observe(ToSeconds(response_time) / ToSeconds(run_time));
  }
}

void RequestMetrics::OnErrorResponse(const base::Error& error) {
  const auto verdict = static_cast<size_t>(error.verdict);
  this->impl->error_responses[verdict][static_cast<size_t>(error.code)]->Increment();
}

void RequestMetrics::OnTaskStart(const TeamId& team, PriorityClass priority_class,
                                 base::Duration queue_wait) {
  Impl::TeamSeries& series = this->impl->FindOrCreateSeries(team, priority_class);
  series.task_starts.Increment();
  series.queue_wait.Observe(ToSeconds(queue_wait));
}

void RequestMetrics::OnMessage(MessageKind kind) {
  this->impl->messages[static_cast<size_t>(kind)]->Increment();
}

void RequestMetrics::OnWastedMessage(WastedMessageCause cause) {
  this->impl->wasted_messages[static_cast<size_t>(cause)]->Increment();
}

void RequestMetrics::OnRetry() { this->impl->retries.Increment(); }

void RequestMetrics::OnEjection() { this->impl->ejections.Increment(); }

std::string RequestMetrics::PrometheusText() const {
  return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

}  // namespace sapphirecrank::observability
