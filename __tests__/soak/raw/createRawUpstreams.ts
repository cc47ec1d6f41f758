import { DOMAINS, type SoakSystem } from '../SoakSystem.js'
import type { RawRecord } from './RawRecord.js'
import { RAW_SERVICES } from './rawRoutes.js'
import { RawUpstream } from './RawUpstream.js'

const UPSTREAMS_PER_SERVICE = 3

/**
 * @param system - hosts to announce them to
 * @param record - receives their runs
 * @param seed - seed of the run
 * @param isEndless - whether one more upstream of each service answers without end
 * @returns the upstreams of raw guests, in different failure domains
 */
export function createRawUpstreams (system: SoakSystem, record: RawRecord, seed: number, isEndless: boolean): RawUpstream[] {
  const listControlAddresses = (): string[] => system.controlHosts.map((_, number) => system.getControlAddress(number))
  return RAW_SERVICES.flatMap((service, index) => Array.from({ length: UPSTREAMS_PER_SERVICE + Number(isEndless) }, (_, number) => {
    const options = { id: `${service}-${number}`, service, domain: DOMAINS[(index + 2 * number) % DOMAINS.length]!, listControlAddresses }
    return new RawUpstream(options, record, seed, UPSTREAMS_PER_SERVICE * index + number, number === UPSTREAMS_PER_SERVICE)
  }))
}
