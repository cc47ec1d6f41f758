import type { LogEntry } from './LogEntry.js'

/** Callbacks by which a replica notifies its current leadership. */
export interface LeadershipHooks {
  /** @returns whether a majority answered calls sent within the lease time */
  hasQuorum (): boolean
  /** Called after an entry is applied, with the result of its value. */
  onEntryApplied (entry: LogEntry, result: unknown): void
  /** Called when the replica stops being the leader. */
  onLeadershipEnded (): void
}
