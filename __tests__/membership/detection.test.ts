import assert from 'node:assert/strict'
import { test } from 'node:test'
import { advance, pauseClock } from '../support/pauseClock.js'
import { StandInHosts } from './StandInHosts.js'
import { startHosts } from './startHosts.js'

const DETECTION_MILLISECONDS = 2000

interface Fault {
  name: string
  inject: (hosts: StandInHosts) => void
}

const FAULTS: Fault[] = [
  { name: 'one host dies', inject: (hosts) => { hosts.kill('d0-0') } },
  { name: 'two hosts of one domain die at once', inject: (hosts) => { hosts.kill('d1-0'); hosts.kill('d1-1') } },
  { name: 'two hosts of two domains die at once', inject: (hosts) => { hosts.kill('d1-0'); hosts.kill('d4-2') } },
  { name: 'all hosts of a domain die', inject: (hosts) => { for (const name of hosts.listDomainNames('d2')) hosts.kill(name) } },
  {
    name: 'all hosts of a region die',
    inject: (hosts) => { for (const name of [...hosts.listDomainNames('d2'), ...hosts.listDomainNames('d3')]) hosts.kill(name) }
  }
]

for (const fault of FAULTS) {
  test(`${fault.name}: all other hosts detect it within two seconds and see no other host dead`, async (context) => {
    const hosts = await startHosts(context)
    fault.inject(hosts)
    await advance(context, DETECTION_MILLISECONDS)
    assert.deepEqual(hosts.listWrongStates(), [])
  })
}

test('the size of messages stays bounded with 60 hosts', async (context) => {
  const hosts = await startHosts(context, 3, 20)
  assert.deepEqual(hosts.listWrongStates(), [])
  assert.ok(hosts.network.largestMessageBytes < 10_000, `${hosts.network.largestMessageBytes} bytes`)
})

test('with twenty domains no host is suspect without a fault, and a death is detected by all hosts', async (context) => {
  const hosts = await startHosts(context, 20, 3)
  for (let second = 0; second < 5; second++) {
    await advance(context, 1000)
    assert.deepEqual(hosts.listWrongStates(), [])
  }
  hosts.kill('d7-1')
  await advance(context, 4000)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('a host that joins a domain of a hundred hosts learns all of them, although no message can carry that many', async (context) => {
  pauseClock(context)
  const hosts = new StandInHosts(1, 100, 3)
  context.after(() => { hosts.stop() })
  hosts.start(hosts.names.filter((name) => name !== 'd0-7'))
  await advance(context, 8000, 20)
  hosts.start(['d0-7'])
  await advance(context, 5000, 20)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('when all hosts run late, they extend their timeouts and still detect a death', async (context) => {
  const hosts = await startHosts(context, 2, 3)
  hosts.timerLagMilliseconds = 80
  await advance(context, 500)
  hosts.network.delay = () => 100
  await advance(context, 10_000)
  assert.equal(hosts.counters.read('membership.suspected'), 0)
  assert.deepEqual(hosts.listWrongStates(), [])
  hosts.kill('d0-1')
  await advance(context, 6_000)
  assert.deepEqual(hosts.listWrongStates(), [])
})

test('timeouts return to normal soon after the process runs in time again', async (context) => {
  const hosts = await startHosts(context, 2, 3)
  hosts.timerLagMilliseconds = 250
  await advance(context, 2_000)
  hosts.timerLagMilliseconds = 0
  await advance(context, 3_000)
  hosts.kill('d0-1')
  await advance(context, 2_000)
  assert.deepEqual(hosts.listWrongStates(), [])
})
