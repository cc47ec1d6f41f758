import { dirname } from 'node:path'
import type { FileOperations } from './FileOperations.js'

/**
 * Replaces a file atomically: after a crash it has either the complete old or the complete new content.
 *
 * @param files - file operations
 * @param path - path of the file; the new content is first written to `path` with the suffix `.new`
 * @param content - new content of the file
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
