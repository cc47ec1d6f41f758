/** Reasons for which a replica does not execute a proposal or a membership command. */
export enum ReplicaRefusalReason {
  /** No leader is known. */
  NoLeader = 'no-leader',
  /** The leader gets no answers from a majority. */
  NoQuorum = 'no-quorum',
  /** The asked replica is not the leader, and the call was already forwarded; or the leader transfers its leadership. */
  NotLeader = 'not-leader',
  /** The replica has not joined a group. */
  Empty = 'empty',
  /** The replica is stopped. */
  Stopped = 'stopped',
  /** The leader lost its leadership before the entry was committed. */
  LeadershipLost = 'leadership-lost',
  /** A majority did not confirm the entry in time. */
  CommitTimeout = 'commit-timeout',
  /** The leader could not be reached, or its answer was lost. */
  LeaderUnreachable = 'leader-unreachable',
  /** The leader has too many proposals open. */
  Overloaded = 'overloaded',
  /** Another membership change, or the leader's first entry, is not committed yet. */
  ChangeInProgress = 'change-in-progress',
  /** The group has not had as many voters as it needs: too few disks would hold what it accepts. */
  GroupForming = 'group-forming',
  /** The learner has not caught up yet. */
  NotCaughtUp = 'not-caught-up',
  /** No member has that identity. */
  UnknownMember = 'unknown-member',
  /** The identity was removed and cannot join again. */
  Retired = 'retired',
  /** The replica at the address did not answer. */
  MemberUnreachable = 'member-unreachable',
  /** The replica at the address belongs to another group. */
  MemberOfOtherGroup = 'member-of-other-group',
  /** The replica at the address is the very member that is to be replaced. */
  AddressInUse = 'address-in-use',
  /** The change would leave the group without a voter. */
  LastVoter = 'last-voter'
}
