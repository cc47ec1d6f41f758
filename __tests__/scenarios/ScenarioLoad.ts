import type { LoadRecord } from '../../src/cli/load/LoadRecord.js'

/** A load that a scenario runs in the background. */
export interface ScenarioLoad {
  name: string
  records: LoadRecord[]
  /** Wall-clock time of the start, in milliseconds. */
  startedAt: number
  /** Resolves when the last request has its final answer. */
  finished: Promise<void>
}
