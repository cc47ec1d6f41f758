/** Code of an error of a connection that took no byte of the request, so that the request can be sent on another one. */
export const UNSENT_ERROR_CODE = 'ERR_REQUEST_UNSENT'
/** Code with which the HTTP library marks its own closing of a connection. */
export const CLOSING_ERROR_CODE = 'UND_ERR_INFO'
/** Code of the end of a connection in the HTTP library: it fails the request that was written, and sends waiting ones on another connection. */
export const CONNECTION_ERROR_CODE = 'UND_ERR_SOCKET'
/** Codes of requests that were given to connections that had been closed by then. */
export const CLOSED_ERROR_CODES: ReadonlySet<string> = new Set(['UND_ERR_CLOSED', 'UND_ERR_DESTROYED'])
