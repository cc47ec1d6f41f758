import type { ScenarioStep } from './ScenarioStep.js'
import type { World } from './World.js'

/** Executes one kind of step. It throws if the step fails. */
export type StepRunner = (world: World, step: ScenarioStep) => Promise<void> | void

/**
 * @param step - step to read from
 * @param index - index among its words, from 0
 * @returns the word
 * @throws Error if the step has too few words
 */
export function readWord (step: ScenarioStep, index: number): string {
  const word = step.words[index]
  if (word === undefined) throw new Error(`line ${step.line}: ${step.verb} needs ${index + 1} word(s)`)
  return word
}

/**
 * @param step - step to read from
 * @param name - name of the option
 * @param fallback - value if the step does not have the option
 * @returns the value of the option as a number
 */
export function readNumberOption (step: ScenarioStep, name: string, fallback: number): number {
  return Number(step.options.get(name) ?? fallback)
}
