import type { CapUse, HostIdentity, LinkUse, MemberState, Upstream } from '../hibiscusrelay.js'
import type { Daemon } from './Daemon.js'

/** An upstream as its owner sees it. */
export interface UpstreamStatus {
  service: string
  address: string
  state: string
  slots: number
  running: number
  foreign: number
  granted: boolean
  /** Milliseconds since it was first heard to leave; absent while it stays. */
  sinceLeavingMilliseconds?: number
  /** Milliseconds since it was last given a request; absent before the first. */
  sinceStartMilliseconds?: number
  /** Milliseconds since a request last ended at it; absent before the first. */
  sinceEndMilliseconds?: number
}

/** Another host as this host sees it. */
export interface MemberStatus {
  name: string
  domain: string
  region: string
  state: MemberState
  draining: boolean
  sheetNumber: number
}

/** What operators see of one host. */
export interface HostStatus {
  host: HostIdentity
  incarnation: number
  draining: boolean
  sheet: { number: number, digest: string } | undefined
  /** Requests of guests that this host has not answered yet. */
  inFlight: number
  waiting: number
  upstreams: UpstreamStatus[]
  /** Upstreams that this host gave up last. */
  departed: UpstreamStatus[]
  /** Caps of the own place, and what this host took of them. */
  caps: CapUse[]
  /** Limits of the links that leave the own region, and what this host sent over them. */
  links: LinkUse[]
  members: MemberStatus[]
  controlBytesSent: number
  counters: Record<string, number>
}

/**
 * @param daemon - the host
 * @param isDraining - whether it is stopping
 * @param inFlight - requests of guests not answered yet
 * @param controlBytesSent - bytes of calls to other hosts so far
 */
export function describeStatus (daemon: Daemon, isDraining: boolean, inFlight: number, controlBytesSent: number): HostStatus {
  const sheet = daemon.sheets.getCurrentSheet()
  const pools = daemon.relay.pools.list()
  return {
    host: daemon.settings.host,
    incarnation: daemon.incarnation,
    draining: isDraining,
    sheet: sheet === undefined ? undefined : { number: sheet.number, digest: sheet.digest },
    inFlight,
    waiting: pools.reduce((sum, pool) => sum + pool.waiting, 0),
    upstreams: pools.flatMap((pool) => [...pool.upstreams.values()].map(describeUpstream)),
    departed: daemon.relay.announcements.departed.map(describeUpstream),
    caps: daemon.limits.listCapUse(),
    links: daemon.limits.linkBudgets.listUse(),
    members: daemon.membership.members().map(({ host, state, details }) => ({
      name: host.name, domain: host.domain, region: host.region, state, draining: details.draining, sheetNumber: details.sheetNumber
    })),
    controlBytesSent,
    counters: daemon.counters.snapshot()
  }
}

function describeUpstream (upstream: Upstream): UpstreamStatus {
  const createElapsedField = (name: string, at: number | undefined): object => at === undefined ? {} : { [name]: performance.now() - at }
  return {
    service: upstream.service,
    address: upstream.address,
    state: upstream.state,
    slots: upstream.slots,
    running: upstream.running,
    foreign: upstream.foreign,
    granted: upstream.isGranted(),
    ...createElapsedField('sinceLeavingMilliseconds', upstream.leavingSince),
    ...createElapsedField('sinceStartMilliseconds', upstream.lastStartedAt),
    ...createElapsedField('sinceEndMilliseconds', upstream.lastEndedAt)
  }
}
