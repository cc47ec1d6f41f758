import { RequestClass } from '../../types/RequestClass.js'
import { LoadProfile } from './LoadProfile.js'
import type { LoadStream } from './LoadStream.js'

const DEADLINE_MILLISECONDS = 2000
const BODY_BYTES = 200

/** A service of a deployment, with its number of slots at full scale. */
interface ProfileService {
  service: string
  requestClass: RequestClass
  slots: number
}

const SERVICES_BY_PROFILE: Record<LoadProfile, ProfileService[]> = {
  [LoadProfile.Megafonia]: [
    { service: 'inventario', requestClass: RequestClass.Idempotent, slots: 140 },
    { service: 'reservas', requestClass: RequestClass.OneTime, slots: 36 }
  ],
  [LoadProfile.Rikkszerviz]: [
    { service: 'workshop-desk', requestClass: RequestClass.Idempotent, slots: 60 },
    { service: 'supply-desk', requestClass: RequestClass.OneTime, slots: 36 }
  ]
}

/**
 * Composes the streams that keep a fraction of a deployment's slots busy.
 *
 * @param profile - deployment to imitate
 * @param scale - fraction of the deployment's slots that exists
 * @param utilization - fraction of these slots that the load keeps busy
 * @param serviceTimeMilliseconds - mean service time of the upstreams
 * @returns one stream for each service of the deployment
 */
export function composeProfileStreams (profile: LoadProfile, scale: number, utilization: number, serviceTimeMilliseconds: number): LoadStream[] {
  return SERVICES_BY_PROFILE[profile].map(({ service, requestClass, slots }) => ({
    service,
    requestClass,
    requestsPerSecond: slots * scale * utilization * 1000 / serviceTimeMilliseconds,
    maximumRequests: Infinity,
    path: 'load',
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    bodyBytes: BODY_BYTES,
    resends: 0,
    resendWithinMilliseconds: 0
  }))
}
