import type { LoadRecord } from '../../src/cli/load/LoadRecord.js'

/** A load that a scenario runs in the background. */
export interface ScenarioLoad {
  name: string
  records: LoadRecord[]
  /** Wall clock at its start, in milliseconds. */
  startedAt: number
  finished: Promise<void>
}
