/** Commands that change the membership of the replica group. */
export enum ReconfigureAction {
  /** Makes an empty replica adopt the first state of a group. */
  AdoptGroup = 'adopt-group',
  /** Adds the replica at an address as a learner. */
  AddLearner = 'add-learner',
  /** Makes a caught-up learner a voter. */
  Promote = 'promote',
  /** Removes a member permanently. */
  Remove = 'remove',
  /** Replaces a lost member by the replica at an address. */
  Replace = 'replace',
  /** Lets a group that was forming accept values. */
  CompleteFormation = 'complete-formation'
}
