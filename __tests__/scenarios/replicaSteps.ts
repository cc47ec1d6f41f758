import { waitUntil } from '../standins/waitUntil.js'
import type { OperatorReply } from './callOperator.js'
import { readWord, type StepRunner } from './StepRunner.js'
import type { World } from './World.js'

const REPLICA_TIMEOUT_MILLISECONDS = 20_000

interface ReplicaStatus {
  identity: string
  hasQuorum: boolean
  hearsLeader: boolean
  configuration: { members: Array<{ identity: string, address: string, role: string }> }
}

/**
 * Bootstraps the replica group of the hosts with disks, as an operator does once after the first start, and waits until all
 * are in contact with a leader.
 */
export async function bootstrapReplicas (world: World): Promise<void> {
  const replicas = [...world.hosts.values()].filter((host) => host.hasDisk)
  const first = replicas[0]
  if (first === undefined) return
  let reply: OperatorReply | undefined
  const isBootstrapped = await waitUntil(async () => {
    reply = await world.callOperator(first, 'POST', '/v1/replica/bootstrap')
    return reply.status === 200
  }, REPLICA_TIMEOUT_MILLISECONDS)
  if (!isBootstrapped) throw new Error(`bootstrap failed: ${JSON.stringify(reply?.body)}`)
  const haveLeader = async (): Promise<boolean> => {
    const statuses = await Promise.all(replicas.map(async (host) => (await world.callOperator(host, 'GET', '/v1/replica')).body as ReplicaStatus))
    return statuses.every((status) => status.hearsLeader)
  }
  if (!await waitUntil(haveLeader, REPLICA_TIMEOUT_MILLISECONDS)) throw new Error('the replicas elected no leader')
}

/** `replace HOST at=OTHER`: replaces the replica of a host that lost its data folder by the host's new replica, through the operator interface of OTHER. */
export const replaceReplica: StepRunner = async (world, step) => {
  const lostHost = world.selectHosts(readWord(step, 0))[0]
  const operatorHost = world.selectHosts(step.options.get('at') ?? '')[0]
  if (lostHost === undefined || operatorHost === undefined) throw new Error(`line ${step.line}: no such host`)
  const status = (await world.callOperator(operatorHost, 'GET', '/v1/replica')).body as ReplicaStatus
  const member = status.configuration.members.find((each) => each.address === lostHost.peerAddress)
  let reply: OperatorReply | undefined
  const isReplaced = await waitUntil(async () => {
    reply = await world.callOperator(operatorHost, 'POST', `/v1/replica/replace?lost=${member?.identity ?? ''}&address=${lostHost.peerAddress}`)
    return reply.status === 200
  }, REPLICA_TIMEOUT_MILLISECONDS)
  world.notes.push(`replace ${lostHost.name} at ${operatorHost.name}: ${reply?.status ?? 0} ${JSON.stringify(reply?.body)}`)
  if (!isReplaced) throw new Error(`line ${step.line}: replace failed: ${JSON.stringify(reply?.body)}`)
}

/** `find-leader LEADER [FOLLOWER …]`: assigns the first alias to the leader's host, and the others to hosts of other replicas. */
export const findLeader: StepRunner = async (world, step) => {
  const isFound = await waitUntil(async () => {
    const replicas = [...world.hosts.values()].filter((host) => host.hasDisk && host.process.isRunning)
    const statuses = await Promise.all(replicas.map(async (host) => (await world.callOperator(host, 'GET', '/v1/replica')).body as ReplicaStatus))
    const leader = replicas.find((_, index) => statuses[index]?.hasQuorum === true)
    if (leader === undefined) return false
    const followers = replicas.filter((host) => host !== leader)
    for (const [index, host] of [leader, ...followers].entries()) {
      const name = step.words[index]
      if (name !== undefined) world.aliases.set(name, host.name)
    }
    return true
  }, REPLICA_TIMEOUT_MILLISECONDS)
  if (!isFound) throw new Error(`line ${step.line}: no replica is the leader`)
  world.notes.push([...world.aliases].map(([name, host]) => `${name} is ${host}`).join(', '))
}
