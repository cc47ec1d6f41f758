import { request } from 'node:http'

/**
 * Sends one HTTP request on a connection of its own.
 *
 * @returns status, headers, body and whether the answer is complete; status 0 and the cause when there is none
 */
export function call ({ address, method, path, headers = {}, body, timeoutMilliseconds = 1000 }) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const chunks = []
    let head
    const settle = (isComplete, cause) => {
      clearTimeout(timer)
      resolve({ status: head?.statusCode ?? 0, headers: head?.headers ?? {}, body: Buffer.concat(chunks), isComplete, cause })
    }
    const message = request({ host, port, method, path, agent: false, headers: { ...headers, ...body === undefined ? {} : { 'content-length': Buffer.byteLength(body) } } }, (response) => {
      head = response
      response.on('data', (chunk) => { chunks.push(chunk) })
      response.on('end', () => { settle(response.complete) })
      response.on('error', (error) => { settle(false, String(error)) })
    })
    const timer = setTimeout(() => {
      message.destroy()
      settle(false, 'timeout')
    }, timeoutMilliseconds)
    message.on('error', (error) => { settle(false, String(error)) })
    message.end(body)
  })
}

/** Sends a JSON body as the operator and servers do. */
export async function post (address, path, document, timeoutMilliseconds = 1000) {
  const body = document === undefined ? undefined : JSON.stringify(document)
  return await call({ address, method: 'POST', path, headers: body === undefined ? {} : { 'content-type': 'application/json' }, body, timeoutMilliseconds })
}
