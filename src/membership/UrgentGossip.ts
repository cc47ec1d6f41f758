import { PeerMethod } from '../types/PeerMethod.js'
import { composeGossip } from './composeGossip.js'
import type { GossipMessage } from './GossipMessage.js'
import type { MembershipSettings } from './MembershipSettings.js'
import type { MembershipView } from './MembershipView.js'
import { pause, type Pause } from '../utils/pause.js'
import { shuffle } from './shuffle.js'
import { Wakeup } from './Wakeup.js'

const PEERS_PER_BURST = 2
const BURST_INTERVAL_MILLISECONDS = 200

/** Sends changes that affect routing to a few hosts of the local domain at once, without waiting for the next probe. */
export class UrgentGossip {
  readonly #view: MembershipView
  readonly #pause: Pause
  readonly #settings: MembershipSettings
  readonly #wakeup = new Wakeup()

  constructor (view: MembershipView, settings: MembershipSettings) {
    this.#view = view
    this.#pause = settings.pause ?? pause
    this.#settings = settings
  }

  wake (): void {
    this.#wakeup.wake()
  }

  /** Sends urgent changes until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#wakeup.wait(signal)
      while (!signal.aborted && this.#view.queue.hasUrgent() && this.#view.listPeers().length > 0) {
        for (const peer of shuffle(this.#view.listPeers(), this.#settings.random).slice(0, PEERS_PER_BURST)) {
          this.send(peer.host.name, peer.host.peerAddress)
        }
        await this.#pause(BURST_INTERVAL_MILLISECONDS, signal)
      }
    }
  }

  /** Sends a heartbeat with queued changes to one host. A failed call is only counted, as probes detect failed hosts. */
  async send (name: string, address: string): Promise<void> {
    try {
      const message = composeGossip(this.#view, this.#settings.random, name)
      const answer = await this.#settings.callPeer<GossipMessage>(address, PeerMethod.Heartbeat, message, this.#view.timings.exchangeTimeoutMilliseconds)
      this.#view.receive(answer.from, answer.updates, answer.contacts)
    } catch {
      this.#settings.counters.increment('membership.heartbeat-failed')
    }
  }
}
