// Sends the same arrivals directly to the upstreams, through routers without a policy, and through the daemons.
// Afterwards it drains an upstream and then a place under a light load, and reports the duration of each drain.
// node build/__performance_tests__/load/main.js [--seed N] [--for SECONDS] [--utilization SHARE] [--shape constant|exponential] [--forwarders]
// [--work MILLISECONDS] [--own-only] [--json FILE]
// A longer work time needs fewer requests per second for the same utilization, which suits a busy machine.
// Hosts connect to each other directly. With --forwarders their traffic passes through this process, as in scenarios:
// each hop then takes two more turns of the event loop of this process, which also sends the load.
import { writeFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { formatLatency, formatLoadText } from '../../src/cli/load/formatLoadText.js'
import { DrainTarget } from '../../src/cli/load/DrainTarget.js'
import { HostWatch } from '../../src/cli/load/HostWatch.js'
import type { LatencySummary } from '../../src/cli/load/LatencySummary.js'
import type { LoadPlan } from '../../src/cli/load/LoadPlan.js'
import type { LoadStream } from '../../src/cli/load/LoadStream.js'
import type { ScheduleEntry } from '../../src/cli/load/ScheduleEntry.js'
import type { LoadSummary } from '../../src/cli/load/LoadSummary.js'
import { LoadTally } from '../../src/cli/load/LoadTally.js'
import { runLoad } from '../../src/cli/load/runLoad.js'
import { RequestClass } from '../../src/types/RequestClass.js'
import { RunEvent } from '../../__tests__/standins/RunEvent.js'
import { BenchWorld } from './BenchWorld.js'
import { computeIdealLatencies } from './computeIdealLatencies.js'
import { readProcessorSeconds } from './readProcessorSeconds.js'

const WARM_UP_SECONDS = 4
const SETTLE_MILLISECONDS = 1000
const LIGHT_UTILIZATION = 0.1
const DRAIN_UTILIZATION = 0.2
const ROUTER_COUNT = 4
const HIBISCUSRELAY_WAY = 'hibiscusrelay'
const DRAINED_PLACE = 'santander'
const SLOTS_BY_SERVICE = { inventario: 28, reservas: 12 }

/** Figures of one way to send requests: directly, through routers or through the daemons. */
interface WayFigures {
  way: string
  load: LoadSummary
  slotsExceeded: number
  /** Processor time of all hosts together during the run. */
  hostProcessorSeconds: number
}

/** Figures of all ways at one utilization. */
interface UtilizationFigures {
  utilization: number
  ways: WayFigures[]
  /** Latencies of one ideal queue, by service. */
  ideal: Record<string, LatencySummary>
}

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    for: { type: 'string', default: '15' },
    utilization: { type: 'string', default: '0.7' },
    shape: { type: 'string', default: 'exponential' },
    forwarders: { type: 'boolean', default: false },
    work: { type: 'string', default: '20' },
    'own-only': { type: 'boolean', default: false },
    json: { type: 'string' }
  }
})
const workMilliseconds = Number(values.work)

const topology = `
seed 1
domain oviedo asturias
domain santander cantabria
host h1 oviedo disk
host h2 oviedo
host h3 santander disk
host h4 santander disk
service inventario idempotent
service reservas one-time
upstream inventario oviedo count=2 slots=7 work=${workMilliseconds} shape=${values.shape}
upstream inventario santander count=2 slots=7 work=${workMilliseconds} shape=${values.shape}
upstream reservas oviedo count=2 slots=3 work=${workMilliseconds} shape=${values.shape}
upstream reservas santander count=2 slots=3 work=${workMilliseconds} shape=${values.shape}
${values.forwarders ? '' : 'connect-directly'}
start
submit 1 link=4000
expect sheet = 1 within 20s
expect granted = 8 within 20s
wait 3s
`

const bench = await BenchWorld.create(topology)
process.once('SIGINT', () => { bench.close().finally(() => process.exit(1)) })
try {
  const targets: Array<[string, string[]]> = [
    ['straight to random upstreams', await bench.startRouters(1, true)],
    ['routers without a policy', await bench.startRouters(ROUTER_COUNT, false)],
    [HIBISCUSRELAY_WAY, [...bench.world.hosts.values()].map((host) => host.guestAddress)]
  ]
  const figures: UtilizationFigures[] = []
  for (const utilization of new Set([LIGHT_UTILIZATION, Number(values.utilization)])) figures.push(await measureUtilization(targets, utilization))
  const drains = await measureDrains()
  if (values.json !== undefined) writeFileSync(values.json, `${JSON.stringify({ seed: Number(values.seed), durationSeconds: Number(values.for), figures, drains }, null, 2)}\n`)
} finally {
  await bench.close()
}

async function measureUtilization (targets: Array<[string, string[]]>, utilization: number): Promise<UtilizationFigures> {
  const streams = composeStreams(utilization)
  const seed = Number(values.seed)
  const durationSeconds = Number(values.for)
  const ideal = Object.fromEntries(streams.map((stream, index): [string, LatencySummary] => {
    const slots = SLOTS_BY_SERVICE[stream.service as keyof typeof SLOTS_BY_SERVICE]
    return [stream.service, computeIdealLatencies(stream, seed * 1000 + index, durationSeconds, slots, workMilliseconds)]
  }))
  console.log(`\n== ${utilization * 100}% of the slots busy, seed ${seed}`)
  for (const [service, latency] of Object.entries(ideal)) console.log(`one ideal queue, ${service}: ${formatLatency(latency)}`)
  const ways: WayFigures[] = []
  for (const [way, entryAddresses] of targets.filter(([way]) => !values['own-only'] || way === HIBISCUSRELAY_WAY)) {
    await sendLoad({ entryAddresses, place: undefined, streams, durationSeconds: WARM_UP_SECONDS, seed: seed + 1, schedule: [] })
    await sleep(SETTLE_MILLISECONDS)
    ways.push(await measureWay(way, { entryAddresses, place: undefined, streams, durationSeconds, seed, schedule: [] }))
  }
  return { utilization, ways, ideal }
}

async function measureWay (way: string, plan: LoadPlan): Promise<WayFigures> {
  const slotsExceededBefore = countSlotsExceeded()
  const processorSecondsBefore = sumProcessorSeconds()
  const load = way === HIBISCUSRELAY_WAY ? await sendLoadAndWatchHosts(plan) : await sendLoad(plan)
  const hostProcessorSeconds = sumProcessorSeconds() - processorSecondsBefore
  const slotsExceeded = countSlotsExceeded() - slotsExceededBefore
  const requests = load.streams.reduce((sum, stream) => sum + stream.requests, 0)
  console.log(`\n-- ${way}`)
  console.log(formatLoadText(load))
  console.log(`slots exceeded ${slotsExceeded}; hosts used ${hostProcessorSeconds.toFixed(2)} processor seconds, ${(requests / hostProcessorSeconds).toFixed(0)} requests per processor second`)
  return { way, load, slotsExceeded, hostProcessorSeconds }
}

async function sendLoad (plan: LoadPlan): Promise<LoadSummary> {
  const tally = new LoadTally(plan)
  await runLoad(plan, (record) => { tally.add(record) })
  return tally.summarize()
}

async function sendLoadAndWatchHosts (plan: LoadPlan): Promise<LoadSummary> {
  const watch = new HostWatch(bench.createOperatorClients(), plan.schedule)
  const load = await sendLoad(plan)
  return { ...load, ...await watch.stop() }
}

async function measureDrains (): Promise<LoadSummary> {
  const durationSeconds = Number(values.for)
  const upstream = [...bench.world.upstreams.values()].find(({ domain }) => domain === DRAINED_PLACE)?.settings.address ?? ''
  const schedule: ScheduleEntry[] = [
    { atSeconds: durationSeconds / 4, drain: { target: DrainTarget.Upstream, name: upstream }, note: `drain ${upstream}` },
    { atSeconds: durationSeconds / 2, drain: { target: DrainTarget.Place, name: DRAINED_PLACE }, note: `drain ${DRAINED_PLACE}` }
  ]
  const entryAddresses = [...bench.world.hosts.values()].map((host) => host.guestAddress)
  const load = await sendLoadAndWatchHosts({ entryAddresses, place: undefined, streams: composeStreams(DRAIN_UTILIZATION), durationSeconds, seed: Number(values.seed), schedule })
  console.log(`\n== drains at ${DRAIN_UTILIZATION * 100}% of the slots busy, seed ${values.seed}\n${formatLoadText(load)}`)
  return load
}

function composeStreams (utilization: number): LoadStream[] {
  const createStream = (service: keyof typeof SLOTS_BY_SERVICE, requestClass: RequestClass): LoadStream => ({
    service,
    requestClass,
    requestsPerSecond: SLOTS_BY_SERVICE[service] * utilization * 1000 / workMilliseconds,
    maximumRequests: Infinity,
    path: 'load',
    deadlineMilliseconds: 2000,
    bodyBytes: 200,
    resends: 0,
    resendWithinMilliseconds: 0
  })
  return [createStream('inventario', RequestClass.Idempotent), createStream('reservas', RequestClass.OneTime)]
}

function countSlotsExceeded (): number {
  return bench.world.readRunLines().filter((line) => line.event === RunEvent.SlotsExceeded).length
}

function sumProcessorSeconds (): number {
  return bench.listHostProcessIds().reduce((sum, pid) => sum + readProcessorSeconds(pid), 0)
}
