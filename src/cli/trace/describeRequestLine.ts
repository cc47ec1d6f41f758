import { RefusalReason } from '../../types/RefusalReason.js'
import type { LogLine } from './LogLine.js'

const REASON_DESCRIPTIONS: Partial<Record<RefusalReason, string>> = {
  [RefusalReason.QueueFull]: 'all slots of this host\'s share of the service were in use, and the wait would have exceeded the time for which the answer is useful',
  [RefusalReason.UpstreamsFull]: 'the upstreams that hold the object were close to shedding requests',
  [RefusalReason.UpstreamsPaused]: 'all upstreams of the service had asked for a pause that was not over',
  [RefusalReason.NoUpstream]: 'no upstream of the service is eligible for it: check evacuations, home regions and lost upstreams',
  [RefusalReason.NoPlan]: 'the host had not received a routing plan yet',
  [RefusalReason.Shed]: 'the upstreams refused it without running it',
  [RefusalReason.ShedWithFreeSlots]: 'an upstream refused it although it had free slots: a fault of the upstream, not overload',
  [RefusalReason.UpstreamUnreachable]: 'no connection to an upstream could be opened; nothing was sent',
  [RefusalReason.AnswerLost]: 'it was sent, but its answer was lost or did not belong to it; it may have run',
  [RefusalReason.DeadlinePassed]: 'its deadline passed before the answer arrived',
  [RefusalReason.Stopping]: 'the host was stopping, and its answer might not have been in before the end; nothing was sent',
  [RefusalReason.Cancelled]: 'the guest closed its connection',
  [RefusalReason.Poison]: 'two upstreams died earlier while they ran the same request',
  [RefusalReason.UnknownPath]: 'no route of the plan in force matches its host name and path'
}

/**
 * Describes a log line of a request in words.
 *
 * @param line - a line with the identifier of the request
 * @returns one or more sentences
 */
export function describeRequestLine ({ host, event, fields }: LogLine): string[] {
  if (event === 'request-refused') return [`${host} refused it on arrival: ${describeReason(fields)}.`, `Plan in force: ${fields.get('plan') ?? 'none'}.`]
  if (event !== 'request-answered' && event !== 'request-failed') return [`${host} logged ${event}.`]
  return [
    `${host} accepted it for service ${fields.get('service')} by route ${fields.get('route')} of plan ${fields.get('plan')}${describeObject(fields)}.`,
    describeWait(fields),
    describeAttempts(fields),
    `It ended with outcome ${fields.get('outcome')} and status ${fields.get('status')} after ${fields.get('took')} ms${event === 'request-failed' ? `: ${describeReason(fields)}` : ''}.`
  ]
}

function describeObject (fields: LogLine['fields']): string {
  const object = fields.get('object')
  return object === undefined ? '' : `, on object ${object}`
}

function describeWait (fields: LogLine['fields']): string {
  const candidates = fields.get('candidates')
  const utilization = fields.get('fill')
  const utilizationText = utilization === undefined ? '' : `; the ${fields.get('rank') === undefined ? 'object\'s first upstream' : 'chosen upstream'} was ${utilization}% full, as far as the host knew`
  return `It waited ${fields.get('waited')} ms to be admitted${candidates === undefined ? '' : `, with ${candidates} upstreams to choose from`}${utilizationText}.`
}

function describeAttempts (fields: LogLine['fields']): string {
  const attemptedUpstreams = fields.get('tried') ?? ''
  if (attemptedUpstreams === '') return 'It was sent to no upstream.'
  const cause = fields.get('cause')
  return `It was tried at ${attemptedUpstreams.split(',').join(', then ')}; ${fields.get('sends')} of these attempts reached an upstream${cause === undefined ? '' : ` (last failure: ${cause})`}.${describeSecondAttempt(fields)}`
}

function describeSecondAttempt (fields: LogLine['fields']): string {
  const upstream = fields.get('second')
  if (upstream === undefined) return ''
  const winner = fields.get('winner')
  return ` The attempt at ${upstream} began ${fields.get('secondAfter')} ms after the first one and beside it; ${winner === 'none' ? 'neither' : `the ${winner} one`} answered.`
}

function describeReason (fields: LogLine['fields']): string {
  const reason = fields.get('reason') ?? ''
  return REASON_DESCRIPTIONS[reason as RefusalReason] ?? reason
}
