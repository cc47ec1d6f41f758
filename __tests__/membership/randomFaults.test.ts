import assert from 'node:assert/strict'
import { test } from 'node:test'
import { advance } from '../support/pauseClock.js'
import type { StandInHosts } from './StandInHosts.js'
import { startHosts } from './startHosts.js'

const SEEDS = [11, 12, 13, 14, 15, 16]
const FAULT_ROUNDS = 4
const SETTLE_MILLISECONDS = 8000

/** Faults that are injected in pairs at random times. */
const FAULTS: Array<(hosts: StandInHosts, name: string, other: string) => void> = [
  (hosts, name) => { hosts.kill(name) },
  (hosts, name) => { hosts.kill(name); hosts.start([name]) },
  (hosts, name) => { if (hosts.membershipsByName.has(name)) hosts.network.stall(name) },
  (hosts, name, other) => { hosts.network.cut(name, other) },
  (hosts, name, other) => { hosts.network.split(hosts.listDomainNames(name.split('-')[0]!), hosts.listDomainNames(other.split('-')[0]!)) },
  (hosts, name) => { hosts.network.split([name], hosts.names.filter((candidate) => candidate !== name)) },
  (hosts) => { hosts.network.isLost = () => hosts.random() < 0.2 }
]

function chooseItem<Item> (hosts: StandInHosts, items: readonly Item[]): Item {
  return items[Math.floor(hosts.random() * items.length)]!
}

for (const seed of SEEDS) {
  test(`after random faults end, all live hosts see each other alive and no killed host alive (seed ${seed})`, async (context) => {
    const hosts = await startHosts(context, 4, 3, seed)
    for (let round = 0; round < FAULT_ROUNDS; round++) {
      chooseItem(hosts, FAULTS)(hosts, chooseItem(hosts, hosts.names), chooseItem(hosts, hosts.names))
      chooseItem(hosts, FAULTS)(hosts, chooseItem(hosts, hosts.names), chooseItem(hosts, hosts.names))
      await advance(context, Math.floor(hosts.random() * 2500))
    }
    for (const name of hosts.names) hosts.network.resume(name)
    hosts.network.heal()
    hosts.network.isLost = () => false
    await advance(context, SETTLE_MILLISECONDS)
    assert.deepEqual(hosts.listWrongStatesOfKnownHosts(), [])
  })
}
