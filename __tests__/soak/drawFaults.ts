import type { Draw } from './Draw.js'
import { CONTROL_HOSTS, Disk } from './SoakSystem.js'

/** What is done to a host. */
export enum Blow {
  Kill = 'kill',
  Terminate = 'terminate',
  Freeze = 'freeze',
  /** Another SIGTERM follows the first one. */
  TerminateTwice = 'terminate-twice',
  /** A SIGHUP goes before the SIGTERM. */
  ReloadAndTerminate = 'reload-and-terminate',
  Reload = 'reload'
}

/** A fault of one host. */
export interface HostFault {
  role: 'control' | 'entry'
  host: number
  blow: Blow
  disk: Disk
  /** Time until the process runs again, in milliseconds. */
  downMilliseconds: number
  /** Time from the begin of the step to this fault, in milliseconds. */
  delayMilliseconds: number
}

/** Faults that begin together. */
export interface FaultStep {
  name: string
  /** Whether the step waits for an acknowledgement of an order. */
  atAcknowledgement: boolean
  /** Pause before the step, in milliseconds. */
  pauseMilliseconds: number
  /** Whether the next step may begin before the faults of this one have ended. */
  overlapsNext: boolean
  faults: HostFault[]
}

const CONTROL_NUMBERS = Array.from({ length: CONTROL_HOSTS }, (_, number) => number)
const SEED_NUMBERS = [0, 1, 2]
const SHORTEST_DOWN_MILLISECONDS = 300
const LONGEST_DOWN_MILLISECONDS = 2_000
const LONGEST_FREEZE_MILLISECONDS = 4_000
const ROLLING_GAP_MILLISECONDS = 2_500

type StepDrawer = (draw: Draw, entryHosts: number) => HostFault[]

/** A kind of step: how its faults are drawn, and how often it waits for an acknowledgement. */
export interface StepKind {
  name: string
  drawFaults: StepDrawer
  atAcknowledgement: number
}

const STEP_DRAWERS: ReadonlyArray<readonly [StepKind, number]> = [
  [{ name: 'kill', drawFaults: (draw) => [drawControl(draw, draw.index(CONTROL_HOSTS), Blow.Kill, draw.pick([Disk.Kept, Disk.Torn]))], atAcknowledgement: 0.5 }, 5],
  [{ name: 'terminate', drawFaults: (draw) => [drawControl(draw, draw.index(CONTROL_HOSTS), Blow.Terminate, Disk.Kept)], atAcknowledgement: 0.2 }, 3],
  [{ name: 'freeze', drawFaults: (draw) => draw.pickSome(CONTROL_NUMBERS, 1 + draw.index(2)).map((host) => drawControl(draw, host, Blow.Freeze, Disk.Kept)), atAcknowledgement: 0.3 }, 5],
  [{ name: 'lose-disk', drawFaults: (draw) => [drawControl(draw, draw.index(CONTROL_HOSTS), Blow.Kill, Disk.Lost)], atAcknowledgement: 0.5 }, 4],
  [{ name: 'lose-two-disks', drawFaults: (draw) => draw.pickSome(CONTROL_NUMBERS, 2).map((host) => drawControl(draw, host, Blow.Kill, Disk.Lost)), atAcknowledgement: 0.7 }, 3],
  [{ name: 'lose-two-disks-kill-others', drawFaults: (draw) => killAll(draw, draw.pickSome(CONTROL_NUMBERS, 2)), atAcknowledgement: 1 }, 3],
  [{ name: 'kill-all', drawFaults: (draw) => killAll(draw, []), atAcknowledgement: 0.7 }, 2],
  [{ name: 'rolling-restart', drawFaults: drawRollingRestart, atAcknowledgement: 0 }, 1],
  [{ name: 'entry-host', drawFaults: drawEntryFault, atAcknowledgement: 0.2 }, 4]
]

/** @returns the next step of a run */
export function drawStep (draw: Draw, entryHosts: number, kinds = STEP_DRAWERS): FaultStep {
  const { name, drawFaults, atAcknowledgement } = draw.pickWeighted(kinds)
  return {
    name,
    atAcknowledgement: draw.chance(atAcknowledgement),
    pauseMilliseconds: draw.pick([draw.between(0, 500), draw.between(1_000, 4_000), draw.between(4_000, 9_000)]),
    overlapsNext: draw.chance(0.4),
    faults: drawFaults(draw, entryHosts)
  }
}

/** @returns the first step, which begins at the first acknowledgement: often a loss of two seeds there or shortly after it */
export function drawFirstStep (draw: Draw, entryHosts: number): FaultStep {
  if (draw.chance(0.5)) return drawStep(draw, entryHosts)
  const delayMilliseconds = draw.pick([0, 0, draw.between(0, 400)])
  const faults = killAll(draw, draw.pickSome(SEED_NUMBERS, 2)).map((fault) => ({ ...fault, delayMilliseconds }))
  return { name: 'lose-two-seeds-kill-others', atAcknowledgement: false, pauseMilliseconds: 0, overlapsNext: false, faults }
}

/** @returns the last step: a loss of as much as the system is to bear, right after an acknowledgement */
export function drawLastStep (draw: Draw): FaultStep {
  const wiped = draw.pickSome(CONTROL_NUMBERS, 2)
  const faults = draw.pick([() => killAll(draw, wiped), () => killAll(draw, []), () => wiped.map((host) => drawControl(draw, host, Blow.Kill, Disk.Lost))])()
  return { name: 'last', atAcknowledgement: true, pauseMilliseconds: 0, overlapsNext: false, faults }
}

/** @returns a fault of a control host that begins with its step */
export function drawControl (draw: Draw, host: number, blow: Blow, disk: Disk): HostFault {
  const downMilliseconds = blow === Blow.Freeze ? draw.between(1_000, LONGEST_FREEZE_MILLISECONDS) : draw.between(SHORTEST_DOWN_MILLISECONDS, LONGEST_DOWN_MILLISECONDS)
  return { role: 'control', host, blow, disk, downMilliseconds, delayMilliseconds: 0 }
}

function killAll (draw: Draw, wiped: readonly number[]): HostFault[] {
  return CONTROL_NUMBERS.map((host) => drawControl(draw, host, Blow.Kill, wiped.includes(host) ? Disk.Lost : draw.pick([Disk.Kept, Disk.Torn])))
}

function drawRollingRestart (draw: Draw): HostFault[] {
  const gapMilliseconds = draw.between(500, ROLLING_GAP_MILLISECONDS)
  return draw.pickSome(CONTROL_NUMBERS, CONTROL_HOSTS).map((host, turn) => ({ ...drawControl(draw, host, Blow.Terminate, Disk.Kept), downMilliseconds: SHORTEST_DOWN_MILLISECONDS, delayMilliseconds: turn * gapMilliseconds }))
}

function drawEntryFault (draw: Draw, entryHosts: number): HostFault[] {
  const fault = drawControl(draw, draw.index(entryHosts), draw.pick([Blow.Kill, Blow.Terminate, Blow.Freeze]), Disk.Kept)
  return [{ ...fault, role: 'entry' }]
}
