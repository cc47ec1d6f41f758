import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request } from 'undici'
import type { AnnouncedUpstream } from './AnnouncedUpstream.js'
import type { AnnouncementAnswer } from './AnnouncementAnswer.js'

const ANSWER_TIMEOUT_MILLISECONDS = 300
const FAILURE_PAUSE_MILLISECONDS = 50
const MAXIMUM_REDIRECTS_WITHOUT_PAUSE = 3

interface Grant {
  /** Name of the host that may dispatch to the upstream. */
  host: string
  /** Monotonic time in milliseconds. */
  expiresAt: number
}

/** Announces one upstream to the hosts and ensures that only one host at a time has a grant to dispatch to it. */
export class AnnouncementClient {
  readonly #upstream: AnnouncedUpstream
  readonly #configuredHosts: string[]
  readonly #identity = randomUUID()
  readonly #agent = new Agent({ connections: 1 })
  readonly #lastAnswersByAddress = new Map<string, AnnouncementAnswer>()
  #hosts: string[]
  #targetAddress: string
  #sequence = 0
  #redirects = 0
  #isLeaving = false
  #isStopped = false
  #grant: Grant | undefined
  #pauseController = new AbortController()

  /**
   * @param upstream - upstream to announce
   * @param hosts - guest addresses of the hosts to announce to first
   */
  constructor (upstream: AnnouncedUpstream, hosts: string[]) {
    this.#upstream = upstream
    this.#configuredHosts = hosts
    this.#hosts = hosts
    this.#targetAddress = hosts[0] ?? ''
  }

  /** Sends announcements until the upstream has left and is drained, or {@link stop} is called. */
  async run (): Promise<void> {
    while (!this.#isStopped) {
      const address = this.#targetAddress
      const answer = await this.#announce(address)
      const pauseMilliseconds = answer === undefined ? this.#selectNextHost() : this.#applyAnswer(address, answer)
      if (this.#isLeaving && answer?.drained === true && this.#upstream.countRunning() === 0) break
      await this.#pause(pauseMilliseconds)
    }
    await this.#agent.destroy()
  }

  /** Announces at once, and from now on, that the upstream leaves. */
  leave (): void {
    this.#isLeaving = true
    this.#pauseController.abort()
  }

  /** Stops all announcements without notifying the hosts. */
  stop (): void {
    this.#isStopped = true
    this.#pauseController.abort()
  }

  async #announce (address: string): Promise<AnnouncementAnswer | undefined> {
    const body = JSON.stringify(this.#composeAnnouncement(address))
    try {
      const { statusCode, body: answer } = await request(`http://${address}/v1/announcements`, {
        method: 'POST',
        dispatcher: this.#agent,
        headers: { 'Content-Type': 'application/json' },
        body,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS)
      })
      const text = await answer.text()
      return statusCode === 200 ? JSON.parse(text) as AnnouncementAnswer : undefined
    } catch {
      return undefined
    }
  }

  #composeAnnouncement (address: string): object {
    this.#sequence += 1
    const load = this.#upstream.readLoad()
    return {
      service: this.#upstream.service,
      address: this.#upstream.address,
      slots: this.#upstream.slots,
      connections: this.#upstream.connections,
      sequence: this.#sequence,
      state: this.#isLeaving ? 'leaving' : 'ready',
      running: this.#upstream.countRunning(),
      identity: this.#identity,
      redirects: this.#redirects,
      echoesRequest: this.#upstream.echoesRequest,
      ...load === undefined ? {} : { load },
      ...this.#composeGrant(address)
    }
  }

  /** Grants the upstream to the host by echoing its stamp, unless a grant to another host has not expired yet. */
  #composeGrant (address: string): object {
    const lastAnswer = this.#lastAnswersByAddress.get(address)
    const now = performance.now()
    const grant = this.#grant
    if (grant !== undefined && grant.expiresAt > now && grant.host !== lastAnswer?.host.name) {
      return { heldBy: { host: grant.host, remainingMilliseconds: Math.ceil(grant.expiresAt - now) } }
    }
    if (lastAnswer === undefined || lastAnswer.owner.name !== lastAnswer.host.name) return {}
    this.#grant = { host: lastAnswer.host.name, expiresAt: now + lastAnswer.leaseMilliseconds }
    return { echo: { host: lastAnswer.host.name, incarnation: lastAnswer.host.incarnation, stamp: lastAnswer.stamp } }
  }

  #applyAnswer (address: string, answer: AnnouncementAnswer): number {
    this.#lastAnswersByAddress.set(address, answer)
    if (answer.hosts.length > 0) this.#hosts = answer.hosts
    if (answer.leave === true && !this.#isLeaving) this.#upstream.onLeaveRequested()
    if (answer.released === true && this.#grant?.host === answer.host.name) this.#grant = undefined
    if (answer.owner.name === answer.host.name) {
      this.#redirects = 0
      return answer.nextAnnouncementMilliseconds
    }
    this.#targetAddress = answer.owner.guestAddress
    this.#redirects += 1
    return this.#redirects > MAXIMUM_REDIRECTS_WITHOUT_PAUSE ? answer.nextAnnouncementMilliseconds : 0
  }

  #selectNextHost (): number {
    const hosts = [...new Set([...this.#hosts, ...this.#configuredHosts])]
    const index = hosts.indexOf(this.#targetAddress)
    this.#targetAddress = hosts[(index + 1) % hosts.length] ?? this.#targetAddress
    return FAILURE_PAUSE_MILLISECONDS
  }

  async #pause (milliseconds: number): Promise<void> {
    if (milliseconds === 0 || this.#isStopped) return
    await sleep(milliseconds, undefined, { signal: this.#pauseController.signal }).catch(() => {})
    if (this.#pauseController.signal.aborted) this.#pauseController = new AbortController()
  }
}
