import { DOMAINS, type SoakSystem } from '../SoakSystem.js'
import type { UpstreamLife } from '../UpstreamLife.js'
import { RawGuests } from './RawGuests.js'
import type { RawRecord } from './RawRecord.js'
import { RAW_SERVICES } from './rawRoutes.js'
import { RawUpstream } from './RawUpstream.js'

const UPSTREAMS_PER_SERVICE = 3

/** Raw guests and raw upstreams of a run; none of them without guests. */
export class RawPlay {
  readonly #upstreams: RawUpstream[]
  readonly #guests: RawGuests

  /**
   * @param system - the hosts
   * @param record - receives what guests and upstreams see
   * @param seed - seed of the run
   * @param guests - number of guests
   */
  constructor (system: SoakSystem, record: RawRecord, seed: number, guests: number) {
    const listControlAddresses = (): string[] => system.controlHosts.map((_, number) => system.getControlAddress(number))
    const count = guests > 0 ? UPSTREAMS_PER_SERVICE : 0
    this.#upstreams = RAW_SERVICES.flatMap((service, index) => Array.from({ length: count }, (_, number) => new RawUpstream({
      id: `${service}-${number}`,
      service,
      domain: DOMAINS[index + 2 * number]!,
      listControlAddresses
    }, record, seed, count * index + number)))
    this.#guests = new RawGuests(system, record, seed, guests)
  }

  get lives (): UpstreamLife[] {
    return this.#upstreams.map(({ life }) => life)
  }

  /** Lets the upstreams listen and announce themselves. */
  async open (): Promise<void> {
    await Promise.all(this.#upstreams.map((upstream) => upstream.open()))
  }

  /** Lets the guests send requests until they are stopped. */
  async run (): Promise<void> {
    await this.#guests.run()
  }

  /** Makes the present requests of the guests the last ones. */
  stop (): void {
    this.#guests.stop()
  }

  /** Ends the upstreams. */
  close (): void {
    for (const upstream of this.#upstreams) upstream.close()
  }
}
