import { HibiscusrelayError } from '../../errors/HibiscusrelayError.js'
import { errorTexts } from '../../errors/errorTexts.js'
import { Step } from '../../types/Step.js'
import { DrainTarget } from './DrainTarget.js'
import type { ScheduleEntry } from './ScheduleEntry.js'

const ENTRY_PATTERN = /^(\d+(?:\.\d+)?)s(?:\s+rate\s+(\d+(?:\.\d+)?))?(?:\s+drain\s+(place|upstream)\s+(\S+))?(?:\s+(.*))?$/
/** A note that begins with the keyword of a change is taken for a mistyped change and refused. */
const MISTYPED_CHANGE_PATTERN = /^(?:rate|drain)(?:\s|$)/

/**
 * Parses the schedule of a load run, one entry a line:
 * `<seconds>s [rate <factor>] [drain place <name> | drain upstream <ip:port>] [note]`; `#` begins a comment line.
 *
 * @param file - name of the file for error messages
 * @param text - content of the file
 * @returns the entries ordered by time
 * @throws {@link HibiscusrelayError} naming the first malformed line
 */
export function parseSchedule (file: string, text: string): ScheduleEntry[] {
  const entries: ScheduleEntry[] = []
  for (const [index, line] of text.split('\n').entries()) {
    const trimmed = line.trim()
    if (trimmed === '' || trimmed.startsWith('#')) continue
    entries.push(parseEntry(`${file}:${index + 1}`, trimmed))
  }
  return entries.sort((left, right) => left.atSeconds - right.atSeconds)
}

function parseEntry (location: string, line: string): ScheduleEntry {
  const match = ENTRY_PATTERN.exec(line)
  const [, seconds, factor, target, name, note] = match ?? []
  if (match === null || MISTYPED_CHANGE_PATTERN.test(note ?? '')) throw new HibiscusrelayError(errorTexts.scheduleMalformed(line), { step: Step.Settings, peer: location })
  const changes = [...factor === undefined ? [] : [`rate × ${factor}`], ...name === undefined ? [] : [`drain ${name}`]]
  return {
    atSeconds: Number(seconds),
    note: note ?? changes.join(', '),
    ...factor === undefined ? {} : { rateFactor: Number(factor) },
    ...name === undefined ? {} : { drain: { target: target === DrainTarget.Place ? DrainTarget.Place : DrainTarget.Upstream, name } }
  }
}
