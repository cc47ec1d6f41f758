import type { SettingsFault } from '../errors/SettingsError.js'

/**
 * Creates a settings fault from an issue that the schema found.
 *
 * @param file - path of the settings file
 * @param path - section and key of the invalid value; a path of one element is a section
 * @param message - description of the fault and the allowed values
 * @returns the fault with its section and key
 */
export function createSettingsFault (file: string, path: PropertyKey[], message: string): SettingsFault {
  const segments = path.map(String)
  const key = segments.length > 1 ? segments[segments.length - 1]! : ''
  const section = segments.length > 1 ? segments.slice(0, -1).join('.') : segments.join('.')
  return { file, section, key, problem: message }
}
