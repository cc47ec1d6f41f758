/**
 * Measures accepted sheets with daemon processes on loopback: the commit latency, the time until a sheet is in force on all
 * eight hosts, elections after a killed and a stopped leader, and the catching up of a host that was down.
 *
 *     node build/__performance_tests__/agreement/daemons.js --seed 1 --changes 50 --rows 0 --elections 3 --missed 50,500
 */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { loadavg } from 'node:os'
import { parseArgs } from 'node:util'
import { composeSheet } from '../../__tests__/scenarios/composeSheet.js'
import type { ScenarioHost } from '../../__tests__/scenarios/ScenarioHost.js'
import { parseScenario } from '../../__tests__/scenarios/parseScenario.js'
import { runStep } from '../../__tests__/scenarios/runScenario.js'
import { waitUntil } from '../../__tests__/standins/waitUntil.js'
import { BenchWorld } from '../load/BenchWorld.js'
import { readProcessorSeconds } from '../load/readProcessorSeconds.js'

const MILLISECONDS_PER_SECOND = 1_000
const TIMEOUT_MILLISECONDS = 30_000
const SETTLE_MILLISECONDS = 300
const TOPOLOGY = `
domain oviedo asturias
domain santander cantabria
domain bilbao euskadi
host h1 oviedo disk
host h2 oviedo disk
host h3 oviedo
host h4 santander disk
host h5 santander disk
host h6 santander
host h7 bilbao disk
host h8 bilbao
service inventario idempotent
start
expect alive = 8 within 20s
`

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    changes: { type: 'string', default: '50' },
    rows: { type: 'string', default: '0' },
    elections: { type: 'string', default: '3' },
    missed: { type: 'string', default: '50,500' }
  }
})

/** One accepted sheet, with the time from its submission to the reply. */
interface Change { number: number, submittedAt: number, milliseconds: number }

const bench = await BenchWorld.create(`seed ${values.seed}${TOPOLOGY}`)
const { world } = bench
let lastSheetNumber = 0

async function runScenarioSteps (text: string): Promise<void> {
  for (const step of parseScenario(text)) {
    const failure = await runStep(world, step)
    if (failure !== undefined) throw new Error(failure)
  }
}

async function submitSheet (host: ScenarioHost): Promise<Change> {
  const number = ++lastSheetNumber
  const rows = Array.from({ length: Number(values.rows) }, (_, index) => `guests,,,20.${index >> 8 & 255}.${index & 255}.0/24,oviedo,,,,,,\n`)
  const content = composeSheet({ ...world.sheet, number }) + rows.join('')
  const submittedAt = Date.now()
  const startedAt = performance.now()
  const reply = await world.callOperator(host, 'POST', '/v1/sheets', content)
  if (reply.status !== 200) throw new Error(`sheet ${number}: ${reply.status} ${JSON.stringify(reply.body)}`)
  return { number, submittedAt, milliseconds: performance.now() - startedAt }
}

/** @returns time at which a sheet came into force at a host, from its log; undefined if it is not in force yet */
function findInForceAt (host: ScenarioHost, number: number): number | undefined {
  const line = readFileSync(join(host.folder, 'output.log'), 'utf8').split('\n').findLast((logLine) => logLine.includes(`event=sheet-in-force step=spread number=${number} `))
  return line === undefined ? undefined : Date.parse(/time=(\S+)/.exec(line)?.[1] ?? '')
}

/** @returns milliseconds from a time until the sheet is in force on all running hosts */
async function measureTimeToInForce (number: number, since: number): Promise<number> {
  const hosts = [...world.hosts.values()].filter((host) => host.process.isRunning)
  if (!await waitUntil(() => hosts.every((host) => findInForceAt(host, number) !== undefined), TIMEOUT_MILLISECONDS)) throw new Error(`sheet ${number} is not in force on all running hosts`)
  return Math.max(...hosts.map((host) => findInForceAt(host, number) ?? 0)) - since
}

function summarize (figures: number[]): object {
  const sorted = figures.map(Math.round).sort((left, right) => left - right)
  const getPercentile = (fraction: number): number | undefined => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))]
  return { count: sorted.length, p50: getPercentile(0.5), p99: getPercentile(0.99), maximum: sorted.at(-1) }
}

function report (what: string, figures: object): void {
  console.log(JSON.stringify({ what, seed: Number(values.seed), rows: Number(values.rows), load: loadavg()[0]?.toFixed(1), ...figures }))
}

/** @returns processor time of all running hosts together, in seconds */
function sumProcessorSeconds (): number {
  const runningHosts = [...world.hosts.values()].filter((host) => host.process.isRunning)
  return runningHosts.reduce((total, { process }) => total + (process.pid === undefined ? 0 : readProcessorSeconds(process.pid)), 0)
}

function findHost (name: string): ScenarioHost {
  return world.selectHosts(name)[0]!
}

async function measureCommits (): Promise<void> {
  const latencies: number[] = []
  const inForceTimes: number[] = []
  for (let index = 0; index < Number(values.changes); index += 1) {
    const { number, submittedAt, milliseconds } = await submitSheet(findHost(`h${index % 8 + 1}`))
    latencies.push(milliseconds)
    inForceTimes.push(await measureTimeToInForce(number, submittedAt))
  }
  report('commit latency, ms', summarize(latencies))
  report('submission to in force on all hosts, ms', summarize(inForceTimes))
}

/** Kills or stops the leader, and measures the time until a submission through a follower is accepted. */
async function measureElections (verb: 'kill' | 'stop'): Promise<void> {
  const submissionTimes: number[] = []
  for (let index = 0; index < Number(values.elections); index += 1) {
    await runScenarioSteps('find-leader leader follower')
    await runScenarioSteps(`${verb} leader`)
    if (verb === 'stop') await waitUntil(() => readFileSync(join(findHost('leader').folder, 'output.log'), 'utf8').includes('handed-over'), TIMEOUT_MILLISECONDS)
    submissionTimes.push((await submitSheet(findHost('follower'))).milliseconds)
    await runScenarioSteps('restart leader')
    await runScenarioSteps(`expect sheet = ${lastSheetNumber} within 30s`)
  }
  report(`submission through a follower just after ${verb} of the leader, ms`, summarize(submissionTimes))
}

async function measureCatchUp (missed: number): Promise<void> {
  await runScenarioSteps('kill h5')
  await runScenarioSteps(`wait ${SETTLE_MILLISECONDS}ms`)
  const processorSecondsBefore = sumProcessorSeconds()
  const startedAt = performance.now()
  for (let index = 0; index < missed; index += 1) await submitSheet(findHost('h1'))
  const millisecondsPerChange = (performance.now() - startedAt) / missed
  const processorMillisecondsPerChange = (sumProcessorSeconds() - processorSecondsBefore) * MILLISECONDS_PER_SECOND / missed
  const restartedAt = Date.now()
  await runScenarioSteps('restart h5')
  if (!await waitUntil(() => findInForceAt(findHost('h5'), lastSheetNumber) !== undefined, TIMEOUT_MILLISECONDS)) throw new Error('h5 did not catch up')
  report('from the start of the process to the newest sheet in force', { missed, milliseconds: (findInForceAt(findHost('h5'), lastSheetNumber) ?? 0) - restartedAt, perChangeMilliseconds: Math.round(millisecondsPerChange), hostsProcessorMillisecondsPerChange: Math.round(processorMillisecondsPerChange) })
}

try {
  await submitSheet(findHost('h1'))
  await measureCommits()
  for (const missed of values.missed.split(',').filter((text) => text !== '')) await measureCatchUp(Number(missed))
  for (const verb of ['kill', 'stop'] as const) await measureElections(verb)
} finally {
  await bench.close()
}
