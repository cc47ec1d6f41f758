/**
 * @param action - what to do once
 * @returns a function whose first call does it; later calls do nothing
 */
export function once<Parameters extends unknown[]> (action: (...parameters: Parameters) => void): (...parameters: Parameters) => void {
  let isDone = false
  return (...parameters) => {
    if (isDone) return
    isDone = true
    action(...parameters)
  }
}
