#ifndef HICKORYWOOD_BENCH_FIGURES_H_
#define HICKORYWOOD_BENCH_FIGURES_H_

// Measured figures: one line each, `figure NAME VALUE UNIT`, to standard output
// and a file.

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
  // The median of several runs, with NAME_min and NAME_max beside it.
  void AddRuns(const std::string& name, std::vector<double> runs,
               const std::string& unit);

 private:
  std::ofstream file_;
};

// The value below which `share` of the sorted-on-the-fly `values` lie.
double Percentile(std::vector<double> values, double share);

double MillisSince(std::chrono::steady_clock::time_point start);

// Processor seconds and resident megabytes of a process.
double CpuSeconds(pid_t pid);
double ResidentMegabytes(pid_t pid);
// Bytes that crossed the loopback device so far, headers included.
double LoopbackBytes();

// One part each.
void MeasureControl(figures& out);
void MeasureEntry(figures& out);
void MeasureRollout(figures& out);
void MeasureOverload(figures& out);
void MeasureStore(figures& out);
void MeasureQuarantine(figures& out);
void MeasureAnswers(figures& out);

}  // namespace hickorywood::bench

#endif  // HICKORYWOOD_BENCH_FIGURES_H_
