import type { LogEntry } from '../LogEntry.js'
import type { LogPosition } from '../LogPosition.js'

/** Content of one write to the log file. */
export interface LogFrame {
  /** Position before the first entry of the file; in its first frame only. */
  base?: LogPosition
  /** Entries; they replace all earlier entries from the first one's index on. */
  entries: LogEntry[]
}
