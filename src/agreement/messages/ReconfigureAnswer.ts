import type { ReplicaRefusalReason } from '../ReplicaRefusalReason.js'
import type { ReplicaConfiguration } from '../ReplicaConfiguration.js'

/** Answer to a membership command. */
export interface ReconfigureAnswer {
  /** Whether the membership is now as commanded. If not, the command can be repeated. */
  done: boolean
  reason?: ReplicaRefusalReason
  /** Membership in force, as known to the answering replica. */
  configuration?: ReplicaConfiguration
}
