import type { CapUse, HostIdentity, LinkUse, MemberState, Upstream } from '../hibiscusrelay.js'
import type { Daemon } from './Daemon.js'

/** State of an upstream as seen by its owner. */
export interface UpstreamStatus {
  service: string
  address: string
  state: string
  slots: number
  running: number
  foreign: number
  granted: boolean
  /** Milliseconds since the upstream first announced that it leaves; absent before. */
  sinceLeavingMilliseconds?: number
  /** Milliseconds since the last request was dispatched to the upstream; absent before the first. */
  sinceStartMilliseconds?: number
  /** Milliseconds since the last request ended at the upstream; absent before the first. */
  sinceEndMilliseconds?: number
}

/** State of a host as seen by this host. */
export interface MemberStatus {
  name: string
  domain: string
  region: string
  state: MemberState
  draining: boolean
  sheetNumber: number
}

/** State of one host for operators. */
export interface HostStatus {
  host: HostIdentity
  incarnation: number
  draining: boolean
  sheet: { number: number, digest: string } | undefined
  /** Number of guest requests that this host has not answered yet. */
  inFlight: number
  waiting: number
  upstreams: UpstreamStatus[]
  /** Upstreams that this host released or removed most recently. */
  departed: UpstreamStatus[]
  /** Caps of the local place and their use by this host. */
  caps: CapUse[]
  /** Limits of the links that leave the local region, and the traffic that this host sent over them. */
  links: LinkUse[]
  members: MemberStatus[]
  controlBytesSent: number
  counters: Record<string, number>
}

/**
 * Collects the state of a host for operators.
 *
 * @param daemon - components of the host
 * @param isDraining - whether the host is stopping
 * @param inFlight - number of guest requests not answered yet
 * @param controlBytesSent - bytes of call bodies sent to other hosts since the start
 * @returns the current state
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
