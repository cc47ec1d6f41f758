// Embeds the budget leases in a program: two hosts of one region share a budget of outgoing calls per second.
import { setTimeout as sleep } from 'node:timers/promises'
import { BudgetLeases, Counters, makeRegionScope, MemberState, type HostIdentity, type Member } from '../../src/hibiscusrelay.js'
import { MemoryPeers } from './MemoryPeers.js'

const SILENT_LOG = { info: () => {}, warn: () => {}, error: () => {} }
const REGION = 'north'
const BUDGET = { name: 'calls', amountPerSecond: 100, unit: 1 }
const SPEND_INTERVAL_MILLISECONDS = 5
const HOSTS: HostIdentity[] = ['a', 'b'].map((name) => ({ name, domain: name, region: REGION, peerAddress: `${name}:1`, guestAddress: `${name}:2` }))

/**
 * Lets one host spend as much of the shared budget as it is granted while the other host spends nothing.
 *
 * @param seconds - duration in seconds
 * @returns the amounts spent in each second
 */
export async function spendBudget (seconds: number): Promise<number[]> {
  const peers = new MemoryPeers()
  const members: Member[] = HOSTS.map((host) => ({ host, state: MemberState.Alive, incarnation: 1, version: 1, details: { draining: false, sheetNumber: 0, pools: [] } }))
  const scope = makeRegionScope(REGION, HOSTS)
  const leasesOfHosts = HOSTS.map(({ name, peerAddress }) => new BudgetLeases({
    self: name, scopes: [scope], members: () => members, callPeer: peers.callPeer, registerHandler: peers.registerAt(peerAddress), counters: new Counters(), log: SILENT_LOG
  }))
  for (const hostLeases of leasesOfHosts) {
    hostLeases.setBudgets(scope.name, [BUDGET])
    hostLeases.start()
  }
  const spent: number[] = []
  for (let second = 0; second < seconds; second += 1) spent.push(await spendOneSecond(leasesOfHosts[0]!, scope.name))
  for (const hostLeases of leasesOfHosts) await hostLeases.leave()
  return spent
}

async function spendOneSecond (hostLeases: BudgetLeases, scope: string): Promise<number> {
  const endsAt = performance.now() + 1000
  let spent = 0
  while (performance.now() < endsAt) {
    while (hostLeases.trySpend(scope, BUDGET.name, 1)) spent += 1
    await sleep(SPEND_INTERVAL_MILLISECONDS)
  }
  return spent
}
