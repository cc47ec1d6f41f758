import type { PlaceShare } from '../../src/steering/PlaceShare.js'
import { HOST_DOMAINS, createModelCandidates, SLOTS } from './createModelCandidates.js'
import { computePercentile, QueueModel, type ModelChooser, type ModelSettings } from './QueueModel.js'
import { createViewChooser, type ViewChooserSettings } from './createViewChooser.js'

const REQUESTS = 300_000

/** Slots and one-way delays of a service in a deployment. */
interface Deployment {
  name: string
  /** Slots in each failure domain. */
  slots: number[]
  /** Delay between failure domains of a region. */
  domainDelayMilliseconds: number
  /** Delay between regions. */
  regionDelayMilliseconds: number
}

const DEPLOYMENTS: Deployment[] = [
  { name: 'megafonia inventario', slots: SLOTS.inventario, domainDelayMilliseconds: 0.5, regionDelayMilliseconds: 55 },
  { name: 'megafonia reservas', slots: SLOTS.reservas, domainDelayMilliseconds: 0.5, regionDelayMilliseconds: 55 },
  { name: 'rikkszerviz workshop-desk', slots: [4, 4, 3, 3, 3, 3].map((servers) => servers * 3), domainDelayMilliseconds: 1.4, regionDelayMilliseconds: 12 },
  { name: 'rikkszerviz supply-desk', slots: SLOTS.reservas, domainDelayMilliseconds: 1.4, regionDelayMilliseconds: 12 }
]

const LOAD_PATTERNS = [
  { name: 'even 80%', loads: [0.8, 0.8, 0.8, 0.8, 0.8, 0.8] },
  { name: 'one domain 160%, 80% in all', loads: [1.6, 0.64, 0.64, 0.64, 0.64, 0.64] }
]

/** A way to choose pools, under comparison. */
interface Policy {
  name: string
  createChooser: (model: QueueModel) => ModelChooser
}

/** Place shares like those of a sheet: 90% in the local failure domain, 10% in the other one of the region. */
function createSheetShares (domain: number): PlaceShare[] {
  return createModelCandidates().map(({ place }, index) => ({
    place,
    fraction: index === domain ? 0.9 : index >> 1 === domain >> 1 ? 0.1 : 0
  }))
}

/** Directs all requests to the local failure domain. */
function createLocalShares (domain: number): PlaceShare[] {
  return [{ place: `place-${domain}`, fraction: 1 }]
}

/** Spreads the requests evenly over all failure domains. */
function createEvenShares (): PlaceShare[] {
  return createModelCandidates().map(({ place }) => ({ place, fraction: 1 / 6 }))
}

/** Creates the pool choice of hibiscusrelay with gossip each second and reports on answers, unless overridden. */
function createChooserFactory (overrides: Partial<ViewChooserSettings>): (model: QueueModel) => ModelChooser {
  return (model) => createViewChooser(model, { viewSettings: {}, gossipIntervalMilliseconds: 1000, gossipDelayMilliseconds: 50, hasAnswerReports: true, getShares: createSheetShares, ...overrides })
}

const POLICIES: Policy[] = [
  { name: 'own domain only', createChooser: createChooserFactory({ getShares: createLocalShares }) },
  { name: 'even shares over all domains', createChooser: createChooserFactory({ getShares: createEvenShares }) },
  { name: 'sheet shares, spill by room alone', createChooser: createChooserFactory({ viewSettings: { waitWeight: 1e6 } }) },
  ...[1, 2, 4, 8].map((waitWeight) => ({ name: `sheet shares, wait weight ${waitWeight}`, createChooser: createChooserFactory({ viewSettings: { waitWeight } }) })),
  { name: 'weight 2, no reports on answers', createChooser: createChooserFactory({ hasAnswerReports: false }) },
  { name: 'weight 2, no gossip', createChooser: createChooserFactory({ gossipIntervalMilliseconds: 1e9 }) },
  { name: 'weight 2, pool 1 reports all slots free', createChooser: createChooserFactory({ misreportingPool: 1 }) }
]

/**
 * Measures the pool choice of hibiscusrelay with the delays of both deployments.
 *
 * @param seed - seed of arrivals and choices
 * @returns one printable line for each deployment, load and policy; delays in milliseconds
 */
export function measureDeploymentChoices (seed: number): string[] {
  return DEPLOYMENTS.flatMap((deployment) => LOAD_PATTERNS.flatMap(({ name, loads }) => POLICIES.map((policy) => {
    const model = new QueueModel(createModelSettings(deployment, loads, seed))
    const { delays, otherRegionFraction } = model.run(policy.createChooser(model))
    const percentiles = [{ name: 'p50', fraction: 0.5 }, { name: 'p99', fraction: 0.99 }, { name: 'p999', fraction: 0.999 }].map(({ name, fraction }) => `${name}=${computePercentile(delays, fraction).toFixed(1)}`).join(' ')
    return `${deployment.name.padEnd(26)} ${name.padEnd(28)} ${policy.name.padEnd(40)} delay ${percentiles} other_region=${(otherRegionFraction * 100).toFixed(1)}%`
  })))
}

function createModelSettings (deployment: Deployment, loads: number[], seed: number): ModelSettings {
  return {
    seed,
    requests: REQUESTS,
    slots: deployment.slots,
    hostDomains: HOST_DOMAINS,
    loads,
    getDelayMilliseconds: (from, to) => from === to ? 0 : from >> 1 === to >> 1 ? deployment.domainDelayMilliseconds : deployment.regionDelayMilliseconds
  }
}
