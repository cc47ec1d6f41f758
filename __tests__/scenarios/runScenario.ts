import { readFileSync } from 'node:fs'
import { loadavg } from 'node:os'
import { dirname, join } from 'node:path'
import { monitorEventLoopDelay, type IntervalHistogram } from 'node:perf_hooks'
import { sendCopies } from './copySteps.js'
import { expect } from './expect.js'
import { finishLoads, startLoad } from './loadSteps.js'
import { connectDirectly, cut, delay, heal, isolate } from './networkSteps.js'
import { parseScenario } from './parseScenario.js'
import { freeze, kill, restart, start, stop, thaw, wait, wipeDisk } from './processSteps.js'
import { findLeader, replaceReplica } from './replicaSteps.js'
import type { ScenarioStep } from './ScenarioStep.js'
import { findOwner } from './findOwner.js'
import { callOperatorPath, submit, submitMany, submitTogether } from './sheetSteps.js'
import type { StepRunner } from './StepRunner.js'
import { addDomain, addHost, addService, addUpstreams, setSeed, setTimings } from './topologySteps.js'
import { World } from './World.js'

const NANOSECONDS_PER_MILLISECOND = 1_000_000
const PERCENTILE = 99

const STEP_RUNNERS = new Map<string, StepRunner>([
  ['seed', setSeed],
  ['domain', addDomain],
  ['host', addHost],
  ['service', addService],
  ['upstream', addUpstreams],
  ['timing', setTimings],
  ['start', start],
  ['restart', restart],
  ['kill', kill],
  ['freeze', freeze],
  ['thaw', thaw],
  ['stop', stop],
  ['wipe-disk', wipeDisk],
  ['wait', wait],
  ['connect-directly', connectDirectly],
  ['cut', cut],
  ['isolate', isolate],
  ['heal', heal],
  ['delay', delay],
  ['replace', replaceReplica],
  ['submit', submit],
  ['submit-together', submitTogether],
  ['submit-many', submitMany],
  ['find-owner', findOwner],
  ['find-leader', findLeader],
  ['operator', callOperatorPath],
  ['load', startLoad],
  ['copies', sendCopies],
  ['finish', finishLoads],
  ['expect', expect]
])

/** Result of a scenario. */
export interface ScenarioReport {
  file: string
  /** Expectations that did not hold, and steps that failed. */
  failures: string[]
  /** Report lines that the steps recorded, such as replies and measured values. */
  notes: string[]
  seconds: number
  /** Path of the folder with all logs, which is kept only if the scenario failed. */
  folder: string
}

/**
 * Runs a scenario. It continues after a failed expectation and ends at any other failed step.
 *
 * @param file - path of the scenario
 * @param seed - seed to use instead of that in the file
 * @returns the result
 */
export async function runScenario (file: string, seed?: number): Promise<ScenarioReport> {
  const startedAt = performance.now()
  const steps = readSteps(file)
  const world = await World.create()
  const failures: string[] = []
  const timerDelays = monitorEventLoopDelay()
  timerDelays.enable()
  try {
    for (const step of steps) {
      const failure = await runStep(world, step)
      if (step.verb === 'seed' && seed !== undefined) world.seed = seed
      if (failure === undefined) continue
      failures.push(failure)
      if (step.verb !== 'expect') break
    }
  } finally {
    world.notes.push(describeMachine(timerDelays))
    await world.close(failures.length > 0)
  }
  return { file, failures, notes: world.notes, seconds: (performance.now() - startedAt) / 1000, folder: world.folder }
}

/** Describes how busy the machine was, since an overloaded one fails time bounds that hold elsewhere. */
function describeMachine (timerDelays: IntervalHistogram): string {
  const [p99, maximum] = [timerDelays.percentile(PERCENTILE), timerDelays.max].map((nanoseconds) => Math.round(nanoseconds / NANOSECONDS_PER_MILLISECOND))
  return `machine: load average ${loadavg().map((load) => load.toFixed(1)).join(' ')}, timers of the runner fired after p99 ${p99} ms, at most ${maximum} ms`
}

/** Reads a scenario and replaces `include FILE` by the steps of that file in the same folder. */
function readSteps (file: string): ScenarioStep[] {
  return parseScenario(readFileSync(file, 'utf8')).flatMap((step) => {
    return step.verb === 'include' ? readSteps(join(dirname(file), step.words[0] ?? '')) : [step]
  })
}

/**
 * Runs one step.
 *
 * @param world - state of the scenario run
 * @param step - step to run
 * @returns the cause of the failure, undefined if the step succeeded
 */
export async function runStep (world: World, step: ScenarioStep): Promise<string | undefined> {
  const runner = STEP_RUNNERS.get(step.verb)
  if (runner === undefined) return `line ${step.line}: no step is named ${step.verb}`
  try {
    await runner(world, step)
    return undefined
  } catch (error) {
    return error instanceof Error ? error.message : String(error)
  }
}
