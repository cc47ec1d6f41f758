import { RequestClass } from '../../src/types/RequestClass.js'

/** One kind of request at a site. */
export interface ModelKind {
  name: string
  service: string
  requestClass: RequestClass
  requestsPerSecond: number
  /** Mean run time on an object that the upstream does not remember. */
  workMilliseconds: number
  /** Latency up to which an answer earns the full worth. */
  objectiveMilliseconds: number
  /** Time limit of one attempt of the guest. */
  timeoutMilliseconds: number
  /** Time limit over all attempts of the guest. */
  deadlineMilliseconds: number
  priority: number
  /** Credit for an answer within the objective. */
  worth: number
  /** Credit for a later answer. */
  lateWorth: number
  /** Number of objects that guests of one region request. */
  objectCount: number
}

/** One service at a site, with settings for each of its upstreams. */
export interface ModelService {
  name: string
  /** Number of upstreams in each failure domain. */
  upstreamsPerDomain: number[]
  slots: number
  /** Maximum number of waiting requests. */
  queueLength: number
  /** Maximum number of objects that an upstream remembers. */
  warmObjects: number
}

/** The site of a user, with three regions of two failure domains each. */
export interface ModelSite {
  name: string
  /** One-way delay between regions. */
  regionDelayMilliseconds: number
  /** Number of entry hosts in each failure domain. */
  hostsPerDomain: number[]
  services: ModelService[]
  kinds: ModelKind[]
}

const idempotent = RequestClass.Idempotent
const oneTime = RequestClass.OneTime

/** Sites with sizes, rates and times from the users' sheets of services and requests. */
export const modelSites: readonly ModelSite[] = [
  {
    name: 'megafonia',
    regionDelayMilliseconds: 55,
    hostsPerDomain: [4, 2, 4, 2, 2, 2],
    services: [
      { name: 'inventario', upstreamsPerDomain: [4, 4, 5, 5, 1, 1], slots: 9, queueLength: 27, warmObjects: 41 },
      { name: 'reservas', upstreamsPerDomain: [2, 2, 3, 3, 1, 1], slots: 3, queueLength: 9, warmObjects: 50 }
    ],
    kinds: [
      { name: 'stock-lookup', service: 'inventario', requestClass: idempotent, requestsPerSecond: 168, workMilliseconds: 880, objectiveMilliseconds: 600, timeoutMilliseconds: 1_500, deadlineMilliseconds: 4_000, priority: 2, worth: 1, lateWorth: 0.2, objectCount: 42 },
      { name: 'deposit-refund', service: 'inventario', requestClass: oneTime, requestsPerSecond: 60.3, workMilliseconds: 1_160, objectiveMilliseconds: 800, timeoutMilliseconds: 2_000, deadlineMilliseconds: 6_000, priority: 1, worth: 2, lateWorth: 0.4, objectCount: 24 },
      { name: 'kit-booking', service: 'reservas', requestClass: oneTime, requestsPerSecond: 50.8, workMilliseconds: 600, objectiveMilliseconds: 500, timeoutMilliseconds: 1_200, deadlineMilliseconds: 3_000, priority: 0, worth: 3, lateWorth: 0.6, objectCount: 24 },
      { name: 'return-confirm', service: 'reservas', requestClass: oneTime, requestsPerSecond: 17.8, workMilliseconds: 720, objectiveMilliseconds: 600, timeoutMilliseconds: 1_500, deadlineMilliseconds: 4_000, priority: 2, worth: 1, lateWorth: 0.2, objectCount: 24 }
    ]
  },
  {
    name: 'rikkszerviz',
    regionDelayMilliseconds: 12,
    hostsPerDomain: [4, 2, 2, 2, 4, 2],
    services: [
      { name: 'workshop-desk', upstreamsPerDomain: [5, 5, 1, 1, 4, 4], slots: 3, queueLength: 9, warmObjects: 31 },
      { name: 'supply-desk', upstreamsPerDomain: [3, 3, 1, 1, 2, 2], slots: 3, queueLength: 9, warmObjects: 50 }
    ],
    kinds: [
      { name: 'part-lookup', service: 'workshop-desk', requestClass: idempotent, requestsPerSecond: 105, workMilliseconds: 480, objectiveMilliseconds: 300, timeoutMilliseconds: 800, deadlineMilliseconds: 2_500, priority: 2, worth: 1, lateWorth: 0.2, objectCount: 26 },
      { name: 'repair-book', service: 'workshop-desk', requestClass: oneTime, requestsPerSecond: 41.3, workMilliseconds: 640, objectiveMilliseconds: 400, timeoutMilliseconds: 1_000, deadlineMilliseconds: 3_000, priority: 1, worth: 2, lateWorth: 0.4, objectCount: 24 },
      { name: 'parts-order', service: 'supply-desk', requestClass: oneTime, requestsPerSecond: 26.9, workMilliseconds: 336, objectiveMilliseconds: 250, timeoutMilliseconds: 600, deadlineMilliseconds: 1_500, priority: 0, worth: 3, lateWorth: 0.6, objectCount: 24 },
      { name: 'insp-sign', service: 'supply-desk', requestClass: oneTime, requestsPerSecond: 11.8, workMilliseconds: 384, objectiveMilliseconds: 250, timeoutMilliseconds: 800, deadlineMilliseconds: 2_000, priority: 2, worth: 1, lateWorth: 0.2, objectCount: 24 }
    ]
  }
]
