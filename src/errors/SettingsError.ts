import { Step } from '../types/Step.js'
import { errorTexts } from './errorTexts.js'
import { HibiscusrelayError } from './HibiscusrelayError.js'

/** One fault in a settings file. */
export interface SettingsFault {
  file: string
  section: string
  key: string
  /** Description of the fault and the allowed values. */
  problem: string
}

/** Invalid settings; lists all faults at once. */
export class SettingsError extends HibiscusrelayError {
  readonly faults: SettingsFault[]

  /**
   * @param file - path of the settings file
   * @param faults - all faults of the file
   */
  constructor (file: string, faults: SettingsFault[]) {
    super(errorTexts.settingsInvalid(faults.length), { step: Step.Settings, peer: file })
    this.faults = faults
  }
}
