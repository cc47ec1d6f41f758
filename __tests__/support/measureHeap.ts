import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** @returns bytes on the heap and outside it that are in use, after a collection */
export function measureHeap (): number {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  collect()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
