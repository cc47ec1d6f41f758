/**
 * Waits until enough of several calls were granted, or enough can no longer be.
 *
 * @param calls - each resolves to whether it was granted; a rejected call counts as not granted
 * @param requiredGrants - how many grants are enough
 * @returns whether enough were granted
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
