import { spawn, type ChildProcess as NodeChildProcess } from 'node:child_process'
import { openSync } from 'node:fs'

const runningChildren = new Set<NodeChildProcess>()

process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL')
})

/** A process that a scenario runs; it ends with the runner. */
export class ChildProcess {
  readonly name: string
  readonly #script: string
  readonly #arguments: string[]
  readonly #logFile: string
  #child: NodeChildProcess | undefined
  #exited: Promise<number> = Promise.resolve(0)
  #exitCode: number | undefined
  /** Called when the process has ended. */
  onExit: () => void = () => {}
  /** Called when the process was started. */
  onStart: () => void = () => {}

  /**
   * @param name - name for reports
   * @param script - compiled script to run
   * @param scriptArguments - its arguments
   * @param logFile - file that takes its output
   */
  constructor (name: string, script: string, scriptArguments: string[], logFile: string) {
    this.name = name
    this.#script = script
    this.#arguments = scriptArguments
    this.#logFile = logFile
  }

  /** Whether the process runs now, frozen or not. */
  get isRunning (): boolean {
    return this.#child !== undefined && this.#exitCode === undefined
  }

  /** Identifier of the process that was started last. */
  get pid (): number | undefined {
    return this.#child?.pid
  }

  /** Exit code of the last run, -1 if a signal ended it, undefined while it runs. */
  get exitCode (): number | undefined {
    return this.#exitCode
  }

  /** Starts the process. */
  start (): void {
    const logDescriptor = openSync(this.#logFile, 'a')
    const child = spawn(process.execPath, [this.#script, ...this.#arguments], { stdio: ['ignore', logDescriptor, logDescriptor] })
    this.#child = child
    runningChildren.add(child)
    child.once('exit', () => { runningChildren.delete(child) })
    this.#exitCode = undefined
    this.onStart()
    this.#exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        this.#exitCode = code ?? -1
        this.onExit()
        resolve(this.#exitCode)
      })
    })
  }

  /** @param signal - the signal to send */
  sendSignal (signal: NodeJS.Signals): void {
    this.#child?.kill(signal)
  }

  /** @returns its exit code once it has ended */
  async waitForExit (): Promise<number> {
    return await this.#exited
  }

  /** Ends it at once, also when it is frozen. */
  async kill (): Promise<void> {
    if (!this.isRunning) return
    this.sendSignal('SIGKILL')
    await this.#exited
  }
}
