import type { buildConnector } from 'undici'
import { CLOSING_ERROR_CODE, CONNECTION_ERROR_CODE, UNSENT_ERROR_CODE } from './connectionErrorCodes.js'

/**
 * Makes an error of a connection, such as its reset, fail the answer that is being read, and no request that waits for the
 * connection. The HTTP library treats the error code `ECONNRESET` as the end of an answer of unknown length, so that a
 * truncated answer would look complete, and takes codes that it does not know for the failure of all waiting requests;
 * hence the code is replaced.
 *
 * @param connect - opens connections
 * @returns a connector for connections whose reset is an error
 */
export function failOnConnectionReset (connect: buildConnector.connector): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result: Parameters<buildConnector.Callback>) => {
      const [, socket] = result
      socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
        if (error.code !== CLOSING_ERROR_CODE && error.code !== UNSENT_ERROR_CODE) error.code = CONNECTION_ERROR_CODE
      })
      callback(...result)
    })
  }
}
