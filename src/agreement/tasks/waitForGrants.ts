/**
 * Waits until the required number of calls is granted, or can no longer be reached.
 *
 * @param calls - promises of whether each call is granted; a rejected promise counts as not granted
 * @param requiredGrants - number of grants to wait for
 * @returns whether that number was reached
 */
export function waitForGrants (calls: Array<Promise<boolean>>, requiredGrants: number): Promise<boolean> {
  if (requiredGrants <= 0) return Promise.resolve(true)
  return new Promise((resolve) => {
    let grantedCalls = 0
    let pendingCalls = calls.length
    if (pendingCalls < requiredGrants) resolve(false)
    const settle = (isGranted: boolean): void => {
      pendingCalls -= 1
      if (isGranted) grantedCalls += 1
      if (grantedCalls >= requiredGrants) resolve(true)
      if (grantedCalls + pendingCalls < requiredGrants) resolve(false)
    }
    for (const call of calls) call.then(settle, () => settle(false))
  })
}
