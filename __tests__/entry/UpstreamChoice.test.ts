import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { RequestProgress } from '../../src/entry/RequestProgress.js'
import { UpstreamChoice } from '../../src/entry/UpstreamChoice.js'
import { UpstreamLoads } from '../../src/entry/UpstreamLoads.js'
import { KnownState } from '../../src/follow/KnownState.js'
import { StopWindow } from '../../src/limits/StopWindow.js'
import { UpstreamPause } from '../../src/placement/UpstreamPause.js'
import { UpstreamReadiness, type UpstreamRecord } from '../../src/registry/UpstreamRecord.js'
import { createFollowReply } from '../follow/createFollowReply.js'
import { createPlan } from '../plan/createPlan.js'
import { createUpstreamRecord } from '../registry/createUpstreamRecord.js'
import { pauseClock } from '../support/pauseClock.js'
import { createEntryRequest } from './createEntryRequest.js'

interface ChoiceFixture {
  known: KnownState
  loads: UpstreamLoads
  /** @returns identifiers of the upstreams that may get a second attempt beside one at `i-first` */
  listForSecond: () => string[]
}

/** Opens a choice between an upstream in another failure domain, one with the given fields, and the one of the first attempt. */
function createFixture (context: TestContext, overrides: Partial<UpstreamRecord> = {}, isLost = false): ChoiceFixture {
  pauseClock(context)
  const known = new KnownState()
  const loads = new UpstreamLoads(known)
  const upstreams = [
    { record: createUpstreamRecord({ id: 'i-first', address: '127.0.0.9:1' }), isLost: false },
    { record: createUpstreamRecord({ id: 'i-other', address: '127.0.0.9:2', domain: 'gijon' }), isLost: false },
    { record: createUpstreamRecord({ id: 'i-case', address: '127.0.0.9:3', ...overrides }), isLost }
  ]
  known.merge(createFollowReply({ plan: createPlan(1), upstreams, isComplete: true, entryHosts: 1 }))
  const choice = new UpstreamChoice({ hostName: 'entry-1', domain: 'oviedo', region: 'asturias', known, loads, runs: { isProven: () => true }, stopWindow: new StopWindow(), regionOf: () => 'asturias' })
  const progress = new RequestProgress('inventario', 'f')
  progress.recordAttempt('i-first')
  return { known, loads, listForSecond: () => choice.listForSecond(createEntryRequest(), progress).map(({ record }) => record.id).sort() }
}

test('every upstream that is ready may get a second attempt, but that of the first one', (context) => {
  const { listForSecond } = createFixture(context)
  assert.deepEqual(listForSecond(), ['i-case', 'i-other'])
})

const recordCases: Array<[name: string, overrides: Partial<UpstreamRecord>, isLost: boolean]> = [
  ['announced that it leaves', { readiness: UpstreamReadiness.Draining }, false],
  ['is cold', { coldMilliseconds: 3_000 }, false],
  ['is lost', {}, true]
]
for (const [name, overrides, isLost] of recordCases) {
  test(`an upstream that ${name} gets no second attempt`, (context) => {
    const { listForSecond } = createFixture(context, overrides, isLost)
    assert.deepEqual(listForSecond(), ['i-other'])
  })
}

const stateCases: Array<[name: string, change: (fixture: ChoiceFixture) => void]> = [
  ['said that it leaves', ({ known }) => { known.markLeaving(createUpstreamRecord({ id: 'i-case' })) }],
  ['asked for a pause', ({ loads }) => { loads.pause('i-case', new UpstreamPause(1_000, performance.now() + 500)) }],
  ['has failed lately', ({ loads }) => { loads.get('i-case').recordFailure(performance.now()) }],
  ['is in an evacuated failure domain', ({ known }) => { known.merge(createFollowReply({ evacuated: ['oviedo'] }, 1)) }]
]
for (const [name, change] of stateCases) {
  test(`an upstream that ${name} gets no second attempt`, (context) => {
    const fixture = createFixture(context)
    change(fixture)
    assert.deepEqual(fixture.listForSecond(), ['i-other'])
  })
}

// Guards against second attempts at upstreams that are only used when there are no others.
test('no upstream gets a second attempt when all others have failed lately', (context) => {
  const { loads, listForSecond } = createFixture(context)
  for (const id of ['i-case', 'i-other']) loads.get(id).recordFailure(performance.now())
  assert.deepEqual(listForSecond(), [])
})
