import type { ServerResponse } from 'node:http'

/**
 * @param response - response to a request
 * @returns a function that calls another one as soon as the response has been sent or its connection is closed
 */
export function createRelease (response: ServerResponse): (release: () => void) => void {
  return (release) => {
    if (response.closed) release()
    else response.once('close', release)
  }
}
