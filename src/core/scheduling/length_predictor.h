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

  // Adds one length in tokens; the weight of older samples decays.
  void Add(std::uint32_t tokens);

  // Weight of the lengths above `generated_tokens`, in units of the newest
  // sample.
  double WeightAbove(std::uint32_t generated_tokens) const;
  double weight() const { return weight_ / sample_weight_; }

  // Quantile `share` of the total lengths above `generated_tokens`. Requires a
  // positive WeightAbove(generated_tokens).
  double QuantileAbove(std::uint32_t generated_tokens, double share) const;

  // Mean of the total lengths above `generated_tokens`.
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
  // Weight of the next sample; its growth makes older samples decay.
  double sample_weight_ = 1.0;
  double weight_ = 0;
};

// Predicts output lengths, given the tokens generated so far, from recent
// lengths of the same workspace and service, else of the service, else from a
// fixed prior. Memory is bounded: the least recently recorded workspaces are
// evicted.
class LengthPredictor {
 public:
  explicit LengthPredictor(std::size_t max_workspaces = kMaxWorkspaces);

  void Record(const ServiceId& service, const WorkspaceId& workspace,
              std::uint32_t tokens);

  // Quantile `share` of the remaining tokens. A `max_output` above zero caps
  // the total length.
  double Remaining(const ServiceId& service, const WorkspaceId& workspace,
                   std::uint32_t generated_tokens, std::uint32_t max_output,
                   double share) const;

  // Mean total length of a new request.
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
