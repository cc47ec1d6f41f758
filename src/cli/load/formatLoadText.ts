import type { DrainSummary } from './DrainSummary.js'
import type { LimitUse } from './HeadroomSummary.js'
import type { LatencySummary } from './LatencySummary.js'
import type { LoadSummary, StreamSummary } from './LoadSummary.js'

/**
 * Formats the figures of a load run for a terminal.
 *
 * @param summary - figures of the run
 * @returns text of several lines
 */
export function formatLoadText (summary: LoadSummary): string {
  const lines = [
    `seed ${summary.seed}, ${summary.durationSeconds} s, send delay p99 ${summary.sendDelay.p99.toFixed(2)} ms`,
    ...summary.streams.flatMap(formatStream),
    ...summary.headroom === undefined ? [] : [`utilization of limits over ${summary.headroom.samples} samples, ${summary.headroom.missing} host statuses missing:`, ...summary.headroom.uses.map(formatLimitUse)],
    ...(summary.drains ?? []).map(formatDrain)
  ]
  return lines.join('\n')
}

/**
 * @param latency - percentiles in milliseconds
 * @returns all percentiles and the maximum on one line
 */
export function formatLatency (latency: LatencySummary): string {
  const { p50, p99, p999, max } = latency
  return `p50 ${p50.toFixed(2)} p99 ${p99.toFixed(2)} p999 ${p999.toFixed(2)} max ${max.toFixed(2)} ms`
}

function formatStream (stream: StreamSummary): string[] {
  const reasons = Object.entries(stream.reasons).map(([reason, count]) => `${reason} ${count}`).join(', ')
  return [
    `${stream.service} (${stream.requestClass}): ${stream.requests} requests, ${stream.attemptsPerRequest.toFixed(3)} attempts per request`,
    `  ran ${stream.ran}, not run ${stream.notRun}, unknown ${stream.unknown}, unanswered ${stream.unanswered}${reasons === '' ? '' : ` (${reasons})`}`,
    `  latency ${formatLatency(stream.latency)}`
  ]
}

function formatLimitUse ({ kind, name, limit, p50, max }: LimitUse): string {
  return `  ${kind} ${name}: p50 ${formatPercent(p50)} max ${formatPercent(max)} of ${Math.round(limit)}`
}

function formatDrain (drain: DrainSummary): string {
  const event = `${drain.target} ${drain.name} ${drain.ordered ? 'drained' : 'left'} at ${drain.atSeconds.toFixed(1)} s`
  return `${event}: ${describeDrain(drain)}`
}

/**
 * @param fraction - 1 for all of a limit
 * @returns percentage with one decimal
 */
export function formatPercent (fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`
}

/**
 * Describes in words how a drain went.
 *
 * @param drain - an ordered drain, or an upstream that left on its own
 * @returns text on one line
 */
export function describeDrain ({ lastNewWorkMilliseconds, drainMilliseconds, running, failure }: DrainSummary): string {
  if (failure !== undefined) return `not ordered: ${failure}`
  const end = drainMilliseconds === undefined ? `${running} requests still running` : `last request ended after ${Math.round(drainMilliseconds)} ms`
  return `last new work after ${Math.round(lastNewWorkMilliseconds)} ms, ${end}`
}
