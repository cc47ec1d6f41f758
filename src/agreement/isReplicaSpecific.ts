import { ReplicaRefusalReason } from './ReplicaRefusalReason.js'

/** @returns whether the reason concerns only the replica that gave it, so that another one may accept the proposal */
export function isReplicaSpecific (reason: ReplicaRefusalReason | undefined): boolean {
  return reason === ReplicaRefusalReason.Empty || reason === ReplicaRefusalReason.Stopped || reason === ReplicaRefusalReason.NotLeader
}
