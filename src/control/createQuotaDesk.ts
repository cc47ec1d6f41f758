import { DEFAULT_QUOTA_BOUNDS } from '../quota/QuotaBounds.js'
import { QuotaDesk } from '../quota/QuotaDesk.js'
import type { ControlHost } from '../registry/ControlHost.js'
import type { ControlHostOptions } from './ControlHostOptions.js'
import type { ControlHostTable } from './ControlHostTable.js'

/** Control hosts of other regions send a message each second; two of them may be lost or late. */
const MAXIMUM_SILENCE_MILLISECONDS = 2_500

/**
 * @param options - settings, transport, counters and log of the control host
 * @param controlHosts - the other control hosts
 * @param describeSelf - returns address and location of this control host
 * @returns the desk that grants tokens for requests of client accounts
 */
export function createQuotaDesk ({ settings, callPeer, registerHandler, counters, log }: ControlHostOptions, controlHosts: ControlHostTable, describeSelf: () => ControlHost): QuotaDesk {
  return new QuotaDesk({
    domain: settings().domain,
    listDomains: () => {
      const { domain, regions } = settings()
      return [...new Set([domain, ...regions?.keys() ?? []])].sort()
    },
    listControlHosts: () => [describeSelf(), ...controlHosts.listRecent(MAXIMUM_SILENCE_MILLISECONDS)],
    bounds: () => settings().quotaBounds ?? DEFAULT_QUOTA_BOUNDS,
    callPeer,
    registerHandler,
    counters,
    log
  })
}
