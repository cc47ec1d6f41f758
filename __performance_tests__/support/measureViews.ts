import { pickLessLoaded } from '../../src/steering/pickLessLoaded.js'
import { HOST_DOMAINS, createModelCandidates, SLOTS } from './createModelCandidates.js'
import { computePercentile, QueueModel, type ModelChoice, type ModelChooser, type ModelHost, type ModelResult } from './QueueModel.js'
import { createViewChooser } from './createViewChooser.js'

const REQUESTS = 300_000
const LOAD = 0.8

interface Policy {
  name: string
  mergeSlots?: (slots: number[]) => number[]
  chooser: (model: QueueModel) => ModelChooser
}

const createWaitingChoice = (pool: number): ModelChoice => ({ pool, mayWait: true })
const listPoolIndexes = (model: QueueModel) => model.pools.map((_, index) => index)

function createTwoChoicesFactory (ageMilliseconds: number): (model: QueueModel) => ModelChooser {
  return (model) => ({ choose: () => createWaitingChoice(pickLessLoaded(listPoolIndexes(model), (index) => -model.pools[index]!.getPastFreeSlots(ageMilliseconds), model.random)!) })
}

function createLeastLoadedFactory (ageMilliseconds: number): (model: QueueModel) => ModelChooser {
  return (model) => ({
    choose: () => {
      const freeSlots = model.pools.map((pool) => pool.getPastFreeSlots(ageMilliseconds))
      return createWaitingChoice(freeSlots.indexOf(Math.max(...freeSlots)))
    }
  })
}

function createRandomChooser (model: QueueModel): ModelChooser {
  const totalSlots = model.pools.reduce((sum, { slots }) => sum + slots, 0)
  return {
    choose: () => {
      let remainingSlots = model.random() * totalSlots
      return createWaitingChoice(model.pools.findIndex(({ slots }) => (remainingSlots -= slots) < 0))
    }
  }
}

/** Two choices by the product's view: reports on answers, corrected by what the host sent since. */
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
  { name: 'one ideal queue', mergeSlots: (slots) => [slots.reduce((sum, count) => sum + count, 0)], chooser: () => ({ choose: () => createWaitingChoice(0) }) },
  { name: 'two choices, fresh view', chooser: createTwoChoicesFactory(0) },
  { name: 'two choices, view 10 ms old', chooser: createTwoChoicesFactory(10) },
  { name: 'two choices, view 100 ms old', chooser: createTwoChoicesFactory(100) },
  { name: 'least loaded, view 10 ms old', chooser: createLeastLoadedFactory(10) },
  { name: 'least loaded, view 100 ms old', chooser: createLeastLoadedFactory(100) },
  { name: 'random by slots', chooser: createRandomChooser },
  ...[25, 50, 100, 200, 1000].map((agingMilliseconds) => ({ name: `two choices, own view, aging ${agingMilliseconds} ms`, chooser: createTwoChoicesByViewFactory(agingMilliseconds) }))
]

/**
 * Measures what the age and the correction of a view cost, without delays between failure domains.
 *
 * @param seed - seed of arrivals and choices
 * @returns lines of text
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
  return model.run(policy.chooser(model))
}

function formatPercentile (result: ModelResult, fraction: number): string {
  return computePercentile(result.delays, fraction).toFixed(1)
}
