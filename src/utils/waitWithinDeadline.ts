/**
 * Waits for the result of work until a deadline. The deadline does not cancel the work.
 *
 * @param work - promise of the result
 * @param deadline - latest time of the return, on the clock of `performance.now()`
 * @returns the result, undefined when the deadline passed first
 * @throws the error of the work, if it fails before the deadline
 */
export async function waitWithinDeadline<Result> (work: Promise<Result>, deadline: number): Promise<Result | undefined> {
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => { resolve(undefined) }, Math.max(0, deadline - performance.now()))
  })
  try {
    return await Promise.race([work, timeout])
  } finally {
    clearTimeout(timer)
  }
}
