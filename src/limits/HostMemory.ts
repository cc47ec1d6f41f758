import { getHeapStatistics } from 'node:v8'
import { AnswerBudget } from '../relay/AnswerBudget.js'
import { ConnectionMemory } from './ConnectionMemory.js'
import { HeldAmount } from './HeldAmount.js'
import type { MessagePools } from './MessageMemory.js'
import { PieceRate } from './PieceRate.js'

/** Small pieces of all messages that a host handles per second: about a fifth of the processor of the smallest machines. */
const PIECES_PER_SECOND = 16_384
/** Part of the heap that connections may hold beside the bodies of their messages: the program takes a quarter to a half of it. */
const CONNECTION_HEAP_FRACTION = 0.3

/** Bounds on what messages hold at a host, in bytes unless said otherwise. */
export interface HostMemoryLimits {
  /** All messages together. */
  totalBytes: number
  /** Part of these that large messages leave free for small ones and for calls between hosts. */
  reservedBytes: number
  /** Large bodies of requests together. */
  bodyBytes: number
  /** Large answers that are read completely before they are passed on. */
  answerBytes: number
  /** Number of answers that are passed on while they arrive. */
  streams: number
  /** Connections of all listeners beside the bodies of their messages; by default a part of the heap limit of the process. */
  connectionBytes?: number | undefined
}

/**
 * Bounds the memory that all messages take at one host: bodies of requests, answers of upstreams, calls between hosts. Each
 * kind has a bound of its own, and together they stay within the memory that the machine has beside the program.
 */
export class HostMemory {
  /** For bodies of requests. */
  readonly bodies: MessagePools
  /** For calls between hosts and the answers to them, which large bodies and answers must not keep out. */
  readonly calls: MessagePools
  /** For answers of upstreams. */
  readonly answers: AnswerBudget
  /** For the connections of all listeners: data that was read and is held, and data that waits to be written. */
  readonly connections: ConnectionMemory
  readonly #all: HeldAmount

  /** @param limits - bounds on each kind of message, and on all together */
  constructor ({ totalBytes, reservedBytes, bodyBytes, answerBytes, streams, connectionBytes = getHeapStatistics().heap_size_limit * CONNECTION_HEAP_FRACTION }: HostMemoryLimits) {
    const small = this.#all = new HeldAmount(totalBytes)
    const large = new HeldAmount(totalBytes - reservedBytes, small)
    const pieces = new PieceRate(PIECES_PER_SECOND)
    this.connections = new ConnectionMemory(connectionBytes, small)
    this.bodies = { small, large: new HeldAmount(bodyBytes, large), pieces }
    this.calls = { small, large: new HeldAmount(reservedBytes, small), pieces }
    this.answers = new AnswerBudget(answerBytes, streams, { small, large, pieces })
  }

  /** What all messages hold now, in bytes. */
  get heldBytes (): number {
    return this.#all.held
  }
}
