import { BudgetLeaseHolder } from '../../src/limits/BudgetLeaseHolder.js'
import type { LeaseRequest } from '../../src/limits/LeaseMessages.js'
import { packLeaseAnswer, packLeaseRequest, unpackLeaseRequest } from '../../src/limits/leaseRows.js'
import type { LeaseScope } from '../../src/limits/LeaseScope.js'
import { DEFAULT_LEASE_TIMINGS } from '../../src/limits/LeaseTimings.js'
import { pause } from '../../src/utils/pause.js'
import { Counters } from '../../src/observe/Counters.js'
import { MemberState } from '../../src/types/MemberState.js'
import { makeHost } from './makeHost.js'

const ROUNDS = 20

/** Cost of one lease renewal at the holder, with JSON encoding but without transport. */
export interface LeaseHolderFigures {
  clients: number
  budgets: number
  bytesPerRenewal: number
  processorMicrosecondsPerRenewal: number
}

/**
 * @param clients - hosts that share the budgets
 * @param budgets - number of budgets in the scope; each client requests a lease of every one
 * @returns mean cost of a renewal
 */
export async function measureLeaseHolder (clients: number, budgets: number): Promise<LeaseHolderFigures> {
  const hosts = Array.from({ length: clients }, (_, index) => makeHost(0, index))
  const hostNames = hosts.map((host) => host.name)
  const scope: LeaseScope = { name: 'region:region-0', consumers: hostNames, voters: hostNames.slice(0, 1), isQuorum: () => true }
  const details = { draining: false, sheetNumber: 1, pools: [] }
  const holder = new BudgetLeaseHolder(scope, {
    self: hostNames[0]!,
    scopes: [scope],
    members: () => [{ host: hosts[0]!, state: MemberState.Alive, incarnation: 1, version: 1, details }],
    callPeer: async () => await Promise.reject(new Error('the bench has no peers')),
    registerHandler: () => {},
    log: { info: () => {}, warn: () => {}, error: () => {} },
    counters: new Counters()
  }, { ...DEFAULT_LEASE_TIMINGS, promiseMilliseconds: 60_000, leaseMilliseconds: 10 })
  holder.setBudgets(Array.from({ length: budgets }, (_, index) => ({ name: `region-${index}`, amountPerSecond: 35_000_000, unit: 16_384 })))
  const originalNow = performance.now
  performance.now = () => originalNow.call(performance) + 60_000
  await holder.campaign()
  await pause(50)
  const figures = measureRenewals(holder, hostNames, budgets)
  performance.now = originalNow
  return { clients, budgets, ...figures }
}

function measureRenewals (holder: BudgetLeaseHolder, hostNames: string[], budgets: number): Pick<LeaseHolderFigures, 'bytesPerRenewal' | 'processorMicrosecondsPerRenewal'> {
  const demands = Array.from({ length: budgets }, (_, index) => ({ budget: `region-${index}`, wantedPerSecond: 1_000_000, heldPerSecond: 100_000, lentPerSecond: 0 }))
  const firstRequest: LeaseRequest = { scope: 'region:region-0', client: `${hostNames[0]}:0:0`, serial: 0, term: '', answeredAt: 0, demands }
  const { term } = holder.handleLeaseRequest(firstRequest)
  let bytes = 0
  const processorUsageBefore = process.cpuUsage()
  for (let serial = 1; serial <= ROUNDS; serial++) {
    for (const name of hostNames) {
      const text = JSON.stringify(packLeaseRequest({ ...firstRequest, client: `${name}:1:1`, serial, term }))
      const request = JSON.parse(text) as LeaseRequest
      bytes += text.length + JSON.stringify(packLeaseAnswer(request, holder.handleLeaseRequest(unpackLeaseRequest(request)))).length
    }
  }
  const used = process.cpuUsage(processorUsageBefore)
  const renewals = ROUNDS * hostNames.length
  return { bytesPerRenewal: bytes / renewals, processorMicrosecondsPerRenewal: (used.user + used.system) / renewals }
}
