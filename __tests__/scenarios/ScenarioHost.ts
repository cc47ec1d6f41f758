import type { SettingsHost } from '../../examples/composeSettingsFile.js'
import type { ChildProcess } from './ChildProcess.js'

/** A host of a scenario. */
export interface ScenarioHost extends SettingsHost {
  /** Path of the folder with its settings, data and output. */
  folder: string
  process: ChildProcess
}
