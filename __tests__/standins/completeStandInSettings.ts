import { LoadReport } from './LoadReport.js'
import { ServiceTimeShape } from './ServiceTimeShape.js'
import type { StandInSettings } from './StandInSettings.js'

const DEFAULTS: Omit<StandInSettings, 'name' | 'service' | 'address' | 'runLog'> = {
  slots: 3,
  connections: 660,
  hosts: [],
  seed: 1,
  serviceTimeMilliseconds: 20,
  serviceTimeShape: ServiceTimeShape.Constant,
  coldStartMilliseconds: 0,
  coldStartFactor: 1,
  loadReport: LoadReport.Actual,
  echoesRequest: true
}

/**
 * @param settings - the settings that differ from the defaults
 * @returns complete settings
 */
export function completeStandInSettings (settings: Partial<StandInSettings> & Pick<StandInSettings, 'name' | 'service' | 'address' | 'runLog'>): StandInSettings {
  return { ...DEFAULTS, ...settings }
}
