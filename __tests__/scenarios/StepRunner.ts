import type { ScenarioStep } from './ScenarioStep.js'
import type { World } from './World.js'

/** Carries out one kind of step. It throws when the step fails. */
export type StepRunner = (world: World, step: ScenarioStep) => Promise<void> | void

/**
 * @param step - a step
 * @param index - index among its words
 * @returns the word
 */
export function readWord (step: ScenarioStep, index: number): string {
  const word = step.words[index]
  if (word === undefined) throw new Error(`line ${step.line}: ${step.verb} needs ${index + 1} word(s)`)
  return word
}

/**
 * @param step - a step
 * @param name - name of the option
 * @param fallback - its value when the step has none
 */
export function readNumberOption (step: ScenarioStep, name: string, fallback: number): number {
  return Number(step.options.get(name) ?? fallback)
}
