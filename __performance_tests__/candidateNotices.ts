// Measures what notices of upstreams add to the choice of candidates: node build/__performance_tests__/candidateNotices.js
import { listCandidates, type CandidateQuery } from '../src/entry/listCandidates.js'
import { UpstreamLoads } from '../src/entry/UpstreamLoads.js'
import { KnownState } from '../src/follow/KnownState.js'
import { UpstreamPause } from '../src/placement/UpstreamPause.js'
import { createFollowReply } from '../__tests__/follow/createFollowReply.js'
import { createPlan } from '../__tests__/plan/createPlan.js'
import { createUpstreamRecord } from '../__tests__/registry/createUpstreamRecord.js'

const UPSTREAM_COUNTS = [32, 630]
const ROUNDS = 300
/** The same objects in each round, so that each host orders the same upstreams. */
const CHOICES_PER_ROUND = 20
/** Other processes slow some rounds down: the time compared is that of the round at this place of the order, from 0 to 1. */
const COMPARED_QUANTILE = 0.1
const PAUSE_MILLISECONDS = 600_000
const MICROSECONDS_PER_MILLISECOND = 1_000

/** A host that has heard some notices. */
interface KnownHost {
  name: string
  known: KnownState
  loads: UpstreamLoads
  /** Time of one choice in each round, in microseconds. */
  rounds: number[]
}

function createHost (name: string, upstreamCount: number, mark: (host: KnownHost) => void): KnownHost {
  const known = new KnownState()
  const upstreams = Array.from({ length: upstreamCount }, (_, number) => ({ record: createUpstreamRecord({ id: `i-${number}`, address: `127.0.0.9:${number + 1}` }), isLost: false }))
  known.merge(createFollowReply({ plan: createPlan(1), upstreams, isComplete: true, entryHosts: 1 }))
  const host = { name, known, loads: new UpstreamLoads(known), rounds: [] }
  mark(host)
  return host
}

function pause ({ known, loads }: KnownHost, id: string): void {
  const { bornAt } = known.upstreams.get(id)!.record
  loads.pause(id, new UpstreamPause(bornAt, performance.now() + PAUSE_MILLISECONDS))
}

function createQuery (number: number): CandidateQuery {
  return { service: 'inventario', placementKey: `lookups|${number}`, homeRegions: undefined, region: 'asturias', excludedUpstreams: new Set(), regionOf: () => 'asturias', canUseCold: () => true }
}

/** @returns time of one choice in microseconds */
function measureRound ({ known, loads }: KnownHost): number {
  const start = performance.now()
  for (let number = 0; number < CHOICES_PER_ROUND; number += 1) listCandidates(known, loads, createQuery(number))
  return (performance.now() - start) / CHOICES_PER_ROUND * MICROSECONDS_PER_MILLISECOND
}

function findQuantile (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length * COMPARED_QUANTILE)]!
}

for (const upstreamCount of UPSTREAM_COUNTS) {
  const hosts = [
    createHost('no notice', upstreamCount, () => {}),
    createHost('no notice, a second time', upstreamCount, () => {}),
    createHost('one leaves', upstreamCount, ({ known }) => { known.markLeaving(known.upstreams.get('i-0')!.record) }),
    createHost('one is paused', upstreamCount, (host) => { pause(host, 'i-0') }),
    createHost('one leaves, one is paused', upstreamCount, (host) => {
      host.known.markLeaving(host.known.upstreams.get('i-0')!.record)
      pause(host, 'i-1')
    })
  ]
  for (let round = 0; round < ROUNDS; round += 1) {
    for (let turn = 0; turn < hosts.length; turn += 1) {
      const host = hosts[(round + turn) % hosts.length]!
      host.rounds.push(measureRound(host))
    }
  }
  const base = findQuantile(hosts[0]!.rounds)
  for (const { name, rounds } of hosts) {
    const time = findQuantile(rounds)
    console.log(`${upstreamCount} upstreams, ${name}: ${time.toFixed(2)} microseconds a choice, ${(time - base).toFixed(2)} beyond no notice`)
  }
}
