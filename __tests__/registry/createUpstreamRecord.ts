import { UpstreamReadiness, type UpstreamRecord } from '../../src/registry/UpstreamRecord.js'

/** @returns the record of a ready upstream, with the given fields replaced */
export function createUpstreamRecord (overrides: Partial<UpstreamRecord> = {}): UpstreamRecord {
  return {
    id: 'i-1',
    bornAt: 1_000,
    sequence: 1,
    service: 'inventario',
    address: '127.0.0.9:8080',
    domain: 'oviedo',
    slots: 4,
    readiness: UpstreamReadiness.Ready,
    coldMilliseconds: 0,
    ...overrides
  }
}
