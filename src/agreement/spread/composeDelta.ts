import type { DeltaPiece } from './SheetDelta.js'

/**
 * Describes a content by the lines that an older one has too. Lines may be added, changed, removed and moved;
 * the fewer are, the shorter is the result.
 *
 * @param base - the older content
 * @param target - the newer content
 * @returns the parts of the newer content
 */
export function composeDelta (base: string, target: string): DeltaPiece[] {
  const pieces: DeltaPiece[] = []
  const findMovedLine = createLineFinder(base)
  let expectedOffset = 0
  for (let start = 0; start < target.length;) {
    const line = readLine(target, start)
    const nearbyOffset = findNearby(base, expectedOffset, line)
    // Where the following line is in its place, this one is new, and the whole base need not be searched.
    const isNew = nearbyOffset === undefined && findNearby(base, expectedOffset, readLine(target, start + line.length)) !== undefined
    const baseOffset = isNew ? undefined : nearbyOffset ?? findMovedLine(line)
    addPiece(pieces, line, baseOffset)
    if (baseOffset !== undefined) expectedOffset = baseOffset + line.length
    start += line.length
  }
  return pieces
}

/** Looks where the line is if nothing changed, and behind the next line of the base, in whose place another may have come. */
function findNearby (base: string, expectedOffset: number, line: string): number | undefined {
  if (base.startsWith(line, expectedOffset)) return expectedOffset
  const nextLineOffset = expectedOffset + readLine(base, expectedOffset).length
  return base.startsWith(line, nextLineOffset) ? nextLineOffset : undefined
}

/** Lists the lines of the base only when one is not found where it is expected. */
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
