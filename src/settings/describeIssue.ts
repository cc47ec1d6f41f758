import type { SettingsFault } from '../errors/SettingsError.js'

/**
 * @param file - the settings file
 * @param path - section and key of the value at fault
 * @param message - what is wrong and what is allowed
 * @returns the fault as it is reported
 */
export function describeIssue (file: string, path: PropertyKey[], message: string): SettingsFault {
  const names = path.map(String)
  const key = names.length > 1 ? names[names.length - 1]! : ''
  const section = names.length > 1 ? names.slice(0, -1).join('.') : names.join('.')
  return { file, section, key, problem: message }
}
