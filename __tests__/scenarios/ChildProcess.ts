import { spawn, type ChildProcess as NodeChildProcess } from 'node:child_process'
import { openSync } from 'node:fs'

const runningChildren = new Set<NodeChildProcess>()

process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL')
})

/** A child process of a scenario, such as a host or an upstream. It is killed when the runner exits. */
export class ChildProcess {
  readonly name: string
  readonly #script: string
  readonly #arguments: string[]
  readonly #logFile: string
  #child: NodeChildProcess | undefined
  #exited: Promise<number> = Promise.resolve(0)
  #exitCode: number | undefined
  /** Called each time the process has exited. */
  onExit: () => void = () => {}
  /** Called each time the process is started. */
  onStart: () => void = () => {}

  /**
   * @param name - name of the process in reports
   * @param script - path of the compiled script to run
   * @param scriptArguments - arguments of the script
   * @param logFile - path of the file that its standard output and error are appended to
   */
  constructor (name: string, script: string, scriptArguments: string[], logFile: string) {
    this.name = name
    this.#script = script
    this.#arguments = scriptArguments
    this.#logFile = logFile
  }

  /** Whether the process is running; a process stopped by SIGSTOP counts as running. */
  get isRunning (): boolean {
    return this.#child !== undefined && this.#exitCode === undefined
  }

  /** Process identifier of the last run, undefined before the first one. */
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

  /** @param signal - signal to send to the process */
  sendSignal (signal: NodeJS.Signals): void {
    this.#child?.kill(signal)
  }

  /** @returns the exit code once the process has exited, -1 if a signal ended it */
  async waitForExit (): Promise<number> {
    return await this.#exited
  }

  /** Sends SIGKILL, which also ends a process stopped by SIGSTOP, and waits for the exit. */
  async kill (): Promise<void> {
    if (!this.isRunning) return
    this.sendSignal('SIGKILL')
    await this.#exited
  }
}
