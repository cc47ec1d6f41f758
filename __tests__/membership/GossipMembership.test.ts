import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberState } from '../../src/types/MemberState.js'
import { advance, pauseClock } from '../support/pauseClock.js'
import { StandInHosts } from './StandInHosts.js'
import { startHosts } from './startHosts.js'

const DETECTION_MILLISECONDS = 2000

test('hosts that start at the same time all see each other', async (context) => {
  const hosts = await startHosts(context, 6, 2)
  assert.deepEqual(hosts.listWrongStates(), [])
  assert.equal(hosts.counters.read('membership.suspected'), 0)
})

test('members() returns the same array until the view changes', async (context) => {
  const hosts = await startHosts(context, 2, 2)
  const membership = hosts.membershipsByName.get('d0-0')!
  const before = membership.members()
  assert.equal(membership.members(), before)
  let notifications = 0
  membership.subscribe(() => {
    notifications++
    assert.notEqual(membership.members(), before)
  })
  hosts.membershipsByName.get('d1-1')!.describeSelf({ draining: true, sheetNumber: 3, pools: [] })
  await advance(context, 1000)
  assert.ok(notifications > 0)
})

test('a host that dies shortly after another was replaced is detected', async (context) => {
  const hosts = await startHosts(context)
  hosts.kill('d0-0')
  await advance(context, DETECTION_MILLISECONDS)
  hosts.start(['d0-0'])
  await advance(context, 500)
  hosts.kill('d0-1')
  await advance(context, DETECTION_MILLISECONDS)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('draining, a changed pool owner and a leave are visible on all hosts within one second', async (context) => {
  const hosts = await startHosts(context)
  const pool = { service: 'inventario', upstreams: 4, slots: 28, freeSlots: 28 }
  hosts.membershipsByName.get('d0-0')!.describeSelf({ draining: true, sheetNumber: 3, pools: [] })
  hosts.membershipsByName.get('d5-1')!.describeSelf({ draining: false, sheetNumber: 3, pools: [pool] })
  const leaving = hosts.membershipsByName.get('d3-2')!.leave()
  await advance(context, 1000)
  await leaving
  for (const membership of [...hosts.membershipsByName.values()].filter((candidate) => candidate !== hosts.membershipsByName.get('d3-2'))) {
    const members = new Map(membership.members().map((member) => [member.host.name, member]))
    assert.equal(members.get('d0-0')?.details.draining, true)
    assert.deepEqual(members.get('d5-1')?.details.pools, [pool])
    assert.equal(members.get('d3-2')?.state, MemberState.Left)
  }
})

test('changes of load figures only are published at most twice a second and spread within three seconds', async (context) => {
  const hosts = await startHosts(context)
  const self = hosts.membershipsByName.get('d0-0')!
  const before = self.members()[0]!.version
  for (let freeSlots = 0; freeSlots < 100; freeSlots++) {
    self.describeSelf({ draining: false, sheetNumber: 1, pools: [{ service: 'reservas', upstreams: 4, slots: 100, freeSlots }] })
    await advance(context, 10)
  }
  await advance(context, 3000)
  assert.ok(self.members()[0]!.version - before <= 4)
  for (const membership of hosts.membershipsByName.values()) {
    assert.equal(membership.members().find((member) => member.host.name === 'd0-0')?.details.pools[0]?.freeSlots, 99)
  }
})

test('a host that some peers cannot reach stays alive, due to indirect probes', async (context) => {
  const hosts = await startHosts(context)
  hosts.network.cut('d0-0', 'd0-1')
  hosts.network.cut('d0-2', 'd0-0')
  await advance(context, 10_000)
  assert.ok(hosts.counters.read('membership.probe-failed') > 0)
  assert.equal(hosts.counters.read('membership.declared-dead'), 0)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('when a tenth of all messages is lost, no live host is declared dead, and a death is still detected', async (context) => {
  const hosts = await startHosts(context)
  hosts.network.isLost = () => hosts.random() < 0.1
  await advance(context, 10_000)
  assert.equal(hosts.counters.read('membership.declared-dead'), 0)
  hosts.kill('d0-0')
  await advance(context, 5000)
  hosts.network.isLost = () => false
  await advance(context, 1500)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('a host that was stalled for long is seen as dead, suspects its peers at first, and rejoins without intervention', async (context) => {
  const hosts = await startHosts(context)
  hosts.network.stall('d0-0')
  await advance(context, DETECTION_MILLISECONDS)
  assert.deepEqual(hosts.listMismatches((name) => name === 'd0-0' ? MemberState.Dead : MemberState.Alive, hosts.names.filter((name) => name !== 'd0-0')), [])
  hosts.kill('d1-0')
  await advance(context, 10_000)

  hosts.network.resume('d0-0')
  await advance(context, 10)
  assert.equal(hosts.getState('d0-0', 'd0-1'), MemberState.Suspect)
  assert.equal(hosts.getState('d0-0', 'd3-0'), MemberState.Suspect)
  await advance(context, DETECTION_MILLISECONDS)
  assert.deepEqual(hosts.listWrongStates(), [])
  assert.ok(hosts.counters.read('membership.freeze-noticed') > 0)
})

test('suspicion due to a short stall is refuted before the host is declared dead', async (context) => {
  const hosts = await startHosts(context)
  hosts.network.stall('d0-0')
  await advance(context, 600)
  hosts.network.resume('d0-0')
  await advance(context, 1500)
  assert.equal(hosts.counters.read('membership.declared-dead'), 0)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('a host that restarts with its clock set back supersedes the record of its previous run', async (context) => {
  const hosts = await startHosts(context)
  const before = hosts.membershipsByName.get('d0-0')!.members()[0]!.incarnation
  hosts.kill('d0-0')
  const clock = context.mock.method(Date, 'now', () => 5000)
  hosts.start(['d0-0'])
  clock.mock.restore()
  await advance(context, DETECTION_MILLISECONDS)
  assert.deepEqual(hosts.listWrongStates(), [])
  const after = hosts.membershipsByName.get('d5-0')!.members().find((member) => member.host.name === 'd0-0')
  assert.ok(after!.incarnation > before)
})

test('a dead host is evicted after a bounded time and does not reappear as dead', async (context) => {
  pauseClock(context)
  const hosts = new StandInHosts(2, 3, 7, { forgetMilliseconds: 5000 })
  hosts.start()
  context.after(() => { hosts.stop() })
  await advance(context, 2000)
  hosts.kill('d0-0')
  await advance(context, 15_000)
  assert.deepEqual(hosts.listMismatches((name) => name === 'd0-0' ? undefined : MemberState.Alive), [])
})
