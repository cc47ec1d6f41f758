import { ControlFollower, type ControlFollowerOptions } from '../../src/follow/ControlFollower.js'

const silentLog = { info: () => {}, warn: () => {}, error: () => {} }

/** @returns a follower for an entry host in oviedo, with the given options replaced */
export function createFollower (overrides: Pick<ControlFollowerOptions, 'seeds' | 'known' | 'callPeer'> & Partial<ControlFollowerOptions>): ControlFollower {
  return new ControlFollower({
    describeHost: () => ({ name: 'entry-1', domain: 'oviedo', region: 'asturias', guestAddress: '127.0.0.1:1', isReady: true, demand: {} }),
    onCrashes: () => {},
    onNewFeed: () => {},
    onUpstreams: () => {},
    onPlan: () => {},
    random: () => 0,
    log: silentLog,
    ...overrides
  })
}
