/**
 * Measures the traffic, processor time and memory that control takes on a host at several sizes.
 * Prints the figures of docs/CAPACITY.md.
 * Run: `node build/__performance_tests__/capacity/main.js`
 */
import { measureGuestBlockTable } from '../guestBlockTable.js'
import { fitSlope } from '../support/fitSlope.js'
import { measureFullSizeHost, type FullSizeFigures } from './measureFullSizeHost.js'
import { measureGossip, type GossipFigures } from './measureGossip.js'
import { measureLeaseHolder } from './measureLeaseHolder.js'
import { measureMemberTable } from './measureMemberTable.js'
import { measurePeerCall } from './measurePeerCall.js'

const GOSSIP_SIZES = [
  { domains: 6, hostsPerDomain: 3 },
  { domains: 6, hostsPerDomain: 12 },
  { domains: 6, hostsPerDomain: 24 },
  { domains: 12, hostsPerDomain: 6 },
  { domains: 24, hostsPerDomain: 6 }
]
const FULL_SIZES = [
  { domains: 11, hostsPerDomain: 18 },
  { domains: 22, hostsPerDomain: 36 },
  { domains: 44, hostsPerDomain: 73 }
]
const TABLE_SIZES = [200, 800, 3200]
const CHANGES_PER_SECOND = 2
const LEASE_SIZES = [
  { clients: 16, budgets: 2 },
  { clients: 64, budgets: 6 },
  { clients: 178, budgets: 17 }
]
const CALL_BODY_BYTES = [600, 3000]

console.log('## Hosts in one process')
const gossipFigures: GossipFigures[] = []
for (const { domains, hostsPerDomain } of GOSSIP_SIZES) {
  gossipFigures.push(await measureGossip(domains, hostsPerDomain))
  console.log(JSON.stringify(gossipFigures.at(-1)))
}
const sixDomainFigures = gossipFigures.filter((figures) => figures.domains === 6)
console.log(`bytes per second and further host, six domains: ${fitSlope(sixDomainFigures.map((figures) => ({ x: figures.hosts, y: figures.meanBytesPerSecond })))}`)
const sixHostsPerDomainFigures = gossipFigures.filter((figures) => figures.hosts === figures.domains * 6)
console.log(`bytes per second and further domain, six hosts each: ${fitSlope(sixHostsPerDomainFigures.map((figures) => ({ x: figures.domains, y: figures.meanBytesPerSecond })))}`)

console.log('## One host with the view of a whole system')
const fullSizeFigures: FullSizeFigures[] = []
for (const { domains, hostsPerDomain } of FULL_SIZES) {
  fullSizeFigures.push(await measureFullSizeHost(domains, hostsPerDomain, CHANGES_PER_SECOND))
  console.log(JSON.stringify(fullSizeFigures.at(-1)))
}

console.log('## Memory of a view')
const tableFigures = TABLE_SIZES.map((hosts) => measureMemberTable(hosts))
for (const figures of tableFigures) console.log(JSON.stringify(figures))
console.log(`bytes held per further host: ${fitSlope(tableFigures.map((figures) => ({ x: figures.hosts, y: figures.heldBytes })))}`)

console.log('## Calls between hosts over HTTP')
for (const bytes of CALL_BODY_BYTES) console.log(JSON.stringify(await measurePeerCall(bytes)))

console.log('## Renewals at the holder of budgets')
for (const { clients, budgets } of LEASE_SIZES) console.log(JSON.stringify(await measureLeaseHolder(clients, budgets)))

console.log('## Guest block table')
console.log(JSON.stringify(measureGuestBlockTable()))
