import type { LogLine } from './LogLine.js'

/** Events up to this long before a line of the request may have caused its outcome; pauses as long as they last, too. */
const CONTEXT_WINDOW_MILLISECONDS = 3_000
/** Events that may explain an outcome: changes of upstreams, plans, control hosts or settings, dropped log lines, and a stop. */
const CONTEXT_EVENTS = new Set(['upstream-died', 'upstream-silent', 'upstream-changed', 'upstream-leaving', 'upstream-paused', 'plan-in-force', 'control-host-left', 'control-host-followed', 'evacuation-ordered', 'lines-dropped', 'settings-reloaded', 'stopping'])

/** The log lines that concern one request, each list ordered by time. */
export interface RequestTrace {
  /** Lines with the identifier of the request. */
  requestLines: LogLine[]
  /** Events shortly before, on the host of the request or about an upstream that it was sent to. */
  contextLines: LogLine[]
}

/**
 * Collects the lines on one request from the logs of several hosts.
 *
 * @param lines - lines of all logs in any order
 * @param request - identifier of the request, as in the `request` field
 */
export function collectTrace (lines: readonly LogLine[], request: string): RequestTrace {
  const requestLines = lines.filter(({ fields }) => fields.get('request') === request).sort(compareTimes)
  const contextLines = lines.filter((line) => requestLines.some((requestLine) => isContextOf(line, requestLine))).sort(compareTimes)
  return { requestLines, contextLines }
}

function isContextOf (line: LogLine, requestLine: LogLine): boolean {
  if (!CONTEXT_EVENTS.has(line.event) || line.time > requestLine.time || requestLine.time - line.time > findContextMilliseconds(line)) return false
  const attemptedUpstreams = (requestLine.fields.get('tried') ?? '').split(',').filter((name) => name !== '')
  const upstream = line.fields.get('upstream') ?? line.fields.get('peer') ?? ''
  return line.host === requestLine.host || attemptedUpstreams.includes(upstream)
}

/** @returns how long an event may cause outcomes: a pause does so until its host returns to the upstream, and shortly after */
function findContextMilliseconds ({ event, fields }: LogLine): number {
  return CONTEXT_WINDOW_MILLISECONDS + (event === 'upstream-paused' ? Number(fields.get('returns') ?? 0) : 0)
}

function compareTimes (left: LogLine, right: LogLine): number {
  return left.time - right.time
}
