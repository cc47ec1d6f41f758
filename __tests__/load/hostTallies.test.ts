import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { HostStatus, UpstreamStatus } from '../../src/daemon/describeStatus.js'
import { drainPlaceInSheet } from '../../src/cli/load/drainPlaceInSheet.js'
import { DrainTally } from '../../src/cli/load/DrainTally.js'
import { DrainTarget } from '../../src/cli/load/DrainTarget.js'
import { formatLoadHtml } from '../../src/cli/load/formatLoadHtml.js'
import { formatLoadText } from '../../src/cli/load/formatLoadText.js'
import { LimitKind } from '../../src/cli/load/HeadroomSummary.js'
import { HeadroomTally } from '../../src/cli/load/HeadroomTally.js'
import { parseSheet } from '../../src/sheet/parseSheet.js'
import { PlaceState } from '../../src/types/PlaceState.js'
import { composeSheet } from '../scenarios/composeSheet.js'

const UPSTREAM: UpstreamStatus = { service: 'desk', address: '127.0.0.1:1', state: 'ready', slots: 4, running: 1, foreign: 0, granted: true }

function createStatus (name: string, parts: Partial<HostStatus>): HostStatus {
  return {
    host: { name, domain: 'gijon', region: 'asturias', peerAddress: '', guestAddress: '' },
    incarnation: 1,
    draining: false,
    sheet: undefined,
    inFlight: 0,
    waiting: 0,
    upstreams: [],
    departed: [],
    caps: [],
    links: [],
    members: [],
    controlBytesSent: 0,
    counters: {},
    ...parts
  }
}

function createCapStatus (admitted: number, incarnation = 1): Partial<HostStatus> {
  return { incarnation, caps: [{ service: 'desk', place: 'puerto', requestsPerSecond: 100, admitted }] }
}

test('headroom: slots of granted upstreams add up, and median and maximum are taken over the samples', () => {
  const tally = new HeadroomTally()
  for (const [index, running] of [1, 2, 4].entries()) {
    const upstreams = [{ ...UPSTREAM, running }, { ...UPSTREAM, address: '127.0.0.1:2', foreign: 1 }, { ...UPSTREAM, address: '127.0.0.1:3', granted: false }]
    tally.add({ atMilliseconds: index * 1000, statuses: [createStatus('a', { upstreams })], missingStatuses: index })
  }
  assert.deepEqual(tally.summarize(), { samples: 3, missing: 3, uses: [{ kind: LimitKind.Slots, name: 'desk gijon', limit: 8, p50: 0.5, max: 0.75 }] })
})

test('headroom: a cap is one limit for all hosts, rates are computed between samples, and a restarted host is left out of one interval', () => {
  const tally = new HeadroomTally()
  const samples = [[createCapStatus(0), createCapStatus(500)], [createCapStatus(20), createCapStatus(560)], [createCapStatus(30), createCapStatus(10, 2)], [createCapStatus(40), createCapStatus(50, 2)]]
  for (const [index, [left, right]] of samples.entries()) {
    tally.add({ atMilliseconds: index * 2000, statuses: [createStatus('a', left!), createStatus('b', right!)], missingStatuses: 0 })
  }
  assert.deepEqual(tally.summarize().uses, [{ kind: LimitKind.PlaceCap, name: 'desk puerto', limit: 100, p50: 0.25, max: 0.4 }])
})

test('headroom: each direction of a link has its own utilization', () => {
  const tally = new HeadroomTally()
  for (const [index, sentBytes] of [0, 500, 1500].entries()) {
    const links = [{ fromRegion: 'asturias', toRegion: 'euskadi', bytesPerSecond: 1000, sentBytes }, { fromRegion: 'asturias', toRegion: 'cantabria', bytesPerSecond: 1000, sentBytes: 0 }]
    tally.add({ atMilliseconds: index * 1000, statuses: [createStatus('a', { links })], missingStatuses: 0 })
  }
  assert.deepEqual(tally.summarize().uses.map(({ name, max }) => [name, max]), [['asturias to cantabria', 0], ['asturias to euskadi', 1]])
})

test('a drain is measured from its order to the start and to the end of the last request, even after the upstream has departed', () => {
  const tally = new DrainTally()
  tally.recordOrder({ target: DrainTarget.Upstream, name: UPSTREAM.address, atMilliseconds: 5000 })
  const leaving = { ...UPSTREAM, state: 'leaving', sinceLeavingMilliseconds: 700, sinceStartMilliseconds: 800 }
  tally.add({ atMilliseconds: 6000, statuses: [createStatus('a', { upstreams: [leaving] })], missingStatuses: 0 })
  assert.deepEqual(tally.summarize(), [{ target: DrainTarget.Upstream, name: UPSTREAM.address, ordered: true, atSeconds: 5, lastNewWorkMilliseconds: 200, running: 1 }])
  const departed = { ...leaving, running: 0, sinceLeavingMilliseconds: 3700, sinceStartMilliseconds: 3800, sinceEndMilliseconds: 2500 }
  tally.add({ atMilliseconds: 9000, statuses: [createStatus('a', { departed: [departed] })], missingStatuses: 0 })
  const [drain, ...others] = tally.summarize()
  assert.deepEqual([drain?.lastNewWorkMilliseconds, drain?.drainMilliseconds, drain?.running, others.length], [200, 1500, 0, 0])
})

test('a place is drained when all its upstreams are, and requests in other failure domains do not count', () => {
  const tally = new DrainTally()
  tally.recordOrder({ target: DrainTarget.Place, name: 'puerto', domain: 'gijon', atMilliseconds: 1000 })
  const localUpstreams = [{ ...UPSTREAM, running: 0, sinceStartMilliseconds: 900, sinceEndMilliseconds: 600 }, { ...UPSTREAM, address: '127.0.0.1:2', running: 0, sinceStartMilliseconds: 5000, sinceEndMilliseconds: 4000 }]
  const remoteStatus = createStatus('b', { host: { ...createStatus('b', {}).host, domain: 'bilbao' }, upstreams: [{ ...UPSTREAM, address: '127.0.0.1:3', sinceStartMilliseconds: 0 }] })
  tally.add({ atMilliseconds: 2000, statuses: [createStatus('a', { upstreams: localUpstreams }), remoteStatus], missingStatuses: 0 })
  assert.deepEqual(tally.summarize(), [{ target: DrainTarget.Place, name: 'puerto', ordered: true, atSeconds: 1, lastNewWorkMilliseconds: 100, running: 0, drainMilliseconds: 400 }])
})

test('an upstream that leaves on its own is measured from its leave, and one that left before the run is not reported', () => {
  const tally = new DrainTally()
  const departedDuringRun = { ...UPSTREAM, running: 0, sinceLeavingMilliseconds: 1000, sinceStartMilliseconds: 1500, sinceEndMilliseconds: 200 }
  const departedBeforeRun = { ...departedDuringRun, address: '127.0.0.1:2', sinceLeavingMilliseconds: 9000 }
  tally.add({ atMilliseconds: 3000, statuses: [createStatus('a', { departed: [departedDuringRun, departedBeforeRun] })], missingStatuses: 0 })
  assert.deepEqual(tally.summarize(), [{ target: DrainTarget.Upstream, name: UPSTREAM.address, ordered: false, atSeconds: 2, lastNewWorkMilliseconds: 0, running: 0, drainMilliseconds: 800 }])
})

test('the text and the HTML page show headroom, drains and failed drain orders', () => {
  const drain = { target: DrainTarget.Place, name: 'puerto', ordered: true, atSeconds: 5, lastNewWorkMilliseconds: 12, drainMilliseconds: 34, running: 0 }
  const summary = {
    seed: 1,
    durationSeconds: 1,
    streams: [],
    seconds: [],
    schedule: [],
    sendDelay: { p50: 0, p99: 0, p999: 0, max: 0 },
    headroom: { samples: 2, missing: 0, uses: [{ kind: LimitKind.PlaceCap, name: 'desk puerto', limit: 100, p50: 0.25, max: 0.4 }] },
    drains: [drain, { ...drain, failure: 'status 404' }]
  }
  for (const text of [formatLoadText(summary), formatLoadHtml(summary)]) {
    for (const part of [/place cap desk puerto/, /25\.0%/, /40\.0%/, /last new work after 12 ms, last request ended after 34 ms/, /status 404/]) assert.match(text, part)
  }
})

test('the sheet that drains a place has the next number and differs only in that place', () => {
  const content = { number: 4, classesByService: new Map([['desk', 'idempotent']]), regionsByDomain: new Map([['gijon', 'asturias'], ['bilbao', 'euskadi']]), drainingPlaces: [], capRequestsPerSecond: 5, capOverrides: new Map(), linkMegabitsPerSecond: 280 }
  const next = drainPlaceInSheet(composeSheet(content), 'bilbao')
  assert.deepEqual([next.domain, next.content], ['bilbao', composeSheet({ ...content, number: 5, drainingPlaces: ['bilbao'] })])
  assert.equal(parseSheet(next.content).sheet?.places.get('bilbao')?.state, PlaceState.Draining)
  assert.throws(() => drainPlaceInSheet(next.content, 'bilbao'), /no open place bilbao/)
})
