import { createHash } from 'node:crypto'
import { hashText } from '../../../src/utils/hashText.js'

const MEAN_LINES_PER_CHUNK = 64
const DIGEST_CHARACTERS = 24

/** Splits content into chunks that end at lines selected by their hash, so that a change affects only its own chunk. */
export function chunkByContent (content: string): string[] {
  const chunks: string[] = []
  let chunk = ''
  for (const line of content.split(/(?<=\n)/)) {
    chunk += line
    if (hashText(line) % MEAN_LINES_PER_CHUNK !== 0) continue
    chunks.push(chunk)
    chunk = ''
  }
  return chunk === '' ? chunks : [...chunks, chunk]
}

/** @returns characters needed to send the chunk digests of the new content and the chunks that the old content lacks */
export function countChunkCharacters (oldContent: string, newContent: string): number {
  const oldDigests = new Set(chunkByContent(oldContent).map(computeChunkDigest))
  const chunks = chunkByContent(newContent)
  const missingChunks = chunks.filter((chunk) => !oldDigests.has(computeChunkDigest(chunk)))
  return chunks.length * (DIGEST_CHARACTERS + 3) + JSON.stringify(missingChunks).length
}

function computeChunkDigest (chunk: string): string {
  return createHash('sha256').update(chunk).digest('base64').slice(0, DIGEST_CHARACTERS)
}
