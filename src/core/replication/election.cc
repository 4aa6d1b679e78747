#include "core/replication/election.h"

#include "core/replication/quorum.h"

namespace coltsfootfork {
namespace {

// A learner campaigns this many minimum election timeouts later than a voter.
// It must campaign at all, since no voter can be elected where a learner alone
// has the latest entries.
constexpr int kLearnerDelayElectionTimeouts = 4;

}  // namespace

bool Election::Tick(Time now) {
  const ReplicaRole role = state_.role();
  Time campaign_time = state_.next_election_timeout;
  if (role == ReplicaRole::kLearner) {
    campaign_time +=
        kLearnerDelayElectionTimeouts * state_.options.min_election_timeout;
  }
  if (now < campaign_time) return false;
  const bool can_campaign =
      role == ReplicaRole::kLearner || role == ReplicaRole::kFollower ||
      role == ReplicaRole::kPreCandidate || role == ReplicaRole::kCandidate;
  if (!can_campaign) return false;
  StartPreVote(now);
  return TallyVotes(now);
}

void Election::StartPreVote(Time now) {
  state_.roles.Process(RoleEvent::kElectionTimeout);
  state_.leader.reset();
  state_.RestartElectionTimer(now);
  granted_by_ = {state_.self};
  RequestVotes({true, state_.hard.term + 1, state_.log.last_index(),
                state_.log.last_term()});
}

void Election::StartVote(Time now) {
  state_.roles.Process(RoleEvent::kPreVoteWon);
  state_.RestartElectionTimer(now);
  ++state_.hard.term;
  state_.hard.vote = state_.self;
  state_.StageHardState();
  own_vote_token_ = state_.outbox.Barrier();
  granted_by_.clear();
  RequestVotes({false, state_.hard.term, state_.log.last_index(),
                state_.log.last_term()});
}

void Election::RequestVotes(const VoteRequest& request) {
  for (const Member& member : state_.log.membership().members) {
    if (!member.IsVoter() || member.id == state_.self) continue;
    state_.SendSynced(member.id, request);
  }
}

void Election::OnVoteRequest(const ReplicaId& from, const VoteRequest& request,
                             bool has_leader_lease, Time now) {
  // Reject the request during contact with a leader, even for a later term: the
  // leader lease depends on this.
  const bool must_reject =
      has_leader_lease || state_.HasRecentLeaderContact(now);
  if (!request.pre_vote && !must_reject && request.term > state_.hard.term) {
    state_.StepDown(request.term, now);
  }
  const bool granted = !must_reject && CanGrantVote(from, request);
  if (granted && !request.pre_vote) {
    state_.hard.vote = from;
    state_.StageHardState();
    state_.RestartElectionTimer(now);
  }
  const Term term =
      granted && request.pre_vote ? request.term : state_.hard.term;
  state_.SendSynced(from, VoteReply{request.pre_vote, term, granted});
}

bool Election::CanGrantVote(const ReplicaId& from,
                            const VoteRequest& request) const {
  const ReplicaLog& log = state_.log;
  const bool is_up_to_date = request.last_term != log.last_term()
                                 ? request.last_term > log.last_term()
                                 : request.last_index >= log.last_index();
  if (!is_up_to_date) return false;
  if (request.pre_vote) return request.term > state_.hard.term;
  if (request.term != state_.hard.term) return false;
  return !state_.hard.vote || *state_.hard.vote == from;
}

bool Election::OnVoteReply(const ReplicaId& from, const VoteReply& reply,
                           Time now) {
  if (!reply.granted) {
    if (reply.term > state_.hard.term) state_.StepDown(reply.term, now);
    return false;
  }
  const ReplicaRole role = state_.role();
  const bool is_current =
      reply.pre_vote
          ? role == ReplicaRole::kPreCandidate &&
                reply.term == state_.hard.term + 1
          : role == ReplicaRole::kCandidate && reply.term == state_.hard.term;
  if (!is_current) return false;
  granted_by_.insert(from);
  return TallyVotes(now);
}

bool Election::OnPersisted(Time now) {
  if (state_.role() != ReplicaRole::kCandidate) return false;
  if (!state_.outbox.IsSynced(own_vote_token_)) return false;
  granted_by_.insert(state_.self);
  return TallyVotes(now);
}

bool Election::TallyVotes(Time now) {
  if (!HasQuorum()) return false;
  if (state_.role() == ReplicaRole::kPreCandidate) {
    StartVote(now);
    return false;
  }
  state_.roles.Process(RoleEvent::kVoteWon);
  return true;
}

bool Election::HasQuorum() const {
  return IsQuorum(state_.log.membership(), [&](const Member& member) {
    return granted_by_.count(member.id) != 0;
  });
}

}  // namespace coltsfootfork
