import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const runCollector = runInNewContext('gc') as () => void

/** Runs a full garbage collection, so that memory figures count reachable objects only. */
export function collectGarbage (): void {
  runCollector()
  runCollector()
}
