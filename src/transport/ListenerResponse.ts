import { ServerResponse, type IncomingMessage } from 'node:http'

/**
 * Response that asks its caller to disconnect if it begins before the request has arrived. On a connection that is kept, the HTTP library
 * reads the rest of a body that nobody needs at full speed.
 */
export class ListenerResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
  /** Writes the head of the response; the library calls it, too, for a response whose head is not written by its handler. */
  override writeHead (...parameters: unknown[]): this {
    if (!this.req.complete) this.setHeader('connection', 'close')
    return super.writeHead(...parameters as Parameters<ServerResponse['writeHead']>)
  }
}
