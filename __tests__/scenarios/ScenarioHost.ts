import type { SettingsHost } from '../../examples/composeSettingsFile.js'
import type { ChildProcess } from './ChildProcess.js'

/** A host of a scenario. */
export interface ScenarioHost extends SettingsHost {
  folder: string
  process: ChildProcess
}
