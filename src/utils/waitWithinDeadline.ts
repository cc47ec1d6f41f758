/**
 * Waits for a result, but no longer than a deadline. The work itself goes on.
 *
 * @param work - the work
 * @param deadline - on the clock of `performance.now()`
 * @returns its result, undefined when the deadline came first
 * @throws what the work throws before the deadline
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
