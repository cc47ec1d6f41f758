import type { LookupHost } from '../guest/LookupAnswer.js'
import { EntryHostIndex } from './EntryHostIndex.js'
import type { EntryHostQuery } from './EntryHostQuery.js'
import type { DomainLocation } from './Tier.js'

const DEGRADED_LIFETIME_SECONDS = 1

/** Entry hosts for a guest, and how long the guest may use the list. */
export interface EntryHostList {
  /** Hosts in the order in which to try them. Those of the nearest tier share the requests; later ones have weight 0. */
  hosts: LookupHost[]
  lifetimeSeconds: number
}

/**
 * Orders the entry hosts for a guest: first its failure domain, then its region, then the others. Hosts that are
 * stopping, suspected or dead, and those of draining places, are absent unless no other is left.
 *
 * @param query - the guest, the members and the sheet
 * @param index - index of the query's members and sheet; created if absent
 * @returns at most four hosts of each tier; a short lifetime while the guest's failure domain is open but none of its hosts is usable
 */
export function orderEntryHosts (query: EntryHostQuery, index = new EntryHostIndex(query.members, query.sheet)): EntryHostList {
  const home = locateHome(query)
  const maximumLifetimeSeconds = index.isDegraded(home.domain) ? DEGRADED_LIFETIME_SECONDS : Infinity
  return { hosts: index.order(home, query.key), lifetimeSeconds: Math.min(maximumLifetimeSeconds, query.lifetimeSeconds) }
}

function locateHome ({ sheet, guestPlace, self }: EntryHostQuery): DomainLocation {
  const place = guestPlace === undefined ? undefined : sheet.places.get(guestPlace)
  return place === undefined ? self : { domain: place.failureDomain, region: place.region }
}
