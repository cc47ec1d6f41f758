// Measures the processor time of a look-up over HTTP on loopback, with guest and host in one process, and of the choice of an owner.
import { readFileSync } from 'node:fs'
import { Pool } from 'undici'
import { createLookup } from '../src/daemon/createLookup.js'
import { Counters, GuestInterface, HeldAmount, HttpListener, MemberState, OwnerChooser, parseSheet, StopWindow, type AnnouncementHandler, type HostIdentity, type Ingress, type Member, type Membership } from '../src/hibiscusrelay.js'

const ADDRESS = '127.79.0.1:7000'
const WARM_UP_LOOKUPS = 2_000
const MEASURED_LOOKUPS = 10_000
const CONCURRENT_LOOKUPS = 16
const WARM_UP_CHOICES = 200
const MEASURED_CHOICES = 2_000
const HOSTS_PER_OWNER = 10
const DOMAINS = ['oviedo', 'gijon', 'santander', 'torrelavega', 'bilbao', 'donostia']
const REGIONS = ['asturias', 'asturias', 'cantabria', 'cantabria', 'euskadi', 'euskadi']
const TIMINGS = { defaultDeadlineMilliseconds: 5000, maximumDeadlineMilliseconds: 30000, announcementMilliseconds: 250, leaseMilliseconds: 1000, lookupLifetimeSeconds: 3, stopDeadlineMilliseconds: 1000 }
const LIMITS = { requestBodyBytes: 1024, headerBytes: 16384, answerBufferBytes: 1024, sheetBytes: 1024, queueLength: 1, retryPercent: 10, maximumHostClockDifferenceMilliseconds: 0 }

/**
 * @param hosts - number of hosts that the answering host knows
 * @returns processor time of one look-up for both ends together, in microseconds
 */
export async function measureLookups (hosts: number): Promise<number> {
  const listener = createListener(hosts)
  await listener.open()
  const pool = new Pool(`http://${ADDRESS}`, { connections: CONCURRENT_LOOKUPS })
  await sendLookups(pool, WARM_UP_LOOKUPS)
  const before = process.cpuUsage()
  await sendLookups(pool, MEASURED_LOOKUPS)
  const used = process.cpuUsage(before)
  await pool.close()
  await listener.closeWithin(0)
  listener.destroy()
  return (used.user + used.system) / MEASURED_LOOKUPS
}

function createListener (hosts: number): HttpListener {
  const members = Array.from({ length: hosts }, (_, index) => createMember(index))
  const { sheet } = parseSheet(readFileSync('examples/megafonia/sheet-1.csv'))
  const membership = { members: () => members } as unknown as Membership
  const guests = new GuestInterface({
    bodies: { large: new HeldAmount(1_000_000) },
    ingress: {} as Ingress,
    stopWindow: new StopWindow(),
    announcements: {} as AnnouncementHandler,
    currentSheet: () => sheet,
    lookup: createLookup({ self: members[0]!.host, membership, ticketPrefix: () => 'oviedo.epoch', timings: TIMINGS }),
    ticketPrefix: () => 'oviedo.epoch',
    limits: LIMITS,
    timings: TIMINGS,
    counters: new Counters(),
    log: { info: () => {}, warn: () => {}, error: () => {} }
  })
  return new HttpListener({ address: ADDRESS, headerBytes: LIMITS.headerBytes, handle: (request, response) => guests.handle(request, response), onMalformed: (status) => guests.refuseMalformed(status) })
}

function createMember (index: number, isOwner = false): Member {
  const domain = index % DOMAINS.length
  const host: HostIdentity = { name: `host-${index}`, domain: DOMAINS[domain]!, region: REGIONS[domain]!, peerAddress: `127.0.0.1:${index}`, guestAddress: `127.0.0.1:${index}` }
  return { host, state: MemberState.Alive, incarnation: 1, version: 1, details: { draining: false, sheetNumber: 1, pools: isOwner ? [{ service: 'inventario', upstreams: 1, slots: 6, freeSlots: 6 }] : [] } }
}

async function sendLookups (pool: Pool, count: number): Promise<void> {
  let remaining = count
  const sendUntilDone = async (): Promise<void> => {
    while (remaining-- > 0) {
      const answer = await pool.request({ path: '/v1/lookup?service=inventario', method: 'GET' })
      await answer.body.dump()
    }
  }
  await Promise.all(Array.from({ length: CONCURRENT_LOOKUPS }, sendUntilDone))
}

/**
 * @param hosts - number of hosts that the choosing host knows; one in ten, but at least one in each failure domain, is an owner
 * @returns processor time of one choice of an owner, in microseconds
 */
export function measureChoices (hosts: number): number {
  const members = Array.from({ length: hosts }, (_, index) => createMember(index, index < Math.max(DOMAINS.length, hosts / HOSTS_PER_OWNER)))
  const { sheet } = parseSheet(readFileSync('examples/megafonia/sheet-1.csv'))
  const chooser = new OwnerChooser({ self: members[0]!.host, members: () => members, currentSheet: () => sheet, random: () => 0.5 })
  chooser.apply(sheet!)
  chooser.applyMemberUpdates()
  const choose = (): void => chooser.choose({ service: 'inventario', guestPlace: undefined, full: new Set(), excluded: new Set() })?.settle(undefined)
  for (let choice = 0; choice < WARM_UP_CHOICES; choice++) choose()
  const before = process.cpuUsage()
  for (let choice = 0; choice < MEASURED_CHOICES; choice++) choose()
  const used = process.cpuUsage(before)
  return (used.user + used.system) / MEASURED_CHOICES
}

for (const hosts of [16, 64, 256, 1024, 3200]) {
  console.log(`${hosts} hosts known: ${(await measureLookups(hosts)).toFixed(0)} microseconds of processor time for a look-up, both ends together; ${measureChoices(hosts).toFixed(1)} for a choice of an owner`)
}
