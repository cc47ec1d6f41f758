import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const runCollector = runInNewContext('gc') as () => void

/** Collects garbage now, so that memory figures count only what is still held. */
export function collectGarbage (): void {
  runCollector()
  runCollector()
}
