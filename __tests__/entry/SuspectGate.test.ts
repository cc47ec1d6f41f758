import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { CrashTable } from '../../src/crashes/CrashTable.js'
import { SuspectDesk, type SuspectPermitRequest } from '../../src/crashes/SuspectDesk.js'
import { SuspectGate, type GatedRequest } from '../../src/entry/SuspectGate.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'
import { advance, pauseClock } from '../support/pauseClock.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
/** Covers the time in which a desk lets a first loss settle, and a call to a silent control host. */
const PERMIT_MILLISECONDS = 600

function createRequest (milliseconds = 2_000): GatedRequest {
  return { fingerprint: 'f', deadline: performance.now() + milliseconds, cancelled: new AbortController().signal }
}

/** Gates of two entry hosts, and control hosts of which the first ones are silent. */
function createGates (controlHosts: string[], silentHosts: string[] = []): { gates: SuspectGate[], tables: CrashTable[] } {
  const desks = new Map(controlHosts.map((name) => [name, new SuspectDesk({ crashes: new CrashTable(), onChange: () => {} })]))
  const tables = [new CrashTable(), new CrashTable()]
  const gates = tables.map((crashes) => new SuspectGate({
    crashes,
    detector: { checkCopies: async () => {}, reviewEnds: () => {} },
    listControlHosts: () => controlHosts,
    callPeer: async <Result>(address: string, _method: string, request: object) => {
      if (silentHosts.includes(address)) throw new Error('no answer')
      return desks.get(address)!.answer(request as SuspectPermitRequest) as Result
    },
    log: silentLog
  }))
  return { gates, tables }
}

/** Enters a gate while the paused clock advances. */
async function enter (context: TestContext, gate: SuspectGate, request: GatedRequest): Promise<unknown> {
  const entered = gate.enter(request)
  await advance(context, PERMIT_MILLISECONDS)
  return await entered
}

test('a request without losses passes at once, and one with three is refused', async (context) => {
  pauseClock(context)
  const { gates: [gate], tables: [table] } = createGates([])
  assert.equal(typeof await gate!.enter(createRequest()), 'function')
  for (const upstream of ['a@1', 'b@1', 'c@1']) table!.recordLoss(upstream, ['f'])
  assert.equal(await enter(context, gate!, createRequest()), RefusalReason.Poison)
  assert.equal(await gate!.enter(createRequest(1)), RefusalReason.Poison, 'refused at once when the losses are settled')
})

// Guards against refusals in the time in which another host reports that the upstreams ended together.
test('a request with three losses waits until it is known whether these have a common cause, and does not run meanwhile', async (context) => {
  pauseClock(context)
  const crashes = new CrashTable()
  const callPeer = async <Result>(): Promise<Result> => ({ isGranted: true, record: crashes.describe('f') }) as Result
  const gate = new SuspectGate({ crashes, detector: { checkCopies: async () => {}, reviewEnds: () => {} }, listControlHosts: () => ['control'], callPeer, log: silentLog })
  const upstreams = ['a@1', 'b@1', 'c@1']
  for (const upstream of upstreams) crashes.recordLoss(upstream, ['f'])
  const entered = gate.enter(createRequest())
  await advance(context, 200)
  assert.equal(await Promise.race([entered, 'still waiting']), 'still waiting')
  crashes.recordSimultaneous('crash', upstreams)
  await advance(context, PERMIT_MILLISECONDS)
  assert.equal(typeof await entered, 'function')
})

test('one copy of a suspect runs at a time over all hosts, and its loss is known before the next one runs', async (context) => {
  pauseClock(context)
  const { gates, tables } = createGates(['control-1', 'control-2'])
  for (const table of tables) table.recordLoss('a@1', ['f'])
  const leave = await enter(context, gates[0]!, createRequest())
  assert.equal(typeof leave, 'function')
  const second = gates[1]!.enter(createRequest(4_000))
  tables[0]!.recordLoss('b@1', ['f'])
  tables[0]!.recordLoss('c@1', ['f'])
  if (typeof leave === 'function') leave()
  await advance(context, 500)
  assert.equal(await second, RefusalReason.Poison)
})

test('a suspect whose copy goes on running is refused as not run, in time to be sent again', async (context) => {
  pauseClock(context)
  const { gates, tables } = createGates(['control-1'])
  for (const table of tables) table.recordLoss('a@1', ['f'])
  await enter(context, gates[0]!, createRequest())
  const refusal = gates[1]!.enter(createRequest(600))
  await advance(context, 400)
  assert.equal(await Promise.race([refusal, 'still waiting']), RefusalReason.SuspectWaiting)
})

test('a control host that does not answer is replaced by the next one for the permit', async (context) => {
  pauseClock(context)
  const controlHosts = ['control-1', 'control-2', 'control-3']
  for (const silentHost of controlHosts) {
    const { gates: [gate], tables: [table] } = createGates(controlHosts, [silentHost])
    table!.recordLoss('a@1', ['f'])
    assert.equal(typeof await enter(context, gate!, createRequest()), 'function')
  }
})

// Guards against a second copy of a request whose first one has ended its upstream without notice.
test('a further copy is admitted after the upstreams of those in flight were checked, and only without losses', async () => {
  const crashes = new CrashTable()
  let endsUpstream = false
  const detector = { checkCopies: async (fingerprint: string) => { if (endsUpstream) crashes.recordLoss('a@1', [fingerprint]) }, reviewEnds: () => {} }
  const gate = new SuspectGate({ crashes, detector, listControlHosts: () => [], callPeer: async () => { throw new Error('no answer') }, log: silentLog })
  assert.equal(await gate.admitsCopy('f'), true)
  endsUpstream = true
  assert.equal(await gate.admitsCopy('f'), false)
})
