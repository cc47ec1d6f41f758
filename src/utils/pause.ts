/** Waits for a number of milliseconds, or until the signal is aborted. */
export type Pause = (milliseconds: number, signal?: AbortSignal) => Promise<void>

/**
 * Waits with the runtime's timer.
 *
 * @param milliseconds - duration of the wait
 * @param signal - ends the wait early; the promise then resolves as well
 */
export async function pause (milliseconds: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) return
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, milliseconds)
    signal?.addEventListener('abort', finish)
  })
}
