import { createHmac } from 'node:crypto'
import { chooseLedgerHosts, DEFAULT_LEDGER_LIMITS, LedgerMember, QuorumLedger, type Counters, type HostIdentity, type Log, type Settings, type HostTransport } from '../hibiscusrelay.js'

const LEAVE_TIMEOUT_MILLISECONDS = 5_000

/** Ledger components of one host: the claims for the guests that it serves, and a ledger member if it is a ledger host. */
export class HostLedger {
  readonly claimLedger: QuorumLedger
  readonly member: LedgerMember | undefined

  /**
   * @param settings - hosts of the system, key that signs the tickets, and deadlines
   * @param transport - calls to and from other hosts
   * @param counters - counts claims
   * @param log - receives the events of the ledger
   */
  constructor (settings: Settings, transport: HostTransport, counters: Counters, log: Log) {
    const { host } = settings
    const hosts: HostIdentity[] = [host, ...settings.peers]
    const ledgerHosts = chooseLedgerHosts(hosts, host.domain)
    const { maximumDeadlineMilliseconds } = settings.timings
    const timings = { dispatchMilliseconds: maximumDeadlineMilliseconds, runMilliseconds: 2 * maximumDeadlineMilliseconds }
    const sharedOptions = { self: host.peerAddress, domain: host.domain, callPeer: transport.callPeer, random: Math.random, counters, log, timings }
    this.claimLedger = new QuorumLedger({
      ...sharedOptions,
      ledgerHostsOf: (domain) => chooseLedgerHosts(hosts, domain),
      sign: (text) => createHmac('sha256', settings.peerKey).update(`ticket\n${text}`).digest('base64url')
    })
    if (!ledgerHosts.includes(host.peerAddress)) return
    this.member = new LedgerMember({ ...sharedOptions, hosts: ledgerHosts, limits: { ...DEFAULT_LEDGER_LIMITS, clockDifferenceMilliseconds: settings.limits.maximumHostClockDifferenceMilliseconds }, registerHandler: transport.registerHandler })
  }

  /** Starts the ledger member, if there is one, and the checks for a quorum. */
  start (): void {
    this.member?.start()
    this.claimLedger.start()
  }

  /** Hands the records over to the other ledger hosts, then stops. */
  async leave (): Promise<void> {
    this.claimLedger.stop()
    await this.member?.leave(LEAVE_TIMEOUT_MILLISECONDS)
    this.member?.stop()
  }
}
