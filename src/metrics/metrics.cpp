#include "metrics/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace finchrun::metrics {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;

struct Metrics {
  prometheus::Registry registry;
  Family<Counter>& exits = prometheus::BuildCounter()
                               .Name("finchrun_exits_observed_total")
                               .Help("Task attempts that count as gone, by proof.")
                               .Register(registry);
  Family<Counter>& starts = prometheus::BuildCounter()
                                .Name("finchrun_starts_total")
                                .Help("Start commands sent, by path.")
                                .Register(registry);
  Family<Counter>& refused_starts = prometheus::BuildCounter()
                                        .Name("finchrun_starts_refused_total")
                                        .Help("Direct starts that were not sent, by reason.")
                                        .Register(registry);
  Family<Counter>& stops = prometheus::BuildCounter()
                               .Name("finchrun_stops_total")
                               .Help("Direct stop commands, by the agent's answer.")
                               .Register(registry);
  Family<Counter>& refused_renewals = prometheus::BuildCounter()
                                          .Name("finchrun_lease_renewals_refused_total")
                                          .Help("Heartbeats not answered because of cancellations.")
                                          .Register(registry);
  Family<Gauge>& lingering_tasks = prometheus::BuildGauge()
                                       .Name("finchrun_cancelled_tasks")
                                       .Help("Tasks of cancelled jobs that may still be on machines.")
                                       .Register(registry);
  Family<Gauge>& lingering_age = prometheus::BuildGauge()
                                     .Name("finchrun_cancelled_task_age_seconds")
                                     .Help("Time since the oldest of their cancellations was learnt.")
                                     .Register(registry);
  Family<Gauge>& cancellations_age = prometheus::BuildGauge()
                                         .Name("finchrun_cancellations_known_age_seconds")
                                         .Help("Cancellations confirmed before that time are all known.")
                                         .Register(registry);
  Family<Counter>& violations = prometheus::BuildCounter()
                                    .Name("finchrun_invariant_violations_total")
                                    .Help("Invariants that did not hold. Each one is a bug.")
                                    .Register(registry);
  Family<Counter>& commits = prometheus::BuildCounter()
                                 .Name("finchrun_commits_total")
                                 .Help("Transactions on the key-value store, by outcome.")
                                 .Register(registry);
  Family<Counter>& unrecorded_tasks = prometheus::BuildCounter()
                                          .Name("finchrun_unrecorded_tasks_total")
                                          .Help("Tasks on machines that no record names.")
                                          .Register(registry);
  Family<Gauge>& state_revision = prometheus::BuildGauge()
                                      .Name("finchrun_state_revision")
                                      .Help("Revision up to which the key-value store was read.")
                                      .Register(registry);
  Family<Gauge>& state_age = prometheus::BuildGauge()
                                 .Name("finchrun_state_age_seconds")
                                 .Help("Time since the newest answered read of the store was sent.")
                                 .Register(registry);
  Family<Gauge>& fencing_tokens = prometheus::BuildGauge()
                                      .Name("finchrun_fencing_token")
                                      .Help("Fencing token of a partition led by this process; 0: not led.")
                                      .Register(registry);
};

Metrics& metrics() {
  static Metrics all;
  return all;
}

}  // namespace

void count_exit(const char* proof) { metrics().exits.Add({{"proof", proof}}).Increment(); }
void count_start(const char* path) { metrics().starts.Add({{"path", path}}).Increment(); }
void count_refused_start(const char* reason) {
  metrics().refused_starts.Add({{"reason", reason}}).Increment();
}
void count_stop(const char* result) { metrics().stops.Add({{"result", result}}).Increment(); }
void count_refused_renewal(const char* reason) {
  metrics().refused_renewals.Add({{"reason", reason}}).Increment();
}
void count_violation(const char* invariant) {
  metrics().violations.Add({{"invariant", invariant}}).Increment();
}
void count_commit(const char* outcome) { metrics().commits.Add({{"outcome", outcome}}).Increment(); }
void count_unrecorded_task() { metrics().unrecorded_tasks.Add({}).Increment(); }

void set_state(std::uint64_t revision, double age_s) {
  metrics().state_revision.Add({}).Set(static_cast<double>(revision));
  metrics().state_age.Add({}).Set(age_s);
}

void set_fencing_token(const std::string& partition, std::uint64_t token) {
  metrics().fencing_tokens.Add({{"partition", partition}}).Set(static_cast<double>(token));
}

void set_cancellations(double lingering_tasks, double oldest_s, double known_age_s) {
  metrics().lingering_tasks.Add({}).Set(lingering_tasks);
  metrics().lingering_age.Add({}).Set(oldest_s);
  metrics().cancellations_age.Add({}).Set(known_age_s);
}

std::string render() { return prometheus::TextSerializer().Serialize(metrics().registry.Collect()); }

}  // namespace finchrun::metrics
