import type { buildConnector } from 'undici'

/**
 * Makes the reset of a connection fail the answer that is being read. The HTTP library treats the error code `ECONNRESET`
 * as the end of an answer of unknown length, so that a truncated answer would look complete; hence the code is replaced.
 *
 * @param connect - opens connections
 * @returns a connector for connections whose reset is an error
 */
export function failOnConnectionReset (connect: buildConnector.connector): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result: Parameters<buildConnector.Callback>) => {
      const [, socket] = result
      socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNRESET') error.code = 'ERR_CONNECTION_RESET'
      })
      callback(...result)
    })
  }
}
