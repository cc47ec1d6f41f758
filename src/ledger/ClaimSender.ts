import type { Counters } from '../observe/Counters.js'
import type { CallPeer } from '../transport/CallPeer.js'
import { PeerMethod } from '../types/PeerMethod.js'
import { ClaimResult } from './ClaimLedger.js'
import { decideClaim, type ClaimDecision } from './decideClaim.js'
import { ClaimVerdict, type ClaimParameters, type ClaimReply, type UpdateParameters, type UpdateReply } from './LedgerMessages.js'
import type { LedgerTimings } from './LedgerTimings.js'
import { pauseUnreferenced } from './pauseUnreferenced.js'
import { quorumSize } from './quorumSize.js'

/** Results that need no further replies. */
const DECISIVE_RESULTS = [ClaimResult.Granted, ClaimResult.Answered, ClaimResult.Sealed, ClaimResult.Conflict]
const RETRY_DELAY_MILLISECONDS = 200
const MAXIMUM_BACKGROUND_UPDATES = 1_000

/** Result of one attempt of a claim. */
export interface ClaimAttempt {
  decision: ClaimDecision
  /** Hosts that hold the claim, or may come to hold it. */
  holders: string[]
}

/** Sends claims and their outcomes to the ledger hosts of a failure domain. */
export class ClaimSender {
  readonly #callPeer: CallPeer
  readonly #counters: Counters
  readonly #timings: LedgerTimings
  #backgroundUpdates = 0

  /**
   * @param callPeer - calls a ledger host
   * @param counters - count retried, continued and abandoned updates
   * @param timings - timeouts of calls and updates
   */
  constructor (callPeer: CallPeer, counters: Counters, timings: LedgerTimings) {
    this.#callPeer = callPeer
    this.#counters = counters
    this.#timings = timings
  }

  /**
   * Sends a claim once to all hosts, and decides as soon as the replies allow it.
   *
   * @param hosts - ledger hosts of the key's failure domain
   * @param parameters - the claim
   * @returns the decision, and the hosts at which the claim must be released if it is not granted
   */
  async claim (hosts: string[], parameters: ClaimParameters): Promise<ClaimAttempt> {
    const replies = new Map<string, ClaimReply>()
    const decide = (): ClaimDecision => decideClaim([...replies.values()], parameters.bodyDigest, hosts.length)
    const listHolders = (): string[] => hosts.filter((host) => (replies.get(host)?.verdict ?? ClaimVerdict.Acknowledged) === ClaimVerdict.Acknowledged)
    const calls = hosts.map((host) => this.#callPeer<ClaimReply>(host, PeerMethod.LedgerClaim, parameters, this.#timings.callMilliseconds)
      .then((reply) => { replies.set(host, { ...reply, member: host }) }, () => {}))
    return await new Promise<ClaimAttempt>((resolve) => {
      const finish = (): void => { resolve({ decision: decide(), holders: listHolders() }) }
      const finishIfDecided = (): void => { if (DECISIVE_RESULTS.includes(decide().result as ClaimResult)) finish() }
      Promise.all(calls.map((call) => call.then(finishIfDecided))).then(finish, finish)
    })
  }

  /**
   * Sends the outcome of a claim to all hosts. Returns when enough of them stored it, by default a majority, or after a
   * limited time; it is then sent again in the background for a while.
   *
   * @param hosts - ledger hosts that receive the outcome
   * @param parameters - the claim and its outcome
   * @param requiredCount - number of hosts that have to store the outcome before it is no longer sent
   */
  async update (hosts: string[], parameters: UpdateParameters, requiredCount = quorumSize(hosts.length)): Promise<void> {
    const stored = new Set<string>()
    const settled = new Promise<void>((resolve) => {
      const onProgress = (): void => { if (stored.size >= requiredCount) resolve() }
      this.#sendUntilStored(hosts, parameters, requiredCount, stored, onProgress).then(resolve, resolve)
    })
    await Promise.race([settled, pauseUnreferenced(this.#timings.completeMilliseconds)])
    if (stored.size < requiredCount) this.#counters.increment('ledger.update.continued')
  }

  async #sendUntilStored (hosts: string[], parameters: UpdateParameters, requiredCount: number, stored: Set<string>, onProgress: () => void): Promise<void> {
    const deadline = performance.now() + this.#timings.updateRetryMilliseconds
    await this.#sendOnce(hosts, parameters, stored, onProgress)
    if (stored.size >= requiredCount || this.#backgroundUpdates >= MAXIMUM_BACKGROUND_UPDATES) return
    this.#backgroundUpdates += 1
    while (stored.size < requiredCount && performance.now() < deadline) {
      await pauseUnreferenced(RETRY_DELAY_MILLISECONDS)
      this.#counters.increment('ledger.retry.update')
      await this.#sendOnce(hosts.filter((host) => !stored.has(host)), parameters, stored, onProgress)
    }
    this.#backgroundUpdates -= 1
    if (stored.size < requiredCount) this.#counters.increment('ledger.update.abandoned')
  }

  async #sendOnce (hosts: string[], parameters: UpdateParameters, stored: Set<string>, onProgress: () => void): Promise<void> {
    await Promise.all(hosts.map(async (host) => {
      const reply = await this.#callPeer<UpdateReply>(host, PeerMethod.LedgerUpdate, parameters, this.#timings.callMilliseconds).catch(() => undefined)
      if (reply?.stored === true) stored.add(host)
      onProgress()
    }))
  }
}
