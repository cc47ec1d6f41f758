/** Tells whether the caller of an order still waits for its answer; one that has left may have been answered by another host. */
export type IsCallerWaiting = () => Promise<boolean>
