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
 * @param packed - result of {@link packContent} or {@link packQuickly}
 * @returns the uncompressed text
 * @throws an error of zlib when the data is no valid gzip
 */
export function unpackContent (packed: string): string {
  return gunzipSync(Buffer.from(packed, 'base64')).toString()
}

/**
 * Compresses content for hosts that forward or store it, since each of them does so for each change.
 * Takes a fifth of the time of {@link packContent}; the result is about a tenth longer.
 *
 * @param content - text
 * @returns the text compressed with gzip, in base64
 */
export async function packQuickly (content: string): Promise<string> {
  const packed = await compress(Buffer.from(content), { level: constants.Z_BEST_SPEED })
  return packed.toString('base64')
}
