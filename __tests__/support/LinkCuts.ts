/** Simulated network links between hosts, which can be cut separately in each direction. */
export class LinkCuts {
  readonly #cutLinks = new Set<string>()

  /** Cuts the link from one host to another; the opposite direction stays open. */
  cut (from: string, to: string): void {
    this.#cutLinks.add(`${from} ${to}`)
  }

  /** Restores the link from one host to another. */
  mend (from: string, to: string): void {
    this.#cutLinks.delete(`${from} ${to}`)
  }

  /** Partitions two groups of hosts from each other in both directions. */
  split (left: string[], right: string[]): void {
    for (const leftHost of left) {
      for (const rightHost of right) {
        this.cut(leftHost, rightHost)
        this.cut(rightHost, leftHost)
      }
    }
  }

  /** Restores all links. */
  heal (): void {
    this.#cutLinks.clear()
  }

  /** @returns whether messages from one host to another are lost */
  isCut (from: string, to: string): boolean {
    return this.#cutLinks.has(`${from} ${to}`)
  }
}
