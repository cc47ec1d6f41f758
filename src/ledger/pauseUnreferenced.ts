/**
 * Waits with a timer that does not keep the process alive.
 *
 * @param milliseconds - duration of the wait
 */
export async function pauseUnreferenced (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds).unref() })
}
