import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { parse } from 'ini'
import { SettingsError, type SettingsFault } from '../errors/SettingsError.js'
import { buildSettings } from './buildSettings.js'
import { createSettingsFault } from './createSettingsFault.js'
import { parseOperatorTokens } from './parseOperatorTokens.js'
import type { Secrets } from './Secrets.js'
import type { Settings } from './Settings.js'
import { settingsSchema, type SettingsFile } from './settingsSchema.js'

const MINIMUM_KEY_LENGTH = 32

/**
 * Reads and checks a settings file and the secret files that it names.
 * Relative paths in it are resolved against the folder of the settings file.
 *
 * @param file - path of the settings file
 * @returns the checked settings
 * @throws {@link SettingsError} with all faults of the settings file, or else of the secret files
 */
export function loadSettings (file: string): Settings {
  const faults: SettingsFault[] = []
  const text = readText(file, { file, section: '', key: '' }, faults)
  if (text === undefined) throw new SettingsError(file, faults)
  const checked = settingsSchema.safeParse(parse(text))
  if (!checked.success) {
    for (const issue of checked.error.issues) faults.push(createSettingsFault(file, issue.path, issue.message))
    throw new SettingsError(file, faults)
  }
  const secrets = readSecrets(file, checked.data, faults)
  if (faults.length > 0) throw new SettingsError(file, faults)
  return buildSettings(checked.data, dirname(resolve(file)), secrets)
}

function readSecrets (file: string, settings: SettingsFile, faults: SettingsFault[]): Secrets {
  const folder = dirname(resolve(file))
  const createFault = (key: string): SettingsFault => ({ file, section: 'secrets', key, problem: '' })
  const peerKey = readText(resolve(folder, settings.secrets['peer-key-file']), createFault('peer-key-file'), faults)?.trim()
  const operatorTokensText = readText(resolve(folder, settings.secrets['operator-tokens-file']), createFault('operator-tokens-file'), faults)
  if (peerKey !== undefined && peerKey.length < MINIMUM_KEY_LENGTH) {
    faults.push({ ...createFault('peer-key-file'), problem: `the key is too short; allowed: ${MINIMUM_KEY_LENGTH} or more characters` })
  }
  const operatorTokens = parseOperatorTokens(operatorTokensText ?? '')
  if (operatorTokensText !== undefined && operatorTokens === undefined) {
    faults.push({ ...createFault('operator-tokens-file'), problem: 'allowed: one name:token per line, tokens of 16 or more characters, at least one line' })
  }
  return { peerKey: peerKey ?? '', operatorTokens: operatorTokens ?? new Map() }
}

function readText (path: string, location: Omit<SettingsFault, 'problem'>, faults: SettingsFault[]): string | undefined {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    faults.push({ ...location, problem: `cannot read ${path}: ${(error as NodeJS.ErrnoException).code ?? String(error)}` })
    return undefined
  }
}
