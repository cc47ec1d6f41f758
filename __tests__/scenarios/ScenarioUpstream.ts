import type { StandInSettings } from '../standins/StandInSettings.js'
import type { ChildProcess } from './ChildProcess.js'

/** An upstream of a scenario. */
export interface ScenarioUpstream {
  name: string
  domain: string
  settings: StandInSettings
  process: ChildProcess
}
