#ifndef HICKORYWOOD_BENCH_FIGURES_H_
#define HICKORYWOOD_BENCH_FIGURES_H_

// Writes measured figures, one line `figure NAME VALUE UNIT` each, to standard
// output and to a file.

#include <sys/types.h>

#include <chrono>
#include <fstream>
#include <string>
#include <vector>

namespace hickorywood::bench {

class figures {
 public:
  explicit figures(const std::string& file);

  void Add(const std::string& name, double value, const std::string& unit);
  // Adds the median of several runs, and the minimum and maximum as NAME_min
  // and NAME_max.
  void AddRuns(const std::string& name, std::vector<double> runs,
               const std::string& unit);

 private:
  std::ofstream file_;
};

// Returns the quantile `share` of `values`.
double Percentile(std::vector<double> values, double share);

double MillisSince(std::chrono::steady_clock::time_point start);

// CPU seconds and resident megabytes of a process.
double CpuSeconds(pid_t pid);
double ResidentMegabytes(pid_t pid);
// Number of bytes sent over the loopback device since boot, including headers.
double LoopbackBytes();

// Each function measures one part.
void MeasureControl(figures& out);
void MeasureDecisions(figures& out);
void MeasureFleet(figures& out);
void MeasureEntry(figures& out);
void MeasureRollout(figures& out);
void MeasureOverload(figures& out);
void MeasureStore(figures& out);
void MeasureQuarantine(figures& out);
void MeasureAnswers(figures& out);

}  // namespace hickorywood::bench

#endif  // HICKORYWOOD_BENCH_FIGURES_H_
