import { EntryHostOrder, type HostIdentity, type LookupAnswer, type LookupQuestion, type Membership, type TimingSettings } from '../hibiscusrelay.js'

/** Sources of the answers to lookups. */
export interface LookupSources {
  self: HostIdentity
  membership: Membership
  ticketPrefix: () => string | undefined
  timings: TimingSettings
}

/** Creates the function that answers lookups of entry hosts. */
export function createLookup (sources: LookupSources): (question: LookupQuestion) => LookupAnswer {
  const entryHostOrder = new EntryHostOrder()
  return ({ sheet, service, place, address }) => {
    const { hosts, lifetimeSeconds } = entryHostOrder.order({
      sheet,
      service,
      guestPlace: place,
      self: sources.self,
      members: sources.membership.members(),
      key: address,
      lifetimeSeconds: sources.timings.lookupLifetimeSeconds
    })
    return { service, place, hosts, lifetimeSeconds, ticket: sources.ticketPrefix() }
  }
}
