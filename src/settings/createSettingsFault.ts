import type { SettingsFault } from '../errors/SettingsError.js'

/**
 * @param file - the settings file
 * @param path - section and key of the value at fault
 * @param message - what is wrong and what is allowed
 * @returns the fault as it is reported
 */
export function createSettingsFault (file: string, path: PropertyKey[], message: string): SettingsFault {
  const segments = path.map(String)
  const key = segments.length > 1 ? segments[segments.length - 1]! : ''
  const section = segments.length > 1 ? segments.slice(0, -1).join('.') : segments.join('.')
  return { file, section, key, problem: message }
}
