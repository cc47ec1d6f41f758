import assert from 'node:assert/strict'
import { test } from 'node:test'
import { chooseRetryAfter } from '../../src/placement/chooseRetryAfter.js'
import { computeReturnDelay } from '../../src/placement/computeReturnDelay.js'
import { UpstreamLoad } from '../../src/placement/UpstreamLoad.js'
import { UpstreamPause } from '../../src/placement/UpstreamPause.js'
import { RefusalReason } from '../../src/types/RefusalReason.js'

const BORN_AT = 1_000
const SLOTS = 9
const HOSTS = 100
const PAUSE_MILLISECONDS = 6_000
const RUN_MILLISECONDS = 300
const STEP_MILLISECONDS = 10
const WAITING_PER_HOST = 20

test('an upstream takes nothing during its pause, then one request, and one more after each answer', () => {
  const load = new UpstreamLoad()
  assert.equal(load.pause(new UpstreamPause(BORN_AT, 1_000)), true)
  assert.equal(load.admits(BORN_AT, 999), false)
  assert.equal(load.admits(BORN_AT + 1, 999), true, 'a later start of the upstream asked for nothing')
  assert.equal(load.admits(BORN_AT, 1_000), true)
  load.start()
  assert.equal(load.admits(BORN_AT, 1_001), false)
  load.recordSuccess(1_300)
  load.end()
  load.start()
  assert.equal(load.admits(BORN_AT, 1_301), true)
  load.start()
  assert.equal(load.admits(BORN_AT, 1_302), false)
  assert.equal(load.admits(BORN_AT, 6_000), true, 'the return is over')
})

test('of several pauses the longest holds', () => {
  const load = new UpstreamLoad()
  load.pause(new UpstreamPause(BORN_AT, 5_000))
  assert.equal(load.pause(new UpstreamPause(BORN_AT, 2_000)), false)
  assert.equal(load.getReturnTime(BORN_AT, 3_000), 5_000)
  assert.equal(load.getReturnTime(BORN_AT, 5_000), undefined)
})

/** Replays a crowd of hosts with waiting requests that return to one upstream; returns the largest number that it got at once. */
function replayReturn (useDelay: boolean): number {
  const hosts = Array.from({ length: HOSTS }, (_, number) => {
    const load = new UpstreamLoad()
    load.pause(new UpstreamPause(BORN_AT, PAUSE_MILLISECONDS + (useDelay ? computeReturnDelay('i-1', `entry-${number}`, HOSTS) : 0)))
    return { load, waiting: WAITING_PER_HOST, ends: [] as number[] }
  })
  let maximumRunning = 0
  for (let now = 0; now < PAUSE_MILLISECONDS + 4_000; now += STEP_MILLISECONDS) {
    for (const host of hosts) {
      while (host.ends[0] !== undefined && host.ends[0] <= now) {
        host.ends.shift()
        host.load.recordSuccess(now)
        host.load.end()
      }
      while (host.waiting > 0 && host.load.admits(BORN_AT, now)) {
        host.load.start()
        host.waiting -= 1
        host.ends.push(now + RUN_MILLISECONDS)
      }
    }
    // The first second after the pause decides whether the upstream is overloaded again at once.
    if (now < PAUSE_MILLISECONDS + 1_000) maximumRunning = Math.max(maximumRunning, hosts.reduce((sum, { load }) => sum + load.inFlight, 0))
  }
  return maximumRunning
}

test('a crowd of hosts does not return to an upstream at the same moment', () => {
  assert.ok(replayReturn(true) <= 8 * SLOTS, `${replayReturn(true)} requests at once with ${SLOTS} slots`)
  assert.ok(replayReturn(false) >= HOSTS, 'without the spread every host sends at once')
})

test('a guest that was refused for a pause is told to come back after it, within a third of the time that it has left', () => {
  assert.equal(chooseRetryAfter(RefusalReason.UpstreamsPaused, 60_000, 0, 6_000), 6)
  assert.equal(chooseRetryAfter(RefusalReason.UpstreamsPaused, 9_000, 0, 6_000), 3)
})
