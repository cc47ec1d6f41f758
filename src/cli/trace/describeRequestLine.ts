import { RefusalReason } from '../../types/RefusalReason.js'
import type { LogLine } from './LogLine.js'

const REASON_DESCRIPTIONS: Partial<Record<RefusalReason, string>> = {
  [RefusalReason.QueueFull]: 'this host had its share of the service\'s slots in use, and the wait would have outlasted the use of the answer',
  [RefusalReason.UpstreamsFull]: 'the upstreams that hold the object were about to shed',
  [RefusalReason.NoUpstream]: 'no upstream of the service may take it: look for evacuations, homes and lost upstreams',
  [RefusalReason.NoPlan]: 'the host had no routing plan yet',
  [RefusalReason.Shed]: 'the upstreams refused it without running it',
  [RefusalReason.ShedWithFreeSlots]: 'an upstream refused it although it had slots: a fault of the upstream, not the load',
  [RefusalReason.UpstreamUnreachable]: 'no connection to an upstream came about; nothing was sent',
  [RefusalReason.AnswerLost]: 'it was sent, and its answer was lost or was no answer to it; it may have run',
  [RefusalReason.DeadlinePassed]: 'its time was over before the answer came',
  [RefusalReason.Cancelled]: 'the guest went away',
  [RefusalReason.Poison]: 'two upstreams died under the same request before',
  [RefusalReason.UnknownPath]: 'no route of the plan in force matches its host name and path'
}

/**
 * Says in words what a line tells of a request.
 *
 * @param line - a line with the identifier of the request
 * @returns sentences
 */
export function describeRequestLine ({ host, event, fields }: LogLine): string[] {
  if (event === 'request-refused') return [`${host} refused it on arrival: ${describeReason(fields)}.`, `Plan in force: ${fields.get('plan') ?? 'none'}.`]
  if (event !== 'request-answered' && event !== 'request-failed') return [`${host} noted ${event}.`]
  return [
    `${host} took it for service ${fields.get('service')} by route ${fields.get('route')} of plan ${fields.get('plan')}${describeObject(fields)}.`,
    describeWait(fields),
    describeAttempts(fields),
    `It ended ${fields.get('outcome')} with status ${fields.get('status')} after ${fields.get('took')} ms${event === 'request-failed' ? `: ${describeReason(fields)}` : ''}.`
  ]
}

function describeObject (fields: LogLine['fields']): string {
  const object = fields.get('object')
  return object === undefined ? '' : `, on object ${object}`
}

function describeWait (fields: LogLine['fields']): string {
  const candidates = fields.get('candidates')
  const utilization = fields.get('fill')
  const utilizationText = utilization === undefined ? '' : `; the ${fields.get('rank') === undefined ? 'object\'s first one' : 'chosen one'} was ${utilization}% full, as far as the host knew`
  return `It waited ${fields.get('waited')} ms to be admitted${candidates === undefined ? '' : `, with ${candidates} upstreams to choose from`}${utilizationText}.`
}

function describeAttempts (fields: LogLine['fields']): string {
  const attemptedUpstreams = fields.get('tried') ?? ''
  if (attemptedUpstreams === '') return 'It was sent to no upstream.'
  const cause = fields.get('cause')
  return `It was tried at ${attemptedUpstreams.split(',').join(', then ')}; ${fields.get('sends')} of these tries reached an upstream${cause === undefined ? '' : ` (last failure: ${cause})`}.`
}

function describeReason (fields: LogLine['fields']): string {
  const reason = fields.get('reason') ?? ''
  return REASON_DESCRIPTIONS[reason as RefusalReason] ?? reason
}
