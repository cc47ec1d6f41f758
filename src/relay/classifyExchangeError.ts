import { ExchangeFailure } from '../errors/ExchangeError.js'
import { CLOSED_ERROR_CODES, UNSENT_ERROR_CODE } from './connectionErrorCodes.js'

/**
 * @param error - error of the connection or of the HTTP library
 * @param isWritten - whether the request was handed to a connection
 * @returns how the exchange failed
 */
export function classifyExchangeError ({ code = '' }: NodeJS.ErrnoException, isWritten: boolean): ExchangeFailure {
  if (code === UNSENT_ERROR_CODE) return ExchangeFailure.Stale
  if (isWritten) return ExchangeFailure.Broken
  // The host itself closed the connections, as the upstream is not in use any more.
  return CLOSED_ERROR_CODES.has(code) ? ExchangeFailure.Forbidden : ExchangeFailure.Unreachable
}
