import type { SheetInForce } from '../sheets/SheetInForce.js'
import { composeDelta } from './composeDelta.js'
import type { DeltaBase, DeltaPiece, SheetDelta } from './SheetDelta.js'

const MAXIMUM_DELTAS = 64
const MAXIMUM_DELTA_CHARACTERS = 256 * 1024
const COPY_PIECE_CHARACTERS = 24

/** The deltas that lead to the sheet in force, for hosts that have an earlier sheet. */
export class DeltaHistory {
  #deltas: SheetDelta[] = []

  /**
   * Records the change from one sheet to the next, and discards the oldest deltas beyond the limits.
   *
   * @param before - sheet that was in force, undefined for none
   * @param after - sheet that is in force now
   * @param received - deltas by which it was received; recorded in place of a new delta if they lead from `before` to `after`
   */
  add (before: SheetInForce | undefined, after: SheetInForce, received: readonly SheetDelta[] = []): void {
    if (before === undefined) return
    const isContinuous = received[0]?.base.digest === before.digest && received.at(-1)?.revision === after.revision
    this.#deltas.push(...isContinuous ? received : [createDelta(before, after)])
    while (this.#deltas.length > MAXIMUM_DELTAS || countCharacters(this.#deltas) > MAXIMUM_DELTA_CHARACTERS) this.#deltas.shift()
  }

  /**
   * @param base - sheet that another host has
   * @param maximumCharacters - total length from which on sending the full sheet is better
   * @returns deltas from the base to the sheet in force, undefined when they are not retained or too long
   */
  listSince (base: DeltaBase, maximumCharacters: number): SheetDelta[] | undefined {
    const firstIndex = this.#deltas.findIndex((delta) => delta.base.revision === base.revision && delta.base.digest === base.digest)
    if (firstIndex < 0) return undefined
    const deltas = this.#deltas.slice(firstIndex)
    return countCharacters(deltas) < maximumCharacters ? deltas : undefined
  }
}

function createDelta (before: SheetInForce, after: SheetInForce): SheetDelta {
  const base = { revision: before.revision, digest: before.digest }
  return { base, revision: after.revision, length: after.content.length, pieces: composeDelta(before.content, after.content) }
}

function countCharacters (deltas: readonly SheetDelta[]): number {
  return deltas.reduce((total, { pieces }) => total + pieces.reduce((sum, piece) => sum + countPieceCharacters(piece), 0), 0)
}

function countPieceCharacters (piece: DeltaPiece): number {
  return typeof piece === 'string' ? piece.length : COPY_PIECE_CHARACTERS
}
