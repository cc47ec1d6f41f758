import { Counters } from '../../src/observe/Counters.js'
import { Owner, type OwnerOptions } from '../../src/relay/Owner.js'
import { PoisonGuard } from '../../src/relay/PoisonGuard.js'
import { PoolRegistry } from '../../src/relay/PoolRegistry.js'
import { RetryBudget } from '../../src/relay/RetryBudget.js'
import { Upstream } from '../../src/relay/Upstream.js'
import { createAnnouncement, silentLog } from '../support/createAnnouncement.js'

const SERVICE = 'inventario'
const GRANT_MILLISECONDS = 60_000

/**
 * @param address - address of the upstream
 * @param options - options of the owner that differ from the default
 * @returns an owner whose only upstream returns the identifiers of its requests, and runs one at a time
 */
export function createOwnerFixture (address: string, options: Partial<OwnerOptions> = {}): { owner: Owner, upstream: Upstream, upstreams: Map<string, Upstream> } {
  const pools = new PoolRegistry({ queueLength: 100, cap: { admit: () => true, rate: () => Infinity, recordDemand: () => {} } })
  const upstream = new Upstream(createAnnouncement({ address, slots: 1, connections: 1, echoesRequest: true }))
  upstream.extendGrant(performance.now() + GRANT_MILLISECONDS)
  pools.ensure(SERVICE).upstreams.set(upstream.address, upstream)
  const owner = new Owner({
    pools,
    poison: new PoisonGuard(),
    retryBudget: () => new RetryBudget(0),
    onBroken: async () => {},
    isAlive: async () => true,
    beginSuspect: async () => () => {},
    onCleared: () => {},
    answerBufferBytes: 65_536,
    counters: new Counters(),
    log: silentLog,
    ...options
  })
  return { owner, upstream, upstreams: pools.ensure(SERVICE).upstreams }
}
