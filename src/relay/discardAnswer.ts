import type { ExchangeAnswer } from './exchange.js'

/** Discards an answer that must not reach the guest. */
export function discardAnswer ({ body }: Pick<ExchangeAnswer, 'body'>): void {
  if (!Buffer.isBuffer(body)) body.destroy()
}
