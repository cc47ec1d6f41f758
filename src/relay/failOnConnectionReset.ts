import type { buildConnector } from 'undici'

/**
 * Makes a connection that is reset fail the answer that is being read. The HTTP library takes a reset for the end of an
 * answer whose length is not known beforehand, so that a part would pass for the whole; it goes by the error's code.
 *
 * @param connect - makes connections
 * @returns a function that makes connections whose resets are told from their end
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
