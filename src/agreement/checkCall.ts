import { ReplicaRefusedError } from '../errors/ReplicaRefusedError.js'
import { errorTexts } from '../errors/errorTexts.js'
import { Step } from '../types/Step.js'
import type { ReplicaCall } from './messages/ReplicaCall.js'
import type { ReplicaCore } from './ReplicaCore.js'
import { ReplicaCounter } from './ReplicaCounter.js'
import { ReplicaRole } from './ReplicaRole.js'

/**
 * Refuses a call that is addressed to another replica, or whose sender does not belong to the group.
 *
 * @param core - the replica that received the call
 * @param call - sender, receiver and group of the call
 * @throws {@link ReplicaRefusedError} when the replica is stopped, the receiver or group differs, or the sender is retired
 */
export function checkCall (core: ReplicaCore, call: ReplicaCall): void {
  core.requireRunning(call.sender)
  if (call.receiver !== core.identity) {
    refuse(core, call, ReplicaCounter.CallRefusedIdentity, errorTexts.replicaIdentityMismatch(call.receiver, core.identity))
  }
  if (core.group !== undefined && call.group !== core.group) {
    refuse(core, call, ReplicaCounter.CallRefusedGroup, errorTexts.replicaGroupMismatch())
  }
  if (core.configuration.retired.includes(call.sender)) {
    refuse(core, call, ReplicaCounter.CallRefusedRetired, errorTexts.replicaRetired(call.sender))
  }
}

/**
 * Refuses a call that only a member of a group may answer.
 *
 * @param core - the replica that received the call
 * @param call - sender of the call
 * @throws {@link ReplicaRefusedError} when the replica has not joined a group
 */
export function checkJoined (core: ReplicaCore, call: ReplicaCall): void {
  if (core.role === ReplicaRole.Empty) refuse(core, call, ReplicaCounter.CallRefusedEmpty, errorTexts.replicaWithoutGroup())
}

function refuse (core: ReplicaCore, call: ReplicaCall, counter: ReplicaCounter, message: string): never {
  core.options.counters.increment(counter)
  throw new ReplicaRefusedError(message, Step.PeerCall, call.sender)
}
