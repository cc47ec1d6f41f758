import type { LogLine } from './LogLine.js'

/** Lines this long before the request's own line may say why it ended as it did. */
const CONTEXT_WINDOW_MILLISECONDS = 3_000
/** Events that change what a host believes of upstreams, plans and control hosts. */
const CONTEXT_EVENTS = new Set(['upstream-died', 'upstream-silent', 'upstream-changed', 'plan-in-force', 'control-host-left', 'control-host-followed', 'evacuation-ordered', 'lines-dropped', 'settings-reloaded', 'stopping'])

/** The lines of one request, and what its host learned shortly before. */
export interface RequestTrace {
  requestLines: LogLine[]
  contextLines: LogLine[]
}

/**
 * Collects what the logs of several hosts hold of one request.
 *
 * @param lines - lines of all logs, in any order
 * @param request - identifier of the request
 */
export function collectTrace (lines: readonly LogLine[], request: string): RequestTrace {
  const requestLines = lines.filter(({ fields }) => fields.get('request') === request).sort(compareTimes)
  const contextLines = lines.filter((line) => requestLines.some((requestLine) => isContextOf(line, requestLine))).sort(compareTimes)
  return { requestLines, contextLines }
}

function isContextOf (line: LogLine, requestLine: LogLine): boolean {
  if (!CONTEXT_EVENTS.has(line.event) || line.time > requestLine.time || requestLine.time - line.time > CONTEXT_WINDOW_MILLISECONDS) return false
  const attemptedUpstreams = (requestLine.fields.get('tried') ?? '').split(',').filter((name) => name !== '')
  const upstream = line.fields.get('upstream') ?? line.fields.get('peer') ?? ''
  return line.host === requestLine.host || attemptedUpstreams.includes(upstream)
}

function compareTimes (left: LogLine, right: LogLine): number {
  return left.time - right.time
}
