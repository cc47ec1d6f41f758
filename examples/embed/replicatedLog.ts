// Embeds the replicated log in a program: three replicas in one process count votes for lunch and agree on the result.
import { randomUUID } from 'node:crypto'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Counters, diskFiles, ReplicatedLog } from '../../src/hibiscusrelay.js'
import { MemoryPeers } from './MemoryPeers.js'

const ADDRESSES = ['replica:1', 'replica:2', 'replica:3']
const RETRY_MILLISECONDS = 50
const SILENT_LOG = { info: () => {}, warn: () => {}, error: () => {} }

interface Vote {
  dish: string
}

/**
 * Counts votes on three replicas, and waits until every replica has applied all of them.
 *
 * @param dishes - one vote each
 * @returns the votes for each dish, once for each replica
 */
export async function countVotes (dishes: string[]): Promise<Array<Record<string, number>>> {
  const folder = mkdtempSync(join(tmpdir(), 'hibiscusrelay-embed-'))
  const peers = new MemoryPeers()
  const counts = ADDRESSES.map(() => new Map<string, number>())
  const replicas = ADDRESSES.map((address, index) => new ReplicatedLog<Vote, number>({
    folder: join(folder, String(index)),
    files: diskFiles,
    address,
    callPeer: peers.callPeer,
    registerHandler: peers.registerAt(address),
    apply: ({ dish }) => {
      const count = (counts[index]!.get(dish) ?? 0) + 1
      counts[index]!.set(dish, count)
      return count
    },
    snapshot: () => [...counts[index]!],
    restore: (state) => { counts[index] = new Map(state as Array<[string, number]> | undefined) },
    random: Math.random,
    makeIdentity: randomUUID,
    log: SILENT_LOG,
    counters: new Counters()
  }))
  for (const replica of replicas) {
    await replica.open()
    replica.start()
  }
  await replicas[0]!.bootstrap(ADDRESSES)
  for (const dish of dishes) await proposeVote(replicas[0]!, dish)
  while (counts.some((count) => sumCounts(count) < dishes.length)) await sleep(RETRY_MILLISECONDS)
  for (const replica of replicas) await replica.stop()
  rmSync(folder, { recursive: true })
  return counts.map((count) => Object.fromEntries(count))
}

/** Proposes a vote repeatedly until a leader has committed it. */
async function proposeVote (replica: ReplicatedLog<Vote, number>, dish: string): Promise<void> {
  while ((await replica.propose({ dish })).result === undefined) await sleep(RETRY_MILLISECONDS)
}

function sumCounts (counts: Map<string, number>): number {
  return [...counts.values()].reduce((total, count) => total + count, 0)
}
