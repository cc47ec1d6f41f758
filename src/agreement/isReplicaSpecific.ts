import { ReplicaRefusalReason } from './ReplicaRefusalReason.js'

/** Tells reasons that concern only the replica that gave them: another one may take the proposal. */
export function isReplicaSpecific (reason: ReplicaRefusalReason | undefined): boolean {
  return reason === ReplicaRefusalReason.Empty || reason === ReplicaRefusalReason.Stopped || reason === ReplicaRefusalReason.NotLeader
}
