import type { RawRecord, RawRun } from '../raw/RawRecord.js'

/** @returns the runs of each attempt at raw upstreams */
export function groupRuns ({ runs }: RawRecord): Map<string, RawRun[]> {
  const byAttempt = new Map<string, RawRun[]>()
  for (const run of runs) byAttempt.set(run.attempt, [...byAttempt.get(run.attempt) ?? [], run])
  return byAttempt
}
