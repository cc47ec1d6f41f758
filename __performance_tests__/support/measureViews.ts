import { pickLessLoaded } from '../../src/steering/pickLessLoaded.js'
import { HOST_DOMAINS, createModelCandidates, SLOTS } from './createModelCandidates.js'
import { computePercentile, QueueModel, type ModelChoice, type ModelChooser, type ModelHost, type ModelResult } from './QueueModel.js'
import { createViewChooser } from './createViewChooser.js'

const REQUESTS = 300_000
const LOAD = 0.8

/** A way to choose pools, under comparison. */
interface Policy {
  name: string
  /** Replaces the slots of the pools; unset, they stay. */
  mergeSlots?: (slots: number[]) => number[]
  createChooser: (model: QueueModel) => ModelChooser
}

const createWaitingChoice = (pool: number): ModelChoice => ({ pool, mayWait: true })
const listPoolIndexes = (model: QueueModel) => model.pools.map((_, index) => index)

/** Picks two random pools, and takes the one with more free slots in a view of a fixed age. */
function createTwoChoicesFactory (ageMilliseconds: number): (model: QueueModel) => ModelChooser {
  return (model) => ({ choose: () => createWaitingChoice(pickLessLoaded(listPoolIndexes(model), (index) => -model.pools[index]!.getPastFreeSlots(ageMilliseconds), model.random)!) })
}

/** Takes the pool with the most free slots in a view of a fixed age. */
function createLeastLoadedFactory (ageMilliseconds: number): (model: QueueModel) => ModelChooser {
  return (model) => ({
    choose: () => {
      const freeSlots = model.pools.map((pool) => pool.getPastFreeSlots(ageMilliseconds))
      return createWaitingChoice(freeSlots.indexOf(Math.max(...freeSlots)))
    }
  })
}

/** Picks a random pool, weighted by its slots. */
function createRandomChooser (model: QueueModel): ModelChooser {
  const totalSlots = model.pools.reduce((sum, { slots }) => sum + slots, 0)
  return {
    choose: () => {
      let remainingSlots = model.random() * totalSlots
      return createWaitingChoice(model.pools.findIndex(({ slots }) => (remainingSlots -= slots) < 0))
    }
  }
}

/** Two random choices by the pool view of hibiscusrelay: reports on answers, corrected by the requests that the host has sent since. */
function createTwoChoicesByViewFactory (agingMilliseconds: number): (model: QueueModel) => ModelChooser {
  return (model) => {
    const candidates = createModelCandidates()
    const chooser = createViewChooser(model, { viewSettings: { agingMilliseconds }, gossipIntervalMilliseconds: 1000, gossipDelayMilliseconds: 0, hasAnswerReports: true, getShares: () => [] })
    const choose = (host: ModelHost) => {
      const getFreeSlots = (index: number) => chooser.views[host.index]!.freeSlots(candidates[index]!.owner)
      return createWaitingChoice(pickLessLoaded(listPoolIndexes(model), (index) => -getFreeSlots(index), model.random)!)
    }
    return { ...chooser, choose }
  }
}

const POLICIES: Policy[] = [
  { name: 'one ideal queue', mergeSlots: (slots) => [slots.reduce((sum, count) => sum + count, 0)], createChooser: () => ({ choose: () => createWaitingChoice(0) }) },
  { name: 'two choices, fresh view', createChooser: createTwoChoicesFactory(0) },
  { name: 'two choices, view 10 ms old', createChooser: createTwoChoicesFactory(10) },
  { name: 'two choices, view 100 ms old', createChooser: createTwoChoicesFactory(100) },
  { name: 'least loaded, view 10 ms old', createChooser: createLeastLoadedFactory(10) },
  { name: 'least loaded, view 100 ms old', createChooser: createLeastLoadedFactory(100) },
  { name: 'random by slots', createChooser: createRandomChooser },
  ...[25, 50, 100, 200, 1000].map((agingMilliseconds) => ({ name: `two choices, own view, aging ${agingMilliseconds} ms`, createChooser: createTwoChoicesByViewFactory(agingMilliseconds) }))
]

/**
 * Measures how the age and the correction of a view affect the wait, without delays between failure domains.
 *
 * @param seed - seed of arrivals and choices
 * @returns one printable line for each service and policy; waits in milliseconds
 */
export function measureViews (seed: number): string[] {
  return Object.entries(SLOTS).flatMap(([service, slots]) => POLICIES.map((policy) => {
    const policySlots = policy.mergeSlots?.(slots) ?? slots
    const result = runPolicy(policy, seed, policySlots)
    return `${service.padEnd(11)} ${policy.name.padEnd(38)} wait p50=${formatPercentile(result, 0.5)} p99=${formatPercentile(result, 0.99)} p999=${formatPercentile(result, 0.999)}`
  }))
}

function runPolicy (policy: Policy, seed: number, slots: number[]): ModelResult {
  const hostDomains = slots.length === 1 ? HOST_DOMAINS.map(() => 0) : HOST_DOMAINS
  const model = new QueueModel({ seed, requests: REQUESTS, slots, hostDomains, loads: slots.map(() => LOAD), getDelayMilliseconds: () => 0 })
  return model.run(policy.createChooser(model))
}

function formatPercentile (result: ModelResult, fraction: number): string {
  return computePercentile(result.delays, fraction).toFixed(1)
}
