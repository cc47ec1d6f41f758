import { digestOf } from '../sheets/digestOf.js'
import type { AcceptedSheet } from '../sheets/AcceptedSheet.js'
import type { SheetInForce } from '../sheets/SheetInForce.js'
import type { SheetDelta } from './SheetDelta.js'

const MAXIMUM_CONTENT_CHARACTERS = 256 * 1024 * 1024

/**
 * Computes the content of a newer sheet from an older one.
 *
 * @param base - sheet that the first delta applies to
 * @param sheet - the newer sheet
 * @param deltas - deltas from the base to the newer sheet, in order
 * @returns content of the newer sheet, undefined when a delta is invalid or the result does not have the sheet's digest
 */
export function applyDeltas (base: SheetInForce, sheet: AcceptedSheet, deltas: readonly SheetDelta[]): string | undefined {
  try {
    const content = deltas.reduce((text, delta) => applyDelta(text, delta), base.content)
    return digestOf(content) === sheet.digest ? content : undefined
  } catch {
    return undefined
  }
}

function applyDelta (base: string, { pieces, length }: SheetDelta): string {
  const lengths = pieces.map((piece) => typeof piece === 'string' ? piece.length : piece[1])
  const lengthSum = lengths.reduce((total, pieceLength) => total + pieceLength, 0)
  if (lengthSum !== length || length > MAXIMUM_CONTENT_CHARACTERS || lengths.some((pieceLength) => pieceLength < 0)) throw new RangeError('the pieces of the delta do not match its length, or exceed the maximum length')
  return pieces.map((piece) => typeof piece === 'string' ? piece : base.slice(piece[0], piece[0] + piece[1])).join('')
}
