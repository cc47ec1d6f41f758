import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { setTimeout as sleep } from 'node:timers/promises'
import { RequestClass } from '../../types/RequestClass.js'
import { createArrivalGapGenerator } from './createArrivalGapGenerator.js'
import { GuestClient } from './GuestClient.js'
import type { GuestRequest } from './GuestRequest.js'
import type { LoadPlan } from './LoadPlan.js'
import type { LoadRecord } from './LoadRecord.js'
import type { LoadStream } from './LoadStream.js'
import type { ScheduleEntry } from './ScheduleEntry.js'

/** Receives the record of each finished request. */
export type RecordListener = (record: LoadRecord) => void

/** An arrival of a stream; times are by the monotonic clock, in milliseconds. */
interface Arrival {
  stream: LoadStream
  token: string
  intendedAt: number
  sentAt: number
}

/**
 * Sends Poisson arrivals on each stream, whether or not earlier requests have ended, and waits for the last answer.
 * Latencies count from the scheduled time, so they include delays by slow answers and late timers.
 *
 * @param plan - streams, duration, seed and schedule of the run
 * @param onRecord - receives the record of each finished request
 * @param signal - ends the sending early; answers to requests in flight are still awaited
 */
export async function runLoad (plan: LoadPlan, onRecord: RecordListener, signal?: AbortSignal): Promise<void> {
  const random = xoroshiro128plus(plan.seed)
  const client = new GuestClient(plan.entryAddresses, plan.place, () => uniformFloat64(random))
  const startedAt = performance.now()
  const streams = plan.streams.map(async (stream, index) => { await runStream(client, plan, stream, index, startedAt, onRecord, signal) })
  await Promise.all(streams)
  await client.close()
}

async function runStream (client: GuestClient, plan: LoadPlan, stream: LoadStream, index: number, startedAt: number, onRecord: RecordListener, signal?: AbortSignal): Promise<void> {
  const generateGap = createArrivalGapGenerator(plan.seed * 1000 + index)
  const pendingTasks = new Set<Promise<void>>()
  const endsAt = startedAt + plan.durationSeconds * 1000
  let intendedAt = startedAt
  for (let count = 0; count < stream.maximumRequests; count += 1) {
    intendedAt += generateGap(stream.requestsPerSecond * findRateFactor(plan.schedule, intendedAt - startedAt))
    if (intendedAt > endsAt) break
    await sleepUntil(intendedAt, signal)
    if (signal?.aborted === true) break
    const arrival = { stream, token: `${plan.seed}-${index}-${count}`, intendedAt, sentAt: performance.now() }
    const task = sendArrival(client, arrival, startedAt, onRecord).finally(() => { pendingTasks.delete(task) })
    pendingTasks.add(task)
  }
  await Promise.all(pendingTasks)
}

async function sleepUntil (time: number, signal?: AbortSignal): Promise<void> {
  const remainingMilliseconds = time - performance.now()
  if (remainingMilliseconds > 0) await sleep(remainingMilliseconds, undefined, { signal }).catch(() => {})
}

function findRateFactor (schedule: ScheduleEntry[], milliseconds: number): number {
  const passedEntries = schedule.filter((entry) => entry.rateFactor !== undefined && entry.atSeconds * 1000 <= milliseconds)
  return passedEntries.at(-1)?.rateFactor ?? 1
}

async function sendArrival (client: GuestClient, arrival: Arrival, startedAt: number, onRecord: RecordListener): Promise<void> {
  const request = composeRequest(arrival)
  if (arrival.stream.resends === 0) return await sendCopy(client, request, arrival, startedAt, onRecord)
  request.ticket = request.guestKey === undefined ? undefined : await client.waitForTicket(request.service, request.deadline)
  const copies = Array.from({ length: arrival.stream.resends + 1 }, async (_, copy) => {
    await sleep(copy / arrival.stream.resends * arrival.stream.resendWithinMilliseconds)
    await sendCopy(client, { ...request, sending: `${request.sending}-${copy}` }, arrival, startedAt, onRecord)
  })
  await Promise.all(copies)
}

function composeRequest ({ stream, token, intendedAt }: Arrival): GuestRequest {
  const separator = stream.path.includes('?') ? '&' : '?'
  return {
    sending: token,
    service: stream.service,
    requestClass: stream.requestClass,
    path: `${stream.path}${separator}token=${token}`,
    body: Buffer.from(token.padEnd(stream.bodyBytes, '.')),
    guestKey: stream.requestClass === RequestClass.OneTime ? token : undefined,
    ticket: undefined,
    deadline: intendedAt + stream.deadlineMilliseconds
  }
}

async function sendCopy (client: GuestClient, request: GuestRequest, arrival: Arrival, startedAt: number, onRecord: RecordListener): Promise<void> {
  const sentAt = performance.now()
  const answer = await client.send(request)
  onRecord({
    request,
    answer,
    token: arrival.token,
    intendedMilliseconds: arrival.intendedAt - startedAt,
    sentMilliseconds: sentAt - startedAt,
    latencyMilliseconds: performance.now() - arrival.intendedAt,
    sendDelayMilliseconds: arrival.sentAt - arrival.intendedAt
  })
}
