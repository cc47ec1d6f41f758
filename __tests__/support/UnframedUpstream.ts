import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { join } from 'node:path'

/** A process of an upstream whose answers only the end of their connection delimits. */
export class UnframedUpstream {
  readonly #child: ChildProcess
  #lines: string[] = []

  constructor () {
    this.#child = spawn(process.execPath, [join(import.meta.dirname, 'runUnframedUpstream.js')], { stdio: ['ignore', 'pipe', 'inherit'] })
    this.#child.stdout!.on('data', (chunk) => { this.#lines.push(...String(chunk).trim().split('\n')) })
  }

  /** Paths of the requests that it received. */
  get runs (): string[] {
    return this.#lines.slice(1)
  }

  /** @returns its address, `ip:port` */
  async open (): Promise<string> {
    while (this.#lines.length === 0) await once(this.#child.stdout!, 'data')
    return this.#lines[0]!
  }

  /** Kills it as the kernel ends a process that failed: its connections end in order. */
  async kill (): Promise<void> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) return
    this.#child.kill('SIGKILL')
    await once(this.#child, 'exit')
  }
}
