/** An abort signal that follows other signals until it is released. */
export interface JoinedSignal {
  signal: AbortSignal
  /** Stops following the other signals; long-lived ones would otherwise keep a listener for each joined signal. */
  release: () => void
}

/**
 * Creates a signal that is aborted as soon as one of the given signals is.
 *
 * @param signals - signals to follow; some may already be aborted
 */
export function joinSignals (signals: readonly AbortSignal[]): JoinedSignal {
  const controller = new AbortController()
  const abort = (): void => { controller.abort() }
  for (const signal of signals) {
    if (signal.aborted) abort()
    signal.addEventListener('abort', abort)
  }
  return {
    signal: controller.signal,
    release: () => { for (const signal of signals) signal.removeEventListener('abort', abort) }
  }
}
