import { dirname } from 'node:path'
import type { FileOperations } from './FileOperations.js'

/**
 * Replaces a file so that after a crash either the old or the new content is there, whole.
 *
 * @param files - file operations
 * @param path - the file
 * @param content - its new content
 */
export async function writeFileAtomically (files: FileOperations, path: string, content: Buffer): Promise<void> {
  const temporaryPath = `${path}.new`
  await files.remove(temporaryPath)
  const file = await files.open(temporaryPath)
  try {
    await file.append(content)
    await file.sync()
  } finally {
    await file.close()
  }
  await files.rename(temporaryPath, path)
  await files.syncFolder(dirname(path))
}
