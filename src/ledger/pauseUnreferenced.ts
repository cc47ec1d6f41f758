/**
 * Waits without keeping the process alive.
 *
 * @param milliseconds - how long
 */
export async function pauseUnreferenced (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds).unref() })
}
