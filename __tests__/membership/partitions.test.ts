import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberState } from '../../src/types/MemberState.js'
import { advance } from '../support/pauseClock.js'
import { startHosts } from './startHosts.js'

const DETECTION_MILLISECONDS = 2000

test('a cut-off domain keeps its own hosts, sees the others as dead, and rejoins after the partition heals without intervention', async (context) => {
  const hosts = await startHosts(context)
  const localNames = hosts.listDomainNames('d0')
  const remoteNames = hosts.names.filter((name) => !localNames.includes(name))
  hosts.network.split(localNames, remoteNames)
  await advance(context, DETECTION_MILLISECONDS)
  assert.deepEqual(hosts.listMismatches((name) => localNames.includes(name) ? MemberState.Alive : MemberState.Dead, localNames), [])
  assert.deepEqual(hosts.listMismatches((name) => localNames.includes(name) ? MemberState.Dead : MemberState.Alive, remoteNames), [])
  hosts.kill('d0-2')
  await advance(context, 20_000)
  hosts.network.heal()
  await advance(context, DETECTION_MILLISECONDS)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('a host that is cut off within its own domain rejoins after the partition heals', async (context) => {
  const hosts = await startHosts(context)
  hosts.network.split(['d0-0'], hosts.names.filter((name) => name !== 'd0-0'))
  await advance(context, 5000)
  assert.equal(hosts.getState('d0-1', 'd0-0'), MemberState.Dead)
  hosts.network.heal()
  await advance(context, 3000)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('a host that can receive but not send is seen as dead by the others', async (context) => {
  const hosts = await startHosts(context)
  for (const name of hosts.names) hosts.network.cut('d0-0', name)
  await advance(context, DETECTION_MILLISECONDS)
  assert.deepEqual(hosts.listMismatches((name) => name === 'd0-0' ? MemberState.Dead : MemberState.Alive, hosts.names.filter((name) => name !== 'd0-0')), [])
})

test('a single domain that is split in half is complete again after the partition heals', async (context) => {
  const hosts = await startHosts(context, 1, 4)
  hosts.network.split(['d0-0', 'd0-1'], ['d0-2', 'd0-3'])
  await advance(context, DETECTION_MILLISECONDS)
  assert.equal(hosts.getState('d0-0', 'd0-2'), MemberState.Dead)
  hosts.network.heal()
  await advance(context, 5000)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('two regions that cannot reach each other see each other as dead, and the third region sees both as alive', async (context) => {
  const hosts = await startHosts(context)
  const first = [...hosts.listDomainNames('d0'), ...hosts.listDomainNames('d1')]
  const second = [...hosts.listDomainNames('d2'), ...hosts.listDomainNames('d3')]
  const third = [...hosts.listDomainNames('d4'), ...hosts.listDomainNames('d5')]
  hosts.network.split(first, second)
  await advance(context, DETECTION_MILLISECONDS)
  assert.deepEqual(hosts.listMismatches((name) => second.includes(name) ? MemberState.Dead : MemberState.Alive, first), [])
  assert.deepEqual(hosts.listMismatches(() => MemberState.Alive, third), [])
  assert.equal(hosts.counters.read('membership.declared-dead'), 0)
})
