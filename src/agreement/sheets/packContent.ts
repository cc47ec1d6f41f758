import { promisify } from 'node:util'
import { constants, gunzipSync, gzip } from 'node:zlib'

const compress = promisify(gzip)

/**
 * @param content - text
 * @returns the text compressed with gzip, in base64
 */
export async function packContent (content: string): Promise<string> {
  const packed = await compress(Buffer.from(content))
  return packed.toString('base64')
}

/**
 * @param packed - result of {@link packContent}
 * @returns the text
 */
export function unpackContent (packed: string): string {
  return gunzipSync(Buffer.from(packed, 'base64')).toString()
}

/**
 * Packs for hosts that pass a content on or keep it, which each do so for each change.
 *
 * @param content - text
 * @returns the text compressed in a fifth of the time that {@link packContent} takes, about a tenth longer
 */
export async function packQuickly (content: string): Promise<string> {
  const packed = await compress(Buffer.from(content), { level: constants.Z_BEST_SPEED })
  return packed.toString('base64')
}
