import type { Draw } from '../Draw.js'
import { Blow, drawControl, drawStep, type FaultStep, type HostFault, type StepKind } from '../drawFaults.js'
import { CONTROL_HOSTS, Disk } from '../SoakSystem.js'

const LONGEST_GAP_MILLISECONDS = 1_500
const STOPS = [Blow.Terminate, Blow.Terminate, Blow.TerminateTwice, Blow.ReloadAndTerminate]

const KINDS: ReadonlyArray<readonly [StepKind, number]> = [
  [{ name: 'stop', drawFaults: (draw, entryHosts) => [drawEntry(draw, draw.index(entryHosts), draw.pick(STOPS))], atAcknowledgement: 0.3 }, 6],
  [{ name: 'stop-all', drawFaults: drawStopOfAll, atAcknowledgement: 0.2 }, 3],
  [{ name: 'reload', drawFaults: (draw, entryHosts) => [drawEntry(draw, draw.index(entryHosts), Blow.Reload)], atAcknowledgement: 0.3 }, 3],
  [{ name: 'kill', drawFaults: (draw, entryHosts) => draw.pickSome(listNumbers(entryHosts), 1 + draw.index(2)).map((host) => drawEntry(draw, host, Blow.Kill)), atAcknowledgement: 0.2 }, 4],
  [{ name: 'freeze', drawFaults: (draw, entryHosts) => [drawEntry(draw, draw.index(entryHosts), Blow.Freeze)], atAcknowledgement: 0 }, 1],
  [{ name: 'control-host', drawFaults: (draw) => [drawControl(draw, draw.index(CONTROL_HOSTS), draw.pick([Blow.Terminate, Blow.Kill]), Disk.Kept)], atAcknowledgement: 0.5 }, 1]
]

/** @returns the next step of a run in which answers are watched: planned stops and reloads, and faults, most of entry hosts */
export function drawRawStep (draw: Draw, entryHosts: number): FaultStep {
  const step = drawStep(draw, entryHosts, KINDS)
  return { ...step, pauseMilliseconds: draw.between(0, LONGEST_GAP_MILLISECONDS), overlapsNext: draw.chance(0.7) }
}

function drawEntry (draw: Draw, host: number, blow: Blow): HostFault {
  return { ...drawControl(draw, host, blow, Disk.Kept), role: 'entry' }
}

function drawStopOfAll (draw: Draw, entryHosts: number): HostFault[] {
  const gapMilliseconds = draw.between(0, LONGEST_GAP_MILLISECONDS)
  return draw.pickSome(listNumbers(entryHosts), entryHosts).map((host, turn) => ({ ...drawEntry(draw, host, draw.pick(STOPS)), delayMilliseconds: turn * gapMilliseconds }))
}

function listNumbers (count: number): number[] {
  return Array.from({ length: count }, (_, number) => number)
}
