import type { Log } from '../observe/Log.js'
import { Step } from '../types/Step.js'
import { abbreviateFingerprint } from '../utils/abbreviateFingerprint.js'
import type { CrashReport } from './CrashReport.js'

/**
 * Logs what a report added to the crash table of this host.
 *
 * @param log - receives one line
 * @param source - name or address of the host that sent the report
 * @param report - the report
 */
export function logLearnedCrashes (log: Log, source: string, { requests, unreachableUpstreams }: CrashReport): void {
  const contents = requests.map(({ fingerprint, lostUpstreams, excusedUpstreams }) => `${abbreviateFingerprint(fingerprint)}:${lostUpstreams.length - excusedUpstreams.length}`)
  log.info('crashes-learned', { step: Step.Follow, peer: source, contents: contents.join(','), unreachable: unreachableUpstreams.join(',') })
}
