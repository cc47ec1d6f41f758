import type { FollowReply } from '../../src/follow/FollowMessages.js'

/** @returns a reply of a control host, with the given fields replaced */
export function createFollowReply (overrides: Partial<FollowReply>, evacuationRevision = 0): FollowReply {
  const position = { feed: 'f', revision: 1, crashRevision: 0, planVersion: 0, evacuationRevision }
  return { position, upstreams: [], isComplete: false, isCurrent: true, entryHosts: 4, demand: {}, controlHosts: [], crashes: { requests: [], unreachableUpstreams: [] }, losses: [], ...overrides }
}
