import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { formatTable } from '../../src/cli/formatTable.js'
import { GuestClient } from '../../src/cli/load/GuestClient.js'
import type { GuestAnswer } from '../../src/cli/load/GuestAnswer.js'
import { OperatorClient, createOperatorClient } from '../../src/cli/OperatorClient.js'
import type { HostStatus } from '../../src/daemon/describeStatus.js'
import { RequestClass } from '../../src/hibiscusrelay.js'
import type { DemoSystem } from './DemoSystem.js'

const READY_TIMEOUT_MILLISECONDS = 20_000
const POLL_INTERVAL_MILLISECONDS = 100
const REQUEST_COUNT = 60
const DEADLINE_MILLISECONDS = 5_000
/** Stands for a random number from 0 to below 1, so that the choice among hosts is the same in each run. */
const FIXED_RANDOM = 0.5

/**
 * Starts a system, submits its sheet, sends requests of both classes, drains one upstream, and prints the results.
 *
 * @param system - the system to start; it is left running
 * @throws Error when a step takes longer than 20 s, no upstream can be drained, or a request was not run
 */
export async function runDemo (system: DemoSystem): Promise<void> {
  console.log(`starting ${system.hosts.length} hosts in 3 failure domains and ${system.upstreams.length} stand-in upstreams`)
  system.start()
  const operators = system.hosts.map((host) => createOperatorClient({ operator: host.operatorAddress, 'token-file': system.tokenFile }))
  await waitUntil('replicas bootstrapped', async () => (await operators[0]!.post('/v1/replica/bootstrap')).status === 200)
  await waitUntil('all hosts and upstreams ready', async () => await areAllReady(system, operators))
  const submitResult = await submitSheet(system, operators[0]!)
  await waitUntil('sheet 1 in force on every host', async () => (await readStatuses(operators)).every((status) => status.sheet?.number === 1))
  const guest = new GuestClient(system.hosts.map((host) => host.guestAddress), 'oviedo', () => FIXED_RANDOM)
  const stockAnswers = await sendRequests(guest, 'inventario', RequestClass.Idempotent)
  const bookingAnswers = await sendRequests(guest, 'reservas', RequestClass.OneTime)
  const drainResult = await drainFirstUpstream(operators)
  const answersAfterDrain = await sendRequests(guest, 'inventario', RequestClass.Idempotent)
  await guest.close()
  console.log(formatTable(['step', 'result'], [
    ['sheet 1', submitResult],
    [`${REQUEST_COUNT} stock lookups`, describeAnswers(stockAnswers)],
    [`${REQUEST_COUNT} bookings, each sent twice`, describeAnswers(bookingAnswers)],
    ['one upstream drained', drainResult],
    [`${REQUEST_COUNT} stock lookups after the drain`, describeAnswers(answersAfterDrain)]
  ]))
  const answers = [...stockAnswers, ...bookingAnswers, ...answersAfterDrain]
  if (answers.some((answer) => answer.outcome !== 'ran')) throw new Error('at least one request was not run by an upstream')
}

async function areAllReady (system: DemoSystem, operators: OperatorClient[]): Promise<boolean> {
  const statuses = await readStatuses(operators)
  const upstreams = statuses.flatMap((status) => status.upstreams.filter((upstream) => upstream.granted))
  return upstreams.length === system.upstreams.length && statuses.every((status) => status.members.filter((member) => member.state === 'alive').length === system.hosts.length)
}

async function readStatuses (operators: OperatorClient[]): Promise<HostStatus[]> {
  return await Promise.all(operators.map(async (operator) => (await operator.get<HostStatus>('/v1/status')).body))
}

async function submitSheet (system: DemoSystem, operator: OperatorClient): Promise<string> {
  const reply = await operator.post<{ result?: string }>('/v1/sheets', readFileSync(system.sheetFile))
  return reply.body.result ?? `the host refused the sheet with status ${reply.status}`
}

async function sendRequests (guest: GuestClient, service: string, requestClass: RequestClass): Promise<GuestAnswer[]> {
  const answers: GuestAnswer[] = []
  for (let index = 0; index < REQUEST_COUNT; index += 1) answers.push(...await sendRequest(guest, service, requestClass, index))
  return answers
}

async function sendRequest (guest: GuestClient, service: string, requestClass: RequestClass, index: number): Promise<GuestAnswer[]> {
  const isOneTime = requestClass === RequestClass.OneTime
  const deadline = performance.now() + DEADLINE_MILLISECONDS
  const ticket = isOneTime ? await guest.waitForTicket(service, deadline) : undefined
  const request = { service, requestClass, path: 'kits/7', body: Buffer.from(`kit ${index}`), guestKey: isOneTime ? `kit-${index}` : undefined, ticket, deadline, sending: `demo-${index}` }
  const first = await guest.send(request)
  return isOneTime ? [first, await guest.send(request)] : [first]
}

async function drainFirstUpstream (operators: OperatorClient[]): Promise<string> {
  const startedAt = performance.now()
  for (const operator of operators) {
    const { body } = await operator.get<HostStatus>('/v1/status')
    const upstream = body.upstreams.find((each) => each.service === 'inventario')
    if (upstream === undefined) continue
    await operator.post(`/v1/drains/upstream?address=${upstream.address}`)
    await waitUntil(`upstream ${upstream.address} drained`, async () => {
      const status = (await operator.get<HostStatus>('/v1/status')).body
      return !status.upstreams.some((each) => each.address === upstream.address && each.state !== 'leaving')
    })
    return `${upstream.address}, no new work after ${Math.round(performance.now() - startedAt)} ms`
  }
  throw new Error('no host owns an upstream of service inventario to drain')
}

/** Repeats a check until it passes, and prints the time that it took. A check that throws counts as not passed. */
async function waitUntil (description: string, check: () => Promise<boolean>): Promise<void> {
  const startedAt = performance.now()
  while (!await check().catch(() => false)) {
    if (performance.now() - startedAt > READY_TIMEOUT_MILLISECONDS) throw new Error(`timed out after ${READY_TIMEOUT_MILLISECONDS} ms while waiting for: ${description}`)
    await sleep(POLL_INTERVAL_MILLISECONDS)
  }
  console.log(`${description} (${Math.round(performance.now() - startedAt)} ms)`)
}

function describeAnswers (answers: GuestAnswer[]): string {
  const ran = answers.filter((answer) => answer.outcome === 'ran').length
  return `${ran} of ${answers.length} answered`
}
