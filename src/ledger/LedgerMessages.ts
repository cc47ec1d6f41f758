import type { StoredAnswer } from './ClaimLedger.js'
import type { ClaimRecordCopy, HeldClaim } from './ClaimRecord.js'
import type { Epoch, EpochState, MemberIncarnation } from './Epoch.js'

/** Parameters of `PeerMethod.LedgerClaim`. */
export interface ClaimParameters extends HeldClaim {
  epoch: string
  key: string
  expiresAt: number
  runMilliseconds: number
}

/** Verdict of one member on a claim. */
export enum ClaimVerdict {
  Acknowledged = 'acknowledged',
  /** Another claim is held, and its time to run has not passed. */
  Running = 'running',
  /** Another claim is held, and its time to run has passed. */
  Overdue = 'overdue',
  /** The action was claimed by a quorum, and its answer is lost. */
  Unknown = 'unknown',
  Done = 'done',
  /** The epoch is sealed, and no claim of the key can have reached a quorum. */
  Unclaimed = 'unclaimed',
  Expired = 'expired',
  Full = 'full',
  /** The same claim was released before. */
  Withdrawn = 'withdrawn',
  /** The member has not yet read the claims from the others, as after a restart. */
  Recovering = 'recovering',
  /** The epoch is being sealed. */
  Sealing = 'sealing',
  /** The member holds nothing of the epoch. */
  NoEpoch = 'no-epoch'
}

/** Result of `PeerMethod.LedgerClaim`. */
export interface ClaimReply {
  verdict: ClaimVerdict
  /** Address of the member that replies. */
  member: string
  /** Known incarnations of all members, including the one that replies; empty without the epoch. */
  incarnations: MemberIncarnation[]
  /** Claims that are held on the key, or the one whose outcome is stored. */
  claims: HeldClaim[]
  answer?: StoredAnswer
}

/** Change of a claim that its claimant reports. */
export enum ClaimChange {
  Done = 'done',
  Unknown = 'unknown',
  Released = 'released'
}

/** Parameters of `PeerMethod.LedgerUpdate`. */
export interface UpdateParameters extends ClaimParameters {
  change: ClaimChange
  answer?: StoredAnswer
}

/** Result of `PeerMethod.LedgerUpdate`. */
export interface UpdateReply {
  stored: boolean
}

/** State of one epoch at one member. */
export interface EpochStatus {
  epoch: Epoch
  state: EpochState
}

/** Parameters of `PeerMethod.LedgerRead`. */
export interface StatusParameters {
  domain: string
}

/** Result of `PeerMethod.LedgerRead`. */
export interface MemberStatus extends MemberIncarnation {
  /** Whether the host is stopping and takes no part in new epochs. */
  isLeaving: boolean
  /** Id of the newest epoch that the host discarded, empty if none; ids of new epochs have to sort after it. */
  droppedThrough: string
  epochs: EpochStatus[]
}

/** Parameters of `PeerMethod.LedgerRecover` and `PeerMethod.LedgerSeal`: reads one page of an epoch's records. */
export interface PageParameters {
  epoch: string
  /** Address and incarnation of the member that reads. */
  reader: MemberIncarnation
  /** Sequence number after which to read; 0 for all. */
  after: number
}

/** Result of `PeerMethod.LedgerRecover` and `PeerMethod.LedgerSeal`. */
export interface PageReply {
  /** State of the epoch at the member; undefined when it holds nothing of the epoch. */
  state?: EpochState
  member: MemberIncarnation
  incarnations: MemberIncarnation[]
  records: ClaimRecordCopy[]
  /** Whether records remain after the last one of this page. */
  more: boolean
}

/** Parameters of `PeerMethod.LedgerOpen`. */
export interface OpenParameters {
  epoch: Epoch
}

/** Result of `PeerMethod.LedgerOpen`. */
export interface OpenReply {
  opened: boolean
}
