/** Which ways between stand-in hosts are cut. */
export class LinkCuts {
  readonly #cutLinks = new Set<string>()

  /** Cuts what one host sends to another; the other way stays open. */
  cut (from: string, to: string): void {
    this.#cutLinks.add(`${from} ${to}`)
  }

  /** Cuts two groups of hosts from each other, both ways. */
  split (left: string[], right: string[]): void {
    for (const leftHost of left) {
      for (const rightHost of right) {
        this.cut(leftHost, rightHost)
        this.cut(rightHost, leftHost)
      }
    }
  }

  /** Opens all ways again. */
  heal (): void {
    this.#cutLinks.clear()
  }

  /** @returns whether what one host sends to another is lost */
  isCut (from: string, to: string): boolean {
    return this.#cutLinks.has(`${from} ${to}`)
  }
}
