import { digestOf } from '../sheets/digestOf.js'
import { unpackContent } from '../sheets/packContent.js'
import type { StoredSheet } from './StoredSheet.js'

/**
 * @param stored - a sheet as received or stored
 * @returns its content, undefined when it cannot be unpacked or does not have the sheet's digest
 */
export function unpackVerified ({ sheet, packedContent }: StoredSheet): string | undefined {
  try {
    const content = unpackContent(packedContent)
    return digestOf(content) === sheet.digest ? content : undefined
  } catch {
    return undefined
  }
}
