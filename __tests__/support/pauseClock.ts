import type { TestContext } from 'node:test'

/**
 * Replaces the clock of the runtime (timers, `Date` and `performance.now()`) by a paused one for the duration of a test.
 * `context.mock.timers.tick(milliseconds)` advances all of them together.
 */
export function pauseClock (context: TestContext): void {
  context.mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1_000_000 })
  const original = performance.now
  performance.now = () => Date.now() - 1_000_000
  context.after(() => { performance.now = original })
}

/** Advances the paused clock in small steps and runs pending promise callbacks after each step. */
export async function advance (context: TestContext, milliseconds: number, stepMilliseconds = 10): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += stepMilliseconds) {
    context.mock.timers.tick(Math.min(stepMilliseconds, milliseconds - passed))
    await new Promise<void>((resolve) => setImmediate(resolve))
  }
}
