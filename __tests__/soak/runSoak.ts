import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { reserveNetwork } from '../scenarios/reserveNetwork.js'
import { checkRecord } from './checks/checkRecord.js'
import { ANNOUNCE_MILLISECONDS, CONTACT_MILLISECONDS, findAcknowledgement, PlanHistory } from './checks/PlanHistory.js'
import { Draw } from './Draw.js'
import { drawFirstStep, drawLastStep, drawStep } from './drawFaults.js'
import { SERVICES } from './drawPlan.js'
import { FaultRunner } from './FaultRunner.js'
import { LoadMeter } from './LoadMeter.js'
import { listSound } from './checks/checkSound.js'
import { createRawUpstreams } from './raw/createRawUpstreams.js'
import { drawRawStep } from './raw/drawRawStep.js'
import { RawGuests } from './raw/RawGuests.js'
import { addRawRoutes, addSoundRoute, listPlainRoutes, SOUND_SERVICE } from './raw/rawRoutes.js'
import { summarizeAnswers, type AnswerSummary } from './raw/summarizeAnswers.js'
import { writeMessages } from './raw/writeMessages.js'
import { SoakGuests } from './SoakGuests.js'
import { SoakOperator } from './SoakOperator.js'
import { createRecord, type Breach, type SoakRecord } from './SoakRecord.js'
import { CONTROL_HOSTS, DOMAINS, SoakSystem } from './SoakSystem.js'
import { SoakUpstream } from './SoakUpstream.js'

const START_MILLISECONDS = 30_000
const UPSTREAMS_PER_SERVICE = 2
const SOUND_UPSTREAMS = 3
/** Share of the runs with endless messages in which no host is stopped, killed or frozen. */
const UNDISTURBED_SHARE = 0.7
/** Time after the last fault from which all hosts count as in touch, and some more in which requests are watched. */
const WATCH_MILLISECONDS = 2 * CONTACT_MILLISECONDS + 2_000
/** Shortest time for the routes of the last plan to be served, when reads have taken all the time to recover. */
const PROBE_MILLISECONDS = 5_000
const POLL_MILLISECONDS = 200

/** Length and size of a run. */
export interface SoakOptions {
  seed: number
  /** Time during which faults are begun, in milliseconds. */
  faultMilliseconds: number
  entryHosts: number
  /** Guests that watch answers closely; with any, most steps are planned stops, reloads and faults of entry hosts. */
  rawGuests: number
  /** Guests that write without end; with any, upstreams do, too, and most runs have no other faults. Needs raw guests. */
  endlessGuests?: number
}

/** What a run has shown. */
export interface SoakResult {
  seed: number
  seconds: number
  acknowledged: number
  faults: number
  /** Time in which the machine was too busy for bounds in time. */
  slowSeconds: number
  /** Requests whose time to show a plan had passed. */
  judgedRequests: number
  requests: number
  /** Requests at sound upstreams that were judged and those of them that were served, their slowest answer in milliseconds, and the largest memory of each role in MB. */
  besideEndless: Record<'judged' | 'served' | 'slowestMilliseconds' | 'controlMegabytes' | 'entryMegabytes', number>
  answers: AnswerSummary
  breaches: Breach[]
  /** Lines that tell the course of the run. */
  lines: string[]
  /** Folder with logs, settings and the record; kept when a rule was broken. */
  folder: string
}

/** Plays one run on real processes, and checks what clients and operators saw. */
export async function runSoak ({ seed, faultMilliseconds, entryHosts, rawGuests, endlessGuests = 0 }: SoakOptions): Promise<SoakResult> {
  const startedAt = performance.now()
  const isEndless = endlessGuests > 0
  const record = createRecord()
  const network = await reserveNetwork()
  const system = new SoakSystem(network.number, entryHosts, record)
  const load = new LoadMeter(system, record)
  const upstreams = [...createUpstreams(system, record, SERVICES, UPSTREAMS_PER_SERVICE), ...rawGuests > 0 ? createRawUpstreams(system, record, seed, isEndless) : []]
  const sound = isEndless ? createUpstreams(system, record, [SOUND_SERVICE], SOUND_UPSTREAMS) : []
  const operator = new SoakOperator(system, record, upstreams.map(({ life }) => life), seed, isEndless ? addSoundRoute : rawGuests > 0 ? addRawRoutes : (_, plan) => plan)
  const guests = new SoakGuests(system, record, seed, isEndless)
  const closeGuests = new RawGuests(system, record, seed, rawGuests)
  const lines: string[] = []
  const report = (text: string): void => { lines.push(`${formatSeconds(performance.now() - startedAt)} ${text}`) }
  const runner = new FaultRunner(system, operator, report)
  let isOver = false
  let breaches: Breach[] = []
  try {
    system.start()
    await Promise.all([...upstreams, ...sound].map((upstream) => upstream.open()))
    const firstAcknowledgement = operator.waitForAcknowledgement(START_MILLISECONDS)
    const orders = operator.run()
    const guestRequests = guests.run()
    const draw = new Draw(seed, 3)
    await firstAcknowledgement
    const isStarted = findAcknowledgement(record.orders[0]!.attempts) !== undefined
    const rawRequests = Promise.all([closeGuests.run(), ...Array.from({ length: endlessGuests }, (_, guest) => writeMessages(system, new Draw(seed, 300 + guest), () => isOver, report))])
    if (isEndless) await sleep(ANNOUNCE_MILLISECONDS + CONTACT_MILLISECONDS)
    if (isStarted && isEndless && draw.chance(UNDISTURBED_SHARE)) await sleep(faultMilliseconds)
    else if (isStarted) await (rawGuests > 0 ? playRawFaults : playFaults)(runner, draw, entryHosts, faultMilliseconds)
    closeGuests.stop()
    isOver = true
    operator.stop()
    await Promise.all([orders, rawRequests])
    await watchRecovery(system, guests, record)
    guests.stop()
    await guestRequests
    breaches = checkRecord(record)
    if (!isStarted) breaches.unshift({ check: 'start', at: startedAt, detail: `no control host acknowledged the first plan within ${START_MILLISECONDS} ms` })
  } finally {
    load.stop()
    for (const upstream of [...upstreams, ...sound]) upstream.close()
    await system.stop(breaches.length > 0)
    network.release()
  }
  for (const { check, at, detail } of breaches) lines.push(`${formatSeconds(at - startedAt)} BROKEN ${check}: ${detail}`)
  if (breaches.length > 0) {
    writeFileSync(join(system.folder, 'record.json'), JSON.stringify({ startedAt, ...record, peaks: [...record.peaks] }))
    writeFileSync(join(system.folder, 'course.txt'), `${lines.join('\n')}\n`)
  }
  const slow = record.disturbances.filter(({ kind }) => kind === 'slow').reduce((sum, { from, to }) => sum + to - from, 0)
  const acknowledged = [...record.orders, ...record.evacuations].filter(({ attempts }) => findAcknowledgement(attempts) !== undefined).length + record.departures.length
  return { seed, seconds: (performance.now() - startedAt) / 1_000, acknowledged, faults: runner.faultCount, slowSeconds: slow / 1_000, judgedRequests: countJudged(record), requests: record.observations.length, besideEndless: summarizeSound(record), answers: summarizeAnswers(record), breaches, lines, folder: system.folder }
}

async function playFaults (runner: FaultRunner, draw: Draw, entryHosts: number, milliseconds: number): Promise<void> {
  const deadline = performance.now() + milliseconds
  await runner.play(drawFirstStep(draw, entryHosts))
  while (performance.now() < deadline) await runner.play(drawStep(draw, entryHosts))
  await runner.finish()
  await runner.play(drawLastStep(draw))
}

async function playRawFaults (runner: FaultRunner, draw: Draw, entryHosts: number, milliseconds: number): Promise<void> {
  const deadline = performance.now() + milliseconds
  while (performance.now() < deadline) await runner.play(drawRawStep(draw, entryHosts))
  await runner.finish()
}

/** Waits until the newest plan is read and all its routes are served at all entry hosts, or the time to recover has passed. */
async function watchRecovery (system: SoakSystem, guests: SoakGuests, record: SoakRecord): Promise<void> {
  record.allBackAt = performance.now()
  const isInTime = (): boolean => performance.now() < new PlanHistory(record).recoveryDeadline
  while (isInTime() && (performance.now() < record.allBackAt + WATCH_MILLISECONDS || countControlHostsRead(record) < CONTROL_HOSTS)) await sleep(POLL_MILLISECONDS)
  const text = record.reads.findLast(({ status }) => status === 200)?.text
  const plan = record.orders.find(({ body }) => body === text)?.plan
  const routes = plan === undefined ? [] : listPlainRoutes(plan)
  record.finalRoutes = system.entryHosts.flatMap((_, entryHost) => routes.map(({ prefix }) => ({ entryHost, path: prefix, servedAt: undefined })))
  const probeDeadline = performance.now() + PROBE_MILLISECONDS
  await Promise.all(record.finalRoutes.map(async (route) => {
    do {
      const { handling, answeredAt } = await guests.send(route.entryHost, route.path)
      if (handling !== undefined && SERVICES.includes(handling)) route.servedAt = answeredAt
      else await sleep(POLL_MILLISECONDS)
    } while (route.servedAt === undefined && (isInTime() || performance.now() < probeDeadline))
  }))
}

function countJudged (record: SoakRecord): number {
  const history = new PlanHistory(record)
  return record.observations.filter(({ entryHost, sentAt, handling }) => handling !== undefined && history.findRequiredVersion(entryHost, sentAt) > 0).length
}

function summarizeSound (record: SoakRecord): SoakResult['besideEndless'] {
  const judged = listSound(new PlanHistory(record))
  const findPeak = (role: string): number => Math.round(Math.max(0, ...[...record.peaks].filter(([host]) => host.startsWith(role)).map(([, { kib }]) => kib)) / 1_024)
  return { judged: judged.length, served: judged.filter(({ handling }) => handling === SOUND_SERVICE).length, slowestMilliseconds: Math.round(Math.max(0, ...judged.map(({ sentAt, answeredAt }) => answeredAt - sentAt))), controlMegabytes: findPeak('control'), entryMegabytes: findPeak('entry') }
}

function countControlHostsRead ({ reads, allBackAt }: SoakRecord): number {
  return new Set(reads.filter(({ sentAt, status }) => sentAt > allBackAt && status === 200).map(({ controlHost }) => controlHost)).size
}

function createUpstreams (system: SoakSystem, record: SoakRecord, services: string[], count: number): SoakUpstream[] {
  const listControlAddresses = (): string[] => system.controlHosts.map((_, number) => system.getControlAddress(number))
  return services.flatMap((service, index) => Array.from({ length: count }, (_, number) => new SoakUpstream({
    id: `${service}-${number}`,
    service,
    domain: DOMAINS[(index + Math.floor(DOMAINS.length / count) * number) % DOMAINS.length]!,
    listControlAddresses,
    onArrival: (arrival) => { record.arrivals.push(arrival) }
  })))
}

function formatSeconds (milliseconds: number): string {
  return (milliseconds / 1_000).toFixed(2).padStart(7)
}
