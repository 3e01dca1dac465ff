#pragma once

#include "DetectionTrial.h"

#include <string>
#include <string_view>
#include <vector>

namespace filbertbeam {

// Summary of one detection method over many runs.
class DetectionSummary
{
public:
  void Add(const DetectionTrial::Detection& aDetection);

  int Runs() const { return runs_; }
  int FalseEjections() const { return falseEjections_; }
  double ShareDetectedWithin(double aSeconds) const;
  // Returns a quantile of the detection time in seconds over all runs. Runs
  // without a detection count as infinite, which is returned as a negative
  // number.
  double Quantile(double aShare) const;
  double MeanFailed() const;
  double MeanSlowed() const;

private:
  int runs_ = 0;
  int falseEjections_ = 0;
  double failed_ = 0;
  double slowed_ = 0;
  std::vector<double> seconds_;
};

// One row of the table: the results of a shard with one load and one fault.
struct TrialRow
{
  std::string deployment;
  std::string service;
  DetectionTrial::Setup setup;
  double serverDays = 0;
  double affected = 0;
  DetectionSummary schedulerDetection;
  DetectionSummary baseline;
};

std::string
FormatCsv(const std::vector<TrialRow>& aRows);

std::string
FormatTable(const std::vector<TrialRow>& aRows);

} // namespace filbertbeam
