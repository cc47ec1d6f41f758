/**
 * Measures the time until an accepted sheet is in force on many hosts, and the load of the five replicas meanwhile.
 * All hosts run in this process, with delayed calls between them; all replicas receive the sheet at the same moment.
 *
 *     node build/__performance_tests__/agreement/spreadSheet.js --seed 1 --hosts 3200 --domains 44 --regions 18 --bytes 200000
 */
import { parseArgs } from 'node:util'
import { digestOf } from '../../src/agreement/sheets/digestOf.js'
import { SheetSpreader } from '../../src/agreement/spread/SheetSpreader.js'
import type { SpreadPeer } from '../../src/agreement/spread/SpreadPeer.js'
import { diskFiles } from '../../src/agreement/storage/diskFiles.js'
import { pause } from '../../src/utils/pause.js'
import { PeerCallError } from '../../src/errors/PeerCallError.js'
import { Counters } from '../../src/observe/Counters.js'
import type { Log } from '../../src/observe/Log.js'
import type { CallPeer } from '../../src/transport/CallPeer.js'
import type { PeerHandler } from '../../src/transport/PeerHandler.js'
import type { PeerMethod } from '../../src/types/PeerMethod.js'
import { createSeededRandom } from './support/LocalReplicas.js'
import { makeSheet } from './support/makeSheet.js'

const REPLICA_COUNT = 5
const SAME_REGION_DELAY_MILLISECONDS = 0.5
const REGION_DELAY_MILLISECONDS = 55
const WARM_UP_MILLISECONDS = 4_000
const IDLE_MILLISECONDS = 5_000
const TIMEOUT_MILLISECONDS = 60_000
const POLL_MILLISECONDS = 5
const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} }

/** One host, with the answers it has sent since the last reading and the time at which the sheet came into force, or 0. */
interface Host { number: number, spreader: SheetSpreader, handlers: Map<PeerMethod, PeerHandler<object, unknown>>, answers: number, answeredBytes: number, inForceAt: number }

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    hosts: { type: 'string', default: '3200' },
    domains: { type: 'string', default: '44' },
    regions: { type: 'string', default: '18' },
    bytes: { type: 'string', default: '200000' }
  }
})
const hostCount = Number(values.hosts)
const domains = Number(values.domains)
const regions = Number(values.regions)
const random = createSeededRandom(Number(values.seed))
const peers: SpreadPeer[] = Array.from({ length: hostCount }, (_, number) => ({ name: `host-${number}`, address: `127.0.0.1:${number}`, sheetNumber: 0 }))
const peersByDomain = Array.from({ length: domains }, (_, domain) => peers.filter((_, number) => number % domains === domain))
const hosts: Host[] = []

/** Three delegates of each failure domain, as the membership view of a host lists them. */
const delegates = peersByDomain.map((members) => members.slice(0, 3))

function createCallPeer (from: number): CallPeer {
  return async <Result>(address: string, method: PeerMethod, parameters: object, timeoutMilliseconds: number) => {
    const to = hosts[Number(address.split(':')[1])]
    const handler = to?.handlers.get(method)
    if (to === undefined || handler === undefined) throw new PeerCallError('no such host', address, false)
    const answer = exchange(from, to, handler, parameters)
    return await Promise.race([answer, rejectAfter(address, timeoutMilliseconds)]) as Result
  }
}

async function exchange (from: number, to: Host, handler: PeerHandler<object, unknown>, parameters: object): Promise<unknown> {
  await pause(getDelayMilliseconds(from, to.number))
  const answer = await handler(parameters)
  to.answers += 1
  to.answeredBytes += JSON.stringify(answer).length
  await pause(getDelayMilliseconds(from, to.number))
  return answer
}

function getDelayMilliseconds (from: number, to: number): number {
  return from % domains % regions === to % domains % regions ? SAME_REGION_DELAY_MILLISECONDS : REGION_DELAY_MILLISECONDS
}

async function rejectAfter (address: string, milliseconds: number): Promise<never> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds).unref() })
  throw new PeerCallError('timeout', address, false)
}

function startHost (number: number): Promise<unknown> {
  const { name, address } = peers[number] as SpreadPeer
  const domain = number % domains
  const handlers: Host['handlers'] = new Map()
  const domainPeers = (peersByDomain[domain] as SpreadPeer[]).filter((peer) => peer.name !== name)
  const otherPeers = delegates.flatMap((members, other) => other === domain ? [] : members)
  const spreader = new SheetSpreader({
    identity: { name, domain: `domain-${domain}`, region: `region-${domain % regions}`, peerAddress: address, guestAddress: '' },
    callPeer: createCallPeer(number),
    registerHandler: (method, handler) => { handlers.set(method, handler as PeerHandler<object, unknown>) },
    replicaAddresses: () => Array.from({ length: REPLICA_COUNT }, (_, replica) => `127.0.0.1:${(replica + domain) % REPLICA_COUNT}`),
    domainPeers: () => domainPeers,
    otherPeers: () => otherPeers,
    files: diskFiles,
    random,
    log: silentLog,
    counters: new Counters()
  })
  const host = { number, spreader, handlers, answers: 0, answeredBytes: 0, inForceAt: 0 }
  spreader.onSheet(() => { host.inForceAt = performance.now() })
  hosts[number] = host
  return spreader.start()
}

/**
 * Reads the load of the replicas, and resets the counts of all hosts.
 *
 * @param milliseconds - time since the last reading
 */
function takeReplicaLoad (milliseconds: number): object {
  const replicas = hosts.slice(0, REPLICA_COUNT)
  const seconds = milliseconds / 1_000
  const load = {
    answersPerSecondMost: Math.round(Math.max(...replicas.map(({ answers }) => answers)) / seconds),
    kilobytesPerSecondMost: Math.round(Math.max(...replicas.map(({ answeredBytes }) => answeredBytes)) / seconds / 1_000),
    kilobytesPerHostMean: Math.round(hosts.reduce((total, { answeredBytes }) => total + answeredBytes, 0) / hostCount / 1_000)
  }
  for (const host of hosts) Object.assign(host, { answers: 0, answeredBytes: 0 })
  return load
}

await Promise.all(peers.map((_, number) => startHost(number)))
await pause(WARM_UP_MILLISECONDS)
takeReplicaLoad(1)
const processorUsageBefore = process.cpuUsage()
await pause(IDLE_MILLISECONDS)
const idleProcessorUsage = process.cpuUsage(processorUsageBefore)
const idle = takeReplicaLoad(IDLE_MILLISECONDS)
const content = makeSheet(random, Number(values.bytes))
const startedAt = performance.now()
const sheet = { number: 1, revision: 1, digest: digestOf(content), acceptedAt: Date.now(), content }
for (const { spreader } of hosts.slice(0, REPLICA_COUNT)) spreader.offer(sheet)
while (hosts.some(({ inForceAt }) => inForceAt === 0) && performance.now() - startedAt < TIMEOUT_MILLISECONDS) await pause(POLL_MILLISECONDS)
const inForceTimes = hosts.map(({ inForceAt }) => inForceAt - startedAt).sort((left, right) => left - right)
const spreading = takeReplicaLoad(performance.now() - startedAt)
console.log(JSON.stringify({
  seed: Number(values.seed),
  hosts: hostCount,
  domains,
  regions,
  sheetBytes: Number(values.bytes),
  halfMilliseconds: Math.round(inForceTimes[hostCount >> 1] ?? 0),
  allMilliseconds: Math.round(inForceTimes.at(-1) ?? 0),
  idle,
  idleProcessorMillisecondsPerHostAndSecond: (idleProcessorUsage.user + idleProcessorUsage.system) / 1_000 / hostCount / (IDLE_MILLISECONDS / 1_000),
  spreading
}))
process.exit(0)
