import type { RelayedRequest } from '../../src/relay/RelayedRequest.js'
import { RequestClass } from '../../src/types/RequestClass.js'

/** @returns an idempotent request with the given fingerprint and time until its deadline */
export function createRelayedRequest (fingerprint: string, milliseconds: number, cancelled: RelayedRequest['cancelled'] = new AbortController().signal): RelayedRequest {
  return {
    id: 'r', service: 'inventario', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), requestClass: RequestClass.Idempotent, key: undefined, deadline: performance.now() + milliseconds, fingerprint, mayWait: true, mayStart: () => true, cancelled
  }
}
