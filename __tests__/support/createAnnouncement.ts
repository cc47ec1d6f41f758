import type { Announcement } from '../../src/relay/Announcement.js'
import { UpstreamState } from '../../src/relay/Announcement.js'

/** Creates an announcement with default values, some of which may be overridden. */
export function createAnnouncement (overrides: Partial<Announcement> = {}): Announcement {
  return {
    service: 'inventario',
    address: '127.0.0.1:9',
    identity: 'process-1',
    sequence: 1,
    state: UpstreamState.Ready,
    slots: 2,
    connections: 660,
    running: 0,
    echoesRequest: true,
    redirects: 0,
    ...overrides
  }
}

/** Log that discards all events. */
export const silentLog = { info: () => {}, warn: () => {}, error: () => {} }
