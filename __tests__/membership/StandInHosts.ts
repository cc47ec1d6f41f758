import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { GossipMembership } from '../../src/membership/GossipMembership.js'
import { pause } from '../../src/utils/pause.js'
import type { MembershipTimings } from '../../src/membership/MembershipTimings.js'
import { Counters } from '../../src/observe/Counters.js'
import type { Log } from '../../src/observe/Log.js'
import type { HostIdentity } from '../../src/types/HostIdentity.js'
import { MemberState } from '../../src/types/MemberState.js'
import { MemoryNetwork } from './MemoryNetwork.js'

const SILENT_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} }

/** Hosts on a {@link MemoryNetwork}, in failure domains of equal size, two domains per region. */
export class StandInHosts {
  readonly network = new MemoryNetwork()
  readonly counters = new Counters()
  readonly identities: HostIdentity[] = []
  readonly membershipsByName = new Map<string, GossipMembership>()
  readonly random: () => number
  /** Time by which all hosts run their timers late. */
  timerLagMilliseconds = 0
  readonly #timings: Partial<MembershipTimings>

  constructor (domainCount: number, hostsPerDomain: number, seed: number, timings: Partial<MembershipTimings> = {}) {
    this.random = makeRandom(seed)
    this.#timings = timings
    for (let index = 0; index < domainCount * hostsPerDomain; index++) {
      const domain = Math.floor(index / hostsPerDomain)
      const name = `d${domain}-${index % hostsPerDomain}`
      this.identities.push({ name, domain: `d${domain}`, region: `r${domain >> 1}`, peerAddress: name, guestAddress: `${name}:80` })
    }
  }

  get names (): string[] {
    return this.identities.map((identity) => identity.name)
  }

  listDomainNames (domain: string): string[] {
    return this.identities.filter((identity) => identity.domain === domain).map((identity) => identity.name)
  }

  /** Starts the named hosts, by default all; a host that was killed starts a new run. */
  start (names = this.names): void {
    for (const self of this.identities.filter((identity) => names.includes(identity.name))) {
      const membership = new GossipMembership({
        self,
        seeds: this.names,
        callPeer: this.network.callPeer(self.name),
        registerHandler: this.network.registerHandler(self.name),
        random: this.random,
        log: SILENT_LOG,
        counters: this.counters,
        timings: this.#timings,
        pause: async (milliseconds, signal) => {
          await pause(milliseconds + this.timerLagMilliseconds, signal)
          await this.network.waitWhileStalled(self.name)
        }
      })
      this.membershipsByName.set(self.name, membership)
      membership.start()
    }
  }

  /** Kills a host, which cannot announce that it leaves. */
  kill (name: string): void {
    this.network.kill(name)
    this.membershipsByName.get(name)?.stop()
    this.membershipsByName.delete(name)
  }

  stop (): void {
    for (const membership of this.membershipsByName.values()) membership.stop()
  }

  /** @returns the state of host `name` as seen by host `viewer`; undefined when the viewer does not know the host */
  getState (viewer: string, name: string): MemberState | undefined {
    return this.membershipsByName.get(viewer)?.members().find((member) => member.host.name === name)?.state
  }

  /** @returns descriptions of the pairs of hosts of which the first, a viewer, does not see the second in the expected state */
  listMismatches (expected: (name: string) => MemberState | undefined, viewers = [...this.membershipsByName.keys()]): string[] {
    return viewers.flatMap((viewer) => this.names
      .filter((name) => this.getState(viewer, name) !== expected(name))
      .map((name) => `${viewer} sees ${name} ${this.getState(viewer, name)}`))
  }

  /** @returns the mismatches with the actual states: a running host not seen alive, or a killed host not seen dead */
  listWrongStates (): string[] {
    return this.listMismatches((name) => this.membershipsByName.has(name) ? MemberState.Alive : MemberState.Dead)
  }

  /** @returns as {@link listWrongStates}, but a host that was killed may also be unknown to hosts that started later */
  listWrongStatesOfKnownHosts (): string[] {
    const isKilled = (name: string): boolean => !this.membershipsByName.has(name)
    return this.listWrongStates().filter((mismatch) => !this.names.some((name) => isKilled(name) && mismatch.endsWith(`sees ${name} undefined`)))
  }
}

/** @returns a reproducible generator of numbers from 0 (inclusive) to 1 (exclusive) */
export function makeRandom (seed: number): () => number {
  const generator = xorshift128plus(seed)
  return () => (generator.next() >>> 0) / 0x100000000
}
