import type { TestContext } from 'node:test'
import type { EntryRequest } from '../../src/entry/EntryRequest.js'
import type { EntryRelayOptions } from '../../src/entry/EntryRelayOptions.js'
import { Counters } from '../../src/observe/Counters.js'
import type { PlanRoute } from '../../src/plan/RoutingPlan.js'
import type { RelayAnswer } from '../../src/relay/RelayAnswer.js'
import { ListenerState } from '../../src/utils/probeListener.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { ScriptedConnections, type ScriptedExchange } from '../support/ScriptedConnections.js'
import { createEntryRequest } from './createEntryRequest.js'
import { createRelayFixture, type RelayFixture } from './createRelayFixture.js'

/** Time of a usual run. */
export const USUAL_MILLISECONDS = 100
/** Requests from which the relay knows what is usual. */
const USUAL_REQUESTS = 60
const DEADLINE_MILLISECONDS = 2_000
const UPSTREAM_COUNT = 3

/** A relay that knows the usual time of a run, and upstreams whose answers the test determines. */
export interface SecondAttemptFixture extends RelayFixture {
  counters: Counters
  /** Fields of all log lines of requests. */
  lines: Array<Record<string, unknown>>
  /** Exchanges of the requests that the test starts. */
  exchanges: ScriptedExchange[]
  /** Number of connections that were opened to see whether an upstream lives. */
  probes: () => number
  /** Starts a request. */
  start: (overrides?: Partial<EntryRequest>) => Promise<RelayAnswer>
  /** Starts a request that aborts with the returned function. */
  startWithGuest: () => { answer: Promise<RelayAnswer>, leave: () => void }
}

/** Opens a relay on a paused clock, and sends it requests that take the usual time; later ones are left to the test. */
export async function openSecondAttemptFixture (context: TestContext, routeOverrides: Partial<PlanRoute> = {}, options: Partial<EntryRelayOptions> = {}): Promise<SecondAttemptFixture> {
  pauseClock(context)
  const route = { sticky: false, ...routeOverrides }
  const counters = new Counters()
  const lines: SecondAttemptFixture['lines'] = []
  const record = (_event: string, fields: object): void => { lines.push(fields as Record<string, unknown>) }
  const exchanges: ScriptedExchange[] = []
  let isWarmedUp = false
  let probeCount = 0
  const connections = new ScriptedConnections((exchange) => {
    if (isWarmedUp) exchanges.push(exchange)
    else setTimeout(() => { exchange.respond() }, USUAL_MILLISECONDS)
  })
  const addresses = Array.from({ length: UPSTREAM_COUNT }, (_, number) => `127.0.0.9:${number + 1}`)
  const log = { info: record, warn: record, error: record }
  const fixture = createRelayFixture(addresses, route, { counters, log, secondAttemptRatio: () => 0.5, ...options }, connections, async () => {
    probeCount += 1
    return ListenerState.Open
  })
  let lastNumber = 0
  const start: SecondAttemptFixture['start'] = async (overrides = {}) => {
    const now = performance.now()
    const id = `a-${++lastNumber}`
    return await fixture.relay.serve(createEntryRequest(route, { id, headers: [{ name: 'attempt-id', value: id }], guestDeadline: now + DEADLINE_MILLISECONDS, deadline: now + DEADLINE_MILLISECONDS, ...overrides }))
  }
  for (let sent = 0; sent < USUAL_REQUESTS; sent += 2) {
    const answers = [start(), start()]
    await advance(context, USUAL_MILLISECONDS + 20)
    await Promise.all(answers)
  }
  isWarmedUp = true
  const startWithGuest: SecondAttemptFixture['startWithGuest'] = () => {
    const controller = new AbortController()
    return { answer: start({ cancelled: controller.signal }), leave: () => { controller.abort() } }
  }
  return { ...fixture, counters, lines, exchanges, probes: () => probeCount, start, startWithGuest }
}
