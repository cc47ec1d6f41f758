/** State of a host in the view of another host. */
export enum MemberState {
  Alive = 'alive',
  /** Probes were not answered; the host may still refute the suspicion. */
  Suspect = 'suspect',
  Dead = 'dead',
  /** The host announced that it left. */
  Left = 'left'
}
