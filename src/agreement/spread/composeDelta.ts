import type { DeltaPiece } from './SheetDelta.js'

/**
 * Computes the difference between two contents line by line. Lines may be added, changed, removed and moved;
 * the fewer of them, the shorter the result.
 *
 * @param base - the older content
 * @param target - the newer content
 * @returns parts of the newer content: copies from the older one, or new text
 */
export function composeDelta (base: string, target: string): DeltaPiece[] {
  const pieces: DeltaPiece[] = []
  const findMovedLine = createLineFinder(base)
  let expectedOffset = 0
  for (let start = 0; start < target.length;) {
    const line = readLine(target, start)
    const nearbyOffset = findNearby(base, expectedOffset, line)
    // If the following line is in its expected place, this line is new and the full base need not be searched.
    const isNew = nearbyOffset === undefined && findNearby(base, expectedOffset, readLine(target, start + line.length)) !== undefined
    const baseOffset = isNew ? undefined : nearbyOffset ?? findMovedLine(line)
    addPiece(pieces, line, baseOffset)
    if (baseOffset !== undefined) expectedOffset = baseOffset + line.length
    start += line.length
  }
  return pieces
}

/** Looks for a line at its expected offset, and after the next line of the base, which another line may have replaced. */
function findNearby (base: string, expectedOffset: number, line: string): number | undefined {
  if (base.startsWith(line, expectedOffset)) return expectedOffset
  const nextLineOffset = expectedOffset + readLine(base, expectedOffset).length
  return base.startsWith(line, nextLineOffset) ? nextLineOffset : undefined
}

/** Creates a search for lines anywhere in the base, which indexes the base at its first use. */
function createLineFinder (base: string): (line: string) => number | undefined {
  let starts: Map<string, number> | undefined
  return (line) => {
    starts ??= listLineStarts(base)
    return starts.get(line)
  }
}

function listLineStarts (base: string): Map<string, number> {
  const starts = new Map<string, number>()
  for (let start = 0; start < base.length;) {
    const line = readLine(base, start)
    if (!starts.has(line)) starts.set(line, start)
    start += line.length
  }
  return starts
}

function readLine (text: string, start: number): string {
  const end = text.indexOf('\n', start)
  return text.slice(start, end < 0 ? text.length : end + 1)
}

function addPiece (pieces: DeltaPiece[], line: string, baseOffset: number | undefined): void {
  const lastPiece = pieces.at(-1)
  if (baseOffset === undefined) {
    if (typeof lastPiece === 'string') pieces[pieces.length - 1] = lastPiece + line
    else pieces.push(line)
  } else if (Array.isArray(lastPiece) && lastPiece[0] + lastPiece[1] === baseOffset) {
    lastPiece[1] += line.length
  } else {
    pieces.push([baseOffset, line.length])
  }
}
