#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// A decaying histogram of output lengths.
class LengthHistogram {
 public:
  LengthHistogram();

  // Counts one length in tokens and lets the older ones fade.
  void Add(std::uint32_t tokens);

  // The weight of lengths above `made`, in recent requests.
  double WeightAbove(std::uint32_t generated_tokens) const;
  double weight() const { return weight_ / sample_weight_; }

  // The whole length below which the given share of the lengths above `made`
  // lie. Only when WeightAbove(made) is above zero.
  double QuantileAbove(std::uint32_t generated_tokens, double share) const;

  // The mean whole length of those above `made`.
  double MeanAbove(std::uint32_t generated_tokens) const;

 private:
  using Axis =
      boost::histogram::axis::regular<float,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>,
                                  boost::histogram::dense_storage<float>>;

  double WeightOfBinAbove(int bin, double generated_tokens) const;
  void Rescale();

  Histogram histogram_;
  // The weight of the next sample: growing it fades the older ones.
  double sample_weight_ = 1.0;
  double weight_ = 0;
};

// Predicts output lengths from what the same workspace, else the same service,
// else any service made lately, given the tokens made so far. Memory is
// bounded: the workspaces not seen for the longest time are dropped.
class LengthPredictor {
 public:
  explicit LengthPredictor(std::size_t max_workspaces = kMaxWorkspaces);

  void Record(const ServiceId& service, const WorkspaceId& workspace,
              std::uint32_t tokens);

  // The remaining tokens that are not exceeded with the given share. A
  // `max_output` above zero caps the whole length.
  double Remaining(const ServiceId& service, const WorkspaceId& workspace,
                   std::uint32_t generated_tokens, std::uint32_t max_output,
                   double share) const;

  // The mean whole length of a new request.
  double MeanLength(const ServiceId& service, const WorkspaceId& workspace,
                    std::uint32_t max_output) const;

  std::size_t workspaces() const { return by_workspace_.size(); }

  static constexpr std::size_t kMaxWorkspaces = 2048;

 private:
  struct Key {
    ServiceId service;
    WorkspaceId workspace;

    friend bool operator==(const Key& a, const Key& b) {
      return a.service == b.service && a.workspace == b.workspace;
    }
  };
  struct KeyHash {
    std::size_t operator()(const Key& key) const noexcept;
  };
  struct Entry {
    LengthHistogram lengths;
    std::list<Key>::iterator lru_position;
  };

  const LengthHistogram* ChooseHistogram(const ServiceId& service,
                                         const WorkspaceId& workspace,
                                         std::uint32_t generated_tokens) const;
  LengthHistogram& HistogramFor(const Key& key);

  std::size_t max_workspaces_;
  std::unordered_map<Key, Entry, KeyHash> by_workspace_;
  // Least recently recorded first.
  std::list<Key> lru_;
  std::unordered_map<ServiceId, LengthHistogram> by_service_;
};

}  // namespace coltsfootfork
